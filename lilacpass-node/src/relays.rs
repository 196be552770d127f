//! The leader's view of the instances that relay its orders: the assignment of workers to relays, and the orders in
//! progress.
//!
//! Correctness does not depend on relays. A relayed order is an order that takes a longer route: it carries the epoch
//! of the leader, its lease ends at a time on the worker's clock, and if it gets no response it counts as possibly
//! executed, as any other order does.

use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
};

use lilacpass_core::{Verdict, rendezvous};
use lilacpass_jobs::WorkerName;
use lilacpass_lead::event::{CallError, PollResponse};
use lilacpass_schema::v1;
use serde_json::{Value, json};
use tokio::sync::oneshot;

use crate::{
    relay_choice::{self, Candidate, LeaderCapacity, Load},
    relay_messages::{self, Order},
};

/// How long an instance is not used as a relay after a failure, in milliseconds. The time doubles with each consecutive
/// failure: a relay that accepts orders but whose outcomes never arrive delays its workers by over a second each time.
const BASE_COOLDOWN_MS: u64 = 3_000;
/// How many times the cooldown may double.
const MAX_COOLDOWN_DOUBLINGS: u32 = 5;
/// Number of orders without a fault after which the earlier failures of an instance are forgotten.
const RECOVERY_ORDERS: u32 = 50;
/// Maximum number of orders in a message.
const MAX_ORDERS_PER_MESSAGE: usize = 500;
/// Bytes of a call in addition to its body: headers of request and response, and packet headers.
const HEADER_BYTES: usize = 400;
/// Weight of the newest sample in the moving average of the load, which covers about half a second.
const LOAD_WEIGHT: f64 = 0.4;
/// Minimum number of faulty orders for a relay to be considered cut off itself. An order is faulty if the relay reports
/// no outcome, or reports a worker as unresponsive that responds to the leader.
const MIN_FAULTY_ORDERS: u32 = 4;
/// A relay is considered cut off only if at least one in this many of its completed orders was faulty.
const MAX_ORDERS_PER_FAULT: u32 = 4;

/// A response of a worker contradicts an earlier report that it is unresponsive only within this time, in milliseconds.
/// After a longer one, the worker or its data centre may have become reachable meanwhile.
const MAX_CONTRADICTION_MS: u64 = 700;

/// Result of an order sent through a relay.
#[derive(Debug)]
pub enum RelayResult {
    /// The relay reported the outcome of the order, which may be a failure; for a poll that succeeded, it contains the
    /// worker's response.
    Outcome(Result<Option<PollResponse>, CallError>),
    /// The relay reported no outcome, or the order was not sent. The verdict says whether it may have been executed.
    NoOutcome(Verdict),
}

/// An instance that relays orders.
#[derive(Debug)]
struct Relay {
    data_centre: String,
    queue: Vec<Order>,
    is_sending: bool,
    /// Recently completed orders, decaying with each review.
    completed: u32,
    /// Recent faulty orders, as defined at [`MIN_FAULTY_ORDERS`], decaying with each review.
    faulty: u32,
}

impl Relay {
    fn new(data_centre: &str) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            queue: Vec::new(),
            is_sending: false,
            completed: 0,
            faulty: 0,
        }
    }
}

/// An order in progress.
#[derive(Debug)]
struct Pending {
    relay: Rc<str>,
    waiter: oneshot::Sender<RelayResult>,
}

impl Pending {
    fn deliver(self, result: RelayResult) {
        // The waiting task may have been cancelled.
        let _dropped = self.waiter.send(result);
    }
}

/// The relays of one leadership, and their orders in progress.
#[derive(Debug, Default)]
pub struct Relays {
    epoch: u64,
    next_number: u64,
    relays: BTreeMap<Rc<str>, Relay>,
    /// Orders in progress by number, including those of retired relays, which may still report outcomes.
    pending: HashMap<u64, Pending>,
    /// Times until which instances are not used as relays, on the steady clock, by address.
    cooldowns: HashMap<String, u64>,
    /// Number of consecutive failures of instances, by address.
    consecutive_failures: HashMap<String, u32>,
    /// Workers that a relay has reported as unresponsive and that have not been polled on another route since: the
    /// relay, and the time of its report on the steady clock.
    suspected_workers: HashMap<WorkerName, (Rc<str>, u64)>,
    /// Number of orders since the last review.
    orders: u64,
    /// Bytes of these orders, including headers.
    bytes: u64,
    /// Moving average of the load.
    load: Load,
    /// Time of the last review, on the steady clock.
    reviewed_ms: u64,
}

