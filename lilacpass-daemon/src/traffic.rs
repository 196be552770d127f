//! Carries out what the state machine asks for, one task per call.

use std::sync::Arc;

use lilacpass_control::{
    Effect, Event,
    event::{Answer, CallId},
};
use tokio::sync::watch;

use crate::{
    control::{Effects, EventSink},
    http::Front,
    metrics::Metrics,
    peers::{Peers, server::PeerReplies},
    platform::{AppendOrder, Platform},
    replies::Replies,
    workers::{WorkerOrder, Workers},
};

/// Everything that effects need.
#[derive(Debug)]
pub struct Traffic {
    /// Takes the ends of calls to the control thread.
    pub sink: EventSink,
    /// Callers that wait.
    pub callers: Arc<Replies<Answer>>,
    /// Calls of peers that wait.
    pub peer_replies: Arc<PeerReplies>,
    /// Connections to workers.
    pub workers: Arc<Workers>,
    /// Connections to peers.
    pub peers: Arc<Peers>,
    /// Log service and instance list.
    pub platform: Platform,
    /// The HTTP interface.
    pub front: Arc<Front>,
    /// Figures.
    pub metrics: Arc<Metrics>,
    /// Set once everything in flight is finished.
    pub stopped: watch::Sender<bool>,
}

impl Traffic {
    /// Carries out effects until the control thread ends.
    pub async fn run(self, mut effects: Effects) {
        while let Some(batch) = effects.recv().await {
            batch.into_iter().for_each(|effect| self.carry_out(effect));
        }
    }

    fn carry_out(&self, effect: Effect) {
        match effect {
            Effect::Reply { to, answer } => {
                self.callers.answer(to, answer);
            }
            Effect::PeerReply { to, reply } => {
                self.peer_replies.answer(to, reply);
            }
            Effect::PeerCall { call, address, request, timeout, .. } => {
                let peers = self.peers.clone();
                self.finish(async move {
                    let result = peers.call(address, request, timeout).await;
                    Event::PeerDone { call, result }
                });
            }
            Effect::WorkerCall { call, to, address, request, timeout, not_after } => {
                self.call_worker(call, WorkerOrder { to, address, request, timeout, not_after });
            }
            Effect::CloseWorker { worker } => self.workers.close(&worker),
            Effect::Append { call, stream, records } => {
                self.platform.append(stream, AppendOrder { call, records });
            }
            Effect::InForce { revision, configuration } => {
                self.front.set_in_force(revision, configuration);
            }
            Effect::Ready(ready) => self.front.set_ready(ready),
            Effect::Waited { class, waited } => self.metrics.waited(class, waited),
            Effect::Ended { class, verdict } => self.metrics.ended(class, verdict),
            Effect::Stopped => {
                self.stopped.send_replace(true);
            }
        }
    }

    fn call_worker(&self, call: CallId, order: WorkerOrder) {
        let workers = self.workers.clone();
        self.finish(async move {
            let done = workers.call(order).await;
            Event::WorkerDone { call, sent_at: done.sent_at, result: done.result }
        });
    }

    /// Runs a call in a task of its own and hands its end to the control thread.
    fn finish(&self, call: impl Future<Output = Event> + Send + 'static) {
        let sink = self.sink.clone();
        tokio::spawn(async move {
            let event = call.await;
            sink.send(event).await;
        });
    }
}
