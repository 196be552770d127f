//! Runs the leader: passes events to its state machine and executes the effects it requests.
//!
//! This module receives the messages and runs the rounds. [`startup`] creates the leader, `periodic` does what comes with
//! time, `effects` turns effects into calls whose results become events, `appends` stores records, and `queries` answers
//! operators.

mod appends;
mod effects;
mod periodic;
mod queries;
pub mod startup;

use std::{
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use lilacpass_lead::{
    Event, Leader,
    event::{RequestId, Response},
    work::SchedulingWork,
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task, time,
};

use crate::{
    clock, handover, intake::IntakeQueue, leader_handle::Message, metrics::BusyTime, node::Node,
    relays::Relays, renewal::RenewalState, stated_admission::StatedAdmission,
};

/// Interval of the leader's ticks, which bounds how late it notices that a deadline has passed.
const TICK: Duration = Duration::from_millis(50);

/// Event loop around the leader's state machine.
struct LeaderLoop {
    node: Rc<Node>,
    epoch: u64,
    leader: Leader,
    renewal: Arc<RenewalState>,
    /// Version of the desired state whose accounts the leader knows; 0 before the first.
    accounts_version: u64,
    messages: mpsc::UnboundedSender<Message>,
    queue: IntakeQueue<Message>,
    /// Channels for the responses to clients whose requests are in progress.
    responders: HashMap<RequestId, oneshot::Sender<Response>>,
    next_request_id: u64,
    /// Sequence number of the next append to the job log.
    next_sequence: u64,
    /// Time of the next update of lanes and relays, on the steady clock.
    next_lanes_update_ms: u64,
    /// When this instance took over, on the steady clock, until its first renewal is stored.
    unrenewed_since_ms: Option<u64>,
    is_deposed: bool,
    /// Time taken since the metrics were last updated.
    busy: BusyTime,
    /// Scheduling work that the metrics include.
    reported_work: SchedulingWork,
}

impl LeaderLoop {
    /// Handles messages until this instance is deposed.
    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Message>, end: watch::Sender<bool>) {
        let mut ticks = time::interval(TICK);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        while !self.is_deposed {
            let has_more = !self.queue.is_empty() || self.leader.has_more();
            tokio::select! {
                // A due tick takes precedence: it measures how late the leader is, and expires leases.
                biased;
                _ = ticks.tick() => {
                    let began = Instant::now();
                    self.tick();
                    self.busy.ticks += began.elapsed();
                }
                message = inbox.recv() => {
                    let Some(message) = message else { break };
                    self.enqueue(message);
                }
                // Lets calls, responses and renewals make progress between two rounds.
                () = task::yield_now(), if has_more => {}
            }
            while let Ok(message) = inbox.try_recv() {
                self.enqueue(message);
            }
            self.run_round();
        }
        self.node.stated_admission.set(StatedAdmission::default());
        self.node.not_leading_since_ms.set(clock::now().steady_ms);
        self.node.leader_handle.borrow_mut().take();
        *self.node.relays.borrow_mut() = Relays::default();
        self.node.metrics.leadership_lost();
        log::info!(epoch = self.epoch; "leadership ended");
        end.send_replace(true);
    }

    /// Processes the messages of a round, and executes the effects that follow.
    fn run_round(&mut self) {
        let began = Instant::now();
        for message in self.queue.next_round() {
            self.handle(message);
        }
        let handled = Instant::now();
        let effects = self.leader.finish(clock::now());
        let decided = Instant::now();
        for effect in effects {
            self.execute_effect(effect);
        }
        self.busy.events += handled - began;
        self.busy.round += decided - handled;
        self.busy.effects += decided.elapsed();
    }

    /// Sorts a message into the queue of events or of requests.
    fn enqueue(&mut self, message: Message) {
        match message {
            Message::Request(..) | Message::Inspect(..) => self.queue.push_request(message),
            Message::Event(_)
            | Message::Appended { .. }
            | Message::NotAppended { .. }
            | Message::Deposed
            | Message::Resign => self.queue.push_event(message),
        }
    }

    /// Passes a message to the leader, or acts on it here.
    fn handle(&mut self, message: Message) {
        let now = clock::now();
        match message {
            Message::Event(event) => {
                if matches!(event, Event::LeadershipConfirmed { .. }) {
                    self.record_first_renewal(now);
                }
                self.leader.handle(event, now);
            }
            Message::Request(request, responder) => {
                let request_id = RequestId(self.next_request_id);
                self.next_request_id += 1;
                self.responders.insert(request_id, responder);
                self.leader.handle(Event::Request { request_id, request }, now);
            }
            Message::Appended { next_sequence, rejected } => {
                self.next_sequence = next_sequence;
                if !rejected.is_empty() {
                    self.leader.handle(Event::RecordsRejected(rejected), now);
                }
                self.leader.handle(Event::Appended, now);
            }
            Message::NotAppended { next_sequence } => {
                self.next_sequence = next_sequence;
                self.leader.handle(Event::NotAppended, now);
            }
            Message::Inspect(query, responder) => {
                // The operator may have disconnected.
                let _disconnected = responder.send(self.inspect(query));
            }
            Message::Deposed => self.is_deposed = true,
            Message::Resign => {
                let node = self.node.clone();
                let messages = self.messages.clone();
                task::spawn_local(handover::resign(node, self.epoch, messages));
            }
        }
    }
}
