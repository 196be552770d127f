//! Turns the effects that the leader requests into calls. Their results are passed to the leader as events.

use std::time::Duration;

use lilacpass_jobs::WorkerName;
use lilacpass_lead::{Effect, Event};
use lilacpass_platform::workers::{PollOrder, StartOrder, Target};
use tokio::{task, time};

use super::LeaderLoop;
use crate::{clock, leader_handle::Message, metrics, orders, peers::advice_calls};

/// Added to the expected duration of an advice call to obtain its timeout.
const ADVICE_SLACK: Duration = Duration::from_millis(900);

impl LeaderLoop {
    /// Executes an effect that the leader has requested.
    pub(super) fn execute_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Reply { request_id, response } => {
                if let Some(responder) = self.responders.remove(&request_id) {
                    // The client may have disconnected.
                    let _disconnected = responder.send(response);
                }
            }
            Effect::Append(records) => self.append(records),
            Effect::Poll {
                worker,
                address,
                fence_step,
                lease_until_ms,
                forget_up_to,
                wait_ms,
                answer_ms,
                extra,
            } => {
                let poll = PollOrder {
                    lease_until_ms,
                    forget_up_to,
                    wait_ms,
                    response_timeout_ms: answer_ms,
                };
                let route = self.route_order(&worker, 0, extra);
                let node = self.node.clone();
                let fence = self.epoch + fence_step;
                self.spawn(async move {
                    let sent_ms = clock::now().steady_ms;
                    let target = Target { name: &worker, address: &address, fence };
                    let sent = time::Instant::now();
                    let result = orders::poll(&node, route, target, poll).await;
                    node.metrics.order("look", metrics::outcome(&result), sent.elapsed());
                    Event::Polled { worker, sent_ms, extra, result }
                });
            }
            Effect::Start {
                worker,
                address,
                fence_step,
                task,
                run,
                payload,
                lease_until_ms,
                checkpoint,
                ticket,
            } => {
                let route = self.route_order(&worker, payload.len(), false);
                let node = self.node.clone();
                let fence = self.epoch + fence_step;
                self.spawn(async move {
                    let target = Target { name: &worker, address: &address, fence };
                    let start = StartOrder {
                        task,
                        run,
                        payload: &payload,
                        lease_until_ms,
                        checkpoint: &checkpoint,
                        ticket: ticket.as_deref(),
                    };
                    let sent = time::Instant::now();
                    let result = orders::start(&node, route, target, start).await;
                    node.metrics.order("start", metrics::outcome(&result), sent.elapsed());
                    Event::Started { worker, task, run, result }
                });
            }
            Effect::Stop { worker, address, fence_step, task, run } => {
                let route = self.route_order(&worker, 0, false);
                let node = self.node.clone();
                let fence = self.epoch + fence_step;
                self.spawn(async move {
                    let target = Target { name: &worker, address: &address, fence };
                    let sent = time::Instant::now();
                    let result = orders::stop(&node, route, target, task, run).await;
                    node.metrics.order("stop", metrics::outcome(&result), sent.elapsed());
                    Event::Stopped { worker, task, run, result }
                });
            }
            Effect::RequestAdvice { lane, step, workers, expected_ms } => {
                let node = self.node.clone();
                self.spawn(async move {
                    let timeout = Duration::from_millis(expected_ms) + ADVICE_SLACK;
                    let advice = if lane.0 == node.peer_address() {
                        advice_calls::advise(&node, step, &workers, timeout).await
                    } else {
                        advice_calls::advise_through_peer(&node, &lane.0, step, &workers, timeout)
                            .await
                    };
                    Event::AdviceReceived { lane, step, queried: workers, advice }
                });
            }
            Effect::Deposed => {
                log::info!(epoch = self.epoch; "a worker reported a newer leader");
                self.is_deposed = true;
            }
        }
    }

    /// Counts an order to a worker, and returns its relay, or `None` to send it directly.
    ///
    /// Workers that failed to respond lately are called through another relay and directly in turn, because it may be
    /// the usual relay that cannot reach them. Most of these calls use up their timeout, so not all of them are left to
    /// the leader.
    fn route_order(&self, worker: &WorkerName, payload_bytes: usize, extra: bool) -> orders::Route {
        let mut relays = self.node.relays.borrow_mut();
        relays.count_order(payload_bytes);
        if relays.is_empty() {
            return None;
        }
        let (data_centre, failed_polls) = self.leader.reachability(worker)?;
        if failed_polls == 0 && !extra {
            return relays.relay_for(worker.id(), data_centre);
        }
        if failed_polls % 2 == 0 && !extra {
            return None;
        }
        relays.other_relay_for(worker.id(), data_centre, failed_polls)
    }

    /// Runs `work` in a task, and passes its event to the leader loop.
    fn spawn(&self, work: impl Future<Output = Event> + 'static) {
        let messages = self.messages.clone();
        task::spawn_local(async move {
            let event = work.await;
            // The leader loop may have ended.
            let _stopped = messages.send(Message::Event(event));
        });
    }
}