impl Relays {
    /// No relays, for a leader under an epoch.
    pub fn new(epoch: u64, now_ms: u64) -> Self {
        Self { epoch, reviewed_ms: now_ms, ..Self::default() }
    }

    /// The relays of a former leader, for its successor under an epoch, with the load as the former leader measured it.
    pub fn inherit<'a>(
        epoch: u64,
        relays: impl Iterator<Item = &'a v1::RelayInstance>,
        load: Load,
        now_ms: u64,
    ) -> Self {
        let relay = |relay: &v1::RelayInstance| {
            (Rc::from(relay.address.as_str()), Relay::new(&relay.data_centre))
        };
        Self { relays: relays.map(relay).collect(), load, ..Self::new(epoch, now_ms) }
    }

    /// The moving average of the load.
    pub fn load(&self) -> Load {
        self.load
    }

    /// Addresses and data centres of the relays.
    pub fn in_use(&self) -> impl Iterator<Item = (&str, &str)> {
        self.relays.iter().map(|(address, relay)| (&**address, relay.data_centre.as_str()))
    }

    /// Adds an order to the load, regardless of who sends it.
    pub fn count_order(&mut self, payload_bytes: usize) {
        self.orders += 1;
        self.bytes += (HEADER_BYTES + payload_bytes) as u64;
    }

    /// Whether the leader sends all orders directly.
    pub fn is_empty(&self) -> bool {
        self.relays.is_empty()
    }

    /// The relay for orders to a worker: one of its data centre if there is one, else any; `None` if the leader sends
    /// orders directly. Rendezvous hashing assigns workers to relays, so that only the workers of a retired relay move.
    pub fn relay_for(&self, worker_id: &str, data_centre: &str) -> Option<Rc<str>> {
        let weight = |address: &&Rc<str>| rendezvous::weight(worker_id.as_bytes(), address);
        let local = self.relays.iter().filter(|(_, relay)| relay.data_centre == data_centre);
        let local = local.map(|(address, _)| address).max_by_key(weight);
        local.or_else(|| self.relays.keys().max_by_key(weight)).cloned()
    }

    /// A relay other than `failed`; `None` if there is no other.
    pub fn any_relay_but(&self, failed: &str, worker_id: &str) -> Option<Rc<str>> {
        let others = self.relays.keys().filter(|address| ***address != *failed);
        others.max_by_key(|address| rendezvous::weight(worker_id.as_bytes(), address)).cloned()
    }

    /// A relay other than the one that [`Self::relay_for`] returns, for orders to a worker that may be unreachable from
    /// there; `None` if there is no other. Each `attempt` may use another one.
    pub fn other_relay_for(
        &self,
        worker_id: &str,
        data_centre: &str,
        attempt: u32,
    ) -> Option<Rc<str>> {
        let usual = self.relay_for(worker_id, data_centre)?;
        self.any_relay_but(&usual, &format!("{worker_id} {attempt}"))
    }

    /// Chooses the relays again, based on the load since the last review.
    pub fn review(
        &mut self,
        capacity: LeaderCapacity,
        mut candidates: Vec<Candidate<'_>>,
        now_ms: u64,
    ) {
        self.update_load(now_ms);
        self.cool_down_faulty(now_ms);
        self.cooldowns.retain(|_, until_ms| now_ms < *until_ms);
        candidates.retain(|candidate| !self.cooldowns.contains_key(candidate.address));
        let in_use: Vec<String> = self.relays.keys().map(ToString::to_string).collect();
        let mut chosen = relay_choice::choose(self.load, capacity, &in_use, candidates);
        chosen.sort_unstable_by_key(|candidate| candidate.address);
        let addresses: Vec<&str> = chosen.iter().map(|candidate| candidate.address).collect();
        if addresses == in_use {
            return;
        }
        log::info!(
            relays = addresses.join(" "), orders_a_second = self.load.orders as u64,
            bytes_a_second = self.load.bytes as u64;
            "relays changed"
        );
        for address in in_use.iter().filter(|address| !addresses.contains(&address.as_str())) {
            self.retire(address);
        }
        for candidate in chosen {
            self.relays
                .entry(Rc::from(candidate.address))
                .or_insert_with(|| Relay::new(candidate.data_centre));
        }
    }

    /// Adds the orders since the last review to the moving average of the load.
    fn update_load(&mut self, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.reviewed_ms).max(1) as f64 / 1_000.0;
        self.reviewed_ms = now_ms;
        let orders = std::mem::take(&mut self.orders) as f64 / elapsed_s;
        let bytes = std::mem::take(&mut self.bytes) as f64 / elapsed_s;
        self.load.orders += (orders - self.load.orders) * LOAD_WEIGHT;
        self.load.bytes += (bytes - self.load.bytes) * LOAD_WEIGHT;
    }

    /// Stops using relays that are cut off from their workers, or whose outcomes do not arrive. All of their workers
    /// would seem to be lost.
    fn cool_down_faulty(&mut self, now_ms: u64) {
        let mut faulty = Vec::new();
        for (address, relay) in &mut self.relays {
            if relay.faulty >= MIN_FAULTY_ORDERS
                && relay.faulty * MAX_ORDERS_PER_FAULT >= relay.completed
            {
                log::info!(relay = &**address, wrong = relay.faulty, done = relay.completed; "pausing a relay with too many faulty orders");
                faulty.push(address.clone());
            } else if relay.faulty == 0 && relay.completed >= RECOVERY_ORDERS {
                self.consecutive_failures.remove(&**address);
            }
            relay.completed -= relay.completed / 4;
            relay.faulty -= relay.faulty / 4;
        }
        faulty.iter().for_each(|address| self.cool_down(address, now_ms));
    }

    /// Bars an instance from relaying for a time that doubles with each consecutive failure.
    fn cool_down(&mut self, address: &str, now_ms: u64) {
        let failures = self.consecutive_failures.entry(address.to_owned()).or_default();
        let cooldown_ms = BASE_COOLDOWN_MS << (*failures).min(MAX_COOLDOWN_DOUBLINGS);
        *failures += 1;
        self.cooldowns.insert(address.to_owned(), now_ms + cooldown_ms);
    }

    /// Stops using a relay that is about to stop or no longer needed. It completes the orders that it has accepted;
    /// unsent ones are reported as not run.
    fn retire(&mut self, address: &str) {
        let Some(relay) = self.relays.remove(address) else { return };
        let unsent: Vec<u64> = relay.queue.iter().map(|order| order.message.number).collect();
        self.report_lost(&unsent, Verdict::NotRun);
    }

    /// Handles a relay that did not accept a message with the orders `numbers`. All other orders that it has accepted
    /// are lost as well.
    pub fn fail(&mut self, address: &str, numbers: &[u64], verdict: Verdict, now_ms: u64) {
        self.cool_down(address, now_ms);
        self.report_lost(numbers, verdict);
        self.retire(address);
        let is_on_relay = |pending: &Pending| *pending.relay == *address;
        let others = self.pending.iter().filter(|(_, pending)| is_on_relay(pending));
        let others: Vec<u64> = others.map(|(number, _)| *number).collect();
        self.report_lost(&others, Verdict::MayHaveRun);
    }

    /// Reports to the waiting tasks that the relay will report no outcome for these orders.
    fn report_lost(&mut self, numbers: &[u64], verdict: Verdict) {
        for pending in numbers.iter().filter_map(|number| self.pending.remove(number)) {
            pending.deliver(RelayResult::NoOutcome(verdict));
        }
    }

    /// Adds an order to the queue of a relay. Returns its number and the receiver of its result, or `None` if the relay
    /// is no longer in use.
    pub fn enqueue(
        &mut self,
        address: &Rc<str>,
        mut order: Order,
    ) -> Option<(u64, oneshot::Receiver<RelayResult>)> {
        let relay = self.relays.get_mut(address)?;
        let number = self.next_number;
        self.next_number += 1;
        order.message.number = number;
        relay.queue.push(order);
        let (waiter, receiver) = oneshot::channel();
        self.pending.insert(number, Pending { relay: address.clone(), waiter });
        Some((number, receiver))
    }

    /// Marks the queue of a relay as being sent. Returns whether the caller has to start a sending task.
    pub fn begin_sending(&mut self, address: &str) -> bool {
        let Some(relay) = self.relays.get_mut(address) else { return false };
        !std::mem::replace(&mut relay.is_sending, true)
    }

    /// Takes the next batch of orders for a relay. Returns `None` if there are none, after which sending has to be
    /// started again.
    pub fn take_batch(&mut self, address: &str) -> Option<Vec<Order>> {
        let relay = self.relays.get_mut(address)?;
        if relay.queue.is_empty() {
            relay.is_sending = false;
            return None;
        }
        let rest = relay.queue.split_off(relay.queue.len().min(MAX_ORDERS_PER_MESSAGE));
        Some(std::mem::replace(&mut relay.queue, rest))
    }

    /// Records that a relay reported no outcome for an order in time.
    pub fn record_timeout(&mut self, number: u64) {
        let Some(pending) = self.pending.remove(&number) else { return };
        if let Some(relay) = self.relays.get_mut(&pending.relay) {
            relay.faulty += 1;
        }
    }

    /// Handles outcomes that a relay reports. Returns how many of them are no longer awaited.
    pub fn handle_outcomes(&mut self, outcomes: Vec<v1::RelayedOutcome>) -> usize {
        let mut unknown = 0;
        for outcome in outcomes {
            let Some(pending) = self.pending.remove(&outcome.number) else {
                unknown += 1;
                continue;
            };
            if let Some(relay) = self.relays.get_mut(&pending.relay) {
                relay.completed += 1;
            }
            pending.deliver(RelayResult::Outcome(relay_messages::read_outcome(outcome)));
        }
        unknown
    }

    /// The epoch under which orders are sent.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Records that a relay has reported a worker as unresponsive, unless another relay has reported it before.
    pub fn suspect_worker(&mut self, worker: &WorkerName, relay: &Rc<str>, now_ms: u64) {
        let report = || (relay.clone(), now_ms);
        self.suspected_workers.entry(worker.clone()).or_insert_with(report);
    }

    /// Records that a worker has been polled through `relay`, or directly if that is `None`. A response proves the
    /// report of another relay wrong.
    pub fn record_poll(
        &mut self,
        worker: &WorkerName,
        relay: Option<&str>,
        succeeded: bool,
        now_ms: u64,
    ) {
        let Some((suspect, reported_ms)) = self.suspected_workers.get(worker) else { return };
        let is_other_route = relay != Some(&**suspect);
        let is_contradiction = now_ms < reported_ms + MAX_CONTRADICTION_MS;
        if succeeded
            && is_other_route
            && is_contradiction
            && let Some(relay) = self.relays.get_mut(suspect)
        {
            relay.faulty += 1;
        }
        if succeeded || is_other_route {
            self.suspected_workers.remove(worker);
        }
    }

    /// The relays as shown to operators: for each, how many of `workers`, given by id with their data centres, are
    /// assigned to it, how many orders are in progress, and how many were faulty lately.
    pub fn status<'a>(&self, workers: impl Iterator<Item = (&'a str, &'a str)>) -> Value {
        let mut worker_counts: HashMap<Rc<str>, u64> = HashMap::new();
        for (worker, data_centre) in workers {
            let relay = self.relay_for(worker, data_centre);
            relay.into_iter().for_each(|relay| *worker_counts.entry(relay).or_default() += 1);
        }
        let pending =
            |address: &Rc<str>| self.pending.values().filter(|p| p.relay == *address).count();
        let status = |(address, relay): (&Rc<str>, &Relay)| {
            json!({
                "address": &**address,
                "workers": worker_counts.get(address).copied().unwrap_or_default(),
                "pending": pending(address),
                "wrong": relay.faulty,
            })
        };
        self.relays.iter().map(status).collect()
    }
}
