//! The instances that relay the leader's orders, as the leader sees them: which worker's orders go by which, and what
//! is under way.
//!
//! Nothing rests on a relay. An order by way of one is an order that travels longer: it carries the leader's epoch, its
//! lease ends at a time on the worker's clock, and one that is not answered counts as given, as any other.

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
    relay_messages::{self, Order},
    relay_selection::{self, Candidate, LeaderCapacity, Load},
};

/// How long an instance relays nothing after it failed, and how often that is doubled where it goes on failing: one
/// that takes orders and whose answers never arrive costs its workers over a second each time.
const BASE_COOLDOWN_MS: u64 = 3_000;
const MAX_COOLDOWN_DOUBLINGS: u32 = 5;
/// An instance that has carried out so many orders without being wrong has not failed before.
const RECOVERY_ORDERS: u32 = 50;
/// Most orders in a message.
const MAX_ORDERS_PER_MESSAGE: usize = 500;
/// Bytes that a call takes beside its body: the heads of request and answer, and those of the packets.
const HEADER_BYTES: usize = 400;
/// Weight of the last review in the load: half a second counts.
const LOAD_WEIGHT: f64 = 0.4;
/// So many orders of which a relay tells nothing, or whose worker it calls silent though that answers the leader, show
/// that the relay is cut off itself...
const MIN_FAULTY_ORDERS: u32 = 4;
/// ... if they are one in so many of the orders that it carried out.
const MAX_ORDERS_PER_FAULT: u32 = 4;

/// What came of an order by way of a relay.
#[derive(Debug)]
pub enum RelayResult {
    /// The relay carried it out; of a look that was answered, the answer.
    Outcome(Result<Option<PollResponse>, CallError>),
    /// The relay told nothing of it.
    Lost(Verdict),
}

/// An instance that relays orders.
#[derive(Debug)]
struct Relay {
    data_centre: String,
    queue: Vec<Order>,
    is_sending: bool,
    /// Orders that it carried out of late, and those of which it told nothing or something wrong.
    completed: u32,
    faulty: u32,
}

/// An order under way.
#[derive(Debug)]
struct Pending {
    relay: Rc<str>,
    waiter: oneshot::Sender<RelayResult>,
}

impl Pending {
    fn deliver(self, result: RelayResult) {
        // Who does not wait any more needs no telling.
        let _dropped = self.waiter.send(result);
    }
}

/// The relays of one leadership.
#[derive(Debug, Default)]
pub struct Relays {
    epoch: u64,
    next_number: u64,
    relays: BTreeMap<Rc<str>, Relay>,
    /// By number, also those of relays that are used no more and may still tell what came of them.
    pending: HashMap<u64, Pending>,
    /// Until when instances relay nothing.
    cooldowns: HashMap<String, u64>,
    /// How often instances have failed in a row.
    consecutive_failures: HashMap<String, u32>,
    /// Workers that a relay called silent, until the leader has looked itself.
    suspected_workers: HashMap<WorkerName, Rc<str>>,
    orders: u64,
    bytes: u64,
    load: Load,
    reviewed_ms: u64,
}

impl Relays {
    /// No relay, for a leader under an epoch.
    pub fn new(epoch: u64, now_ms: u64) -> Self {
        Self { epoch, reviewed_ms: now_ms, ..Self::default() }
    }

    /// Counts an order, whoever sends it.
    pub fn count_order(&mut self, payload_bytes: usize) {
        self.orders += 1;
        self.bytes += (HEADER_BYTES + payload_bytes) as u64;
    }

    /// Whether the leader sends all orders itself.
    pub fn is_empty(&self) -> bool {
        self.relays.is_empty()
    }

    /// By which relay the orders to a worker go: one of its data centre, else any; none where the leader sends them itself.
    /// Each worker goes by the one that weighs most for it, so that only the workers of a relay that goes change theirs.
    pub fn relay_for(&self, worker: &WorkerName, data_centre: &str) -> Option<Rc<str>> {
        let weight = |address: &&Rc<str>| rendezvous::weight(worker.as_str().as_bytes(), address);
        let local = self.relays.iter().filter(|(_, relay)| relay.data_centre == data_centre);
        let local = local.map(|(address, _)| address).max_by_key(weight);
        local.or_else(|| self.relays.keys().max_by_key(weight)).cloned()
    }

    /// Chooses the relays anew by what was ordered since the last time.
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
        let mut chosen = relay_selection::choose(self.load, capacity, &in_use, candidates);
        chosen.sort_unstable_by_key(|candidate| candidate.address);
        let addresses: Vec<&str> = chosen.iter().map(|candidate| candidate.address).collect();
        if addresses == in_use {
            return;
        }
        log::info!(
            relays = addresses.join(" "), orders_a_second = self.load.orders as u64,
            bytes_a_second = self.load.bytes as u64;
            "relays change"
        );
        for address in in_use.iter().filter(|address| !addresses.contains(&address.as_str())) {
            self.retire(address);
        }
        for candidate in chosen {
            self.relays.entry(Rc::from(candidate.address)).or_insert_with(|| Relay {
                data_centre: candidate.data_centre.to_owned(),
                queue: Vec::new(),
                is_sending: false,
                completed: 0,
                faulty: 0,
            });
        }
    }

    fn update_load(&mut self, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.reviewed_ms).max(1) as f64 / 1_000.0;
        self.reviewed_ms = now_ms;
        let orders = std::mem::take(&mut self.orders) as f64 / elapsed_s;
        let bytes = std::mem::take(&mut self.bytes) as f64 / elapsed_s;
        self.load.orders += (orders - self.load.orders) * LOAD_WEIGHT;
        self.load.bytes += (bytes - self.load.bytes) * LOAD_WEIGHT;
    }

    /// Rests relays that are cut off from their workers, or whose answers do not arrive: each of their workers would seem
    /// to be gone.
    fn cool_down_faulty(&mut self, now_ms: u64) {
        let mut faulty = Vec::new();
        for (address, relay) in &mut self.relays {
            if relay.faulty >= MIN_FAULTY_ORDERS
                && relay.faulty * MAX_ORDERS_PER_FAULT >= relay.completed
            {
                log::info!(relay = &**address, wrong = relay.faulty, done = relay.completed; "relay does not reach its workers");
                faulty.push(address.clone());
            } else if relay.faulty == 0 && relay.completed >= RECOVERY_ORDERS {
                self.consecutive_failures.remove(&**address);
            }
            relay.completed -= relay.completed / 4;
            relay.faulty -= relay.faulty / 4;
        }
        faulty.iter().for_each(|address| self.cool_down(address, now_ms));
    }

    fn cool_down(&mut self, address: &str, now_ms: u64) {
        let failures = self.consecutive_failures.entry(address.to_owned()).or_default();
        let cooldown_ms = BASE_COOLDOWN_MS << (*failures).min(MAX_COOLDOWN_DOUBLINGS);
        *failures += 1;
        self.cooldowns.insert(address.to_owned(), now_ms + cooldown_ms);
    }

    /// Uses a relay no more that is to stop, or is not needed. What it has taken it finishes.
    fn retire(&mut self, address: &str) {
        let Some(relay) = self.relays.remove(address) else { return };
        let unsent: Vec<u64> = relay.queue.iter().map(|order| order.message.number).collect();
        self.report_lost(&unsent, Verdict::NotRun);
    }

    /// A relay has not taken a message with these orders. What else it has taken is lost.
    pub fn fail(&mut self, address: &str, numbers: &[u64], verdict: Verdict, now_ms: u64) {
        self.cool_down(address, now_ms);
        self.report_lost(numbers, verdict);
        self.retire(address);
        let is_on_relay = |pending: &Pending| *pending.relay == *address;
        let others = self.pending.iter().filter(|(_, pending)| is_on_relay(pending));
        let others: Vec<u64> = others.map(|(number, _)| *number).collect();
        self.report_lost(&others, Verdict::MayHaveRun);
    }

    /// Tells those who wait for these orders that the relay tells nothing of them.
    fn report_lost(&mut self, numbers: &[u64], verdict: Verdict) {
        for pending in numbers.iter().filter_map(|number| self.pending.remove(number)) {
            pending.deliver(RelayResult::Lost(verdict));
        }
    }

    /// Puts an order into the queue of a relay. Returns its number, and where what comes of it is told; none where there
    /// is no such relay any more.
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

    /// Whether a task that sends the queue of a relay has to be started.
    pub fn begin_sending(&mut self, address: &str) -> bool {
        let Some(relay) = self.relays.get_mut(address) else { return false };
        !std::mem::replace(&mut relay.is_sending, true)
    }

    /// Takes what is to be sent to a relay. None where there is nothing, after which sending has to be started anew.
    pub fn take_batch(&mut self, address: &str) -> Option<Vec<Order>> {
        let relay = self.relays.get_mut(address)?;
        if relay.queue.is_empty() {
            relay.is_sending = false;
            return None;
        }
        let rest = relay.queue.split_off(relay.queue.len().min(MAX_ORDERS_PER_MESSAGE));
        Some(std::mem::replace(&mut relay.queue, rest))
    }

    /// A relay has told nothing of an order, and nobody waits for it any more.
    pub fn record_timeout(&mut self, number: u64) {
        let Some(pending) = self.pending.remove(&number) else { return };
        if let Some(relay) = self.relays.get_mut(&pending.relay) {
            relay.faulty += 1;
        }
    }

    /// Takes in outcomes that a relay tells. Returns how many of them nobody waits for.
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

    /// The epoch under which orders go out.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// A relay has called a worker silent.
    pub fn suspect_worker(&mut self, worker: &WorkerName, relay: &Rc<str>) {
        self.suspected_workers.insert(worker.clone(), relay.clone());
    }

    /// The leader has looked at a worker itself.
    pub fn record_direct_poll(&mut self, worker: &WorkerName, succeeded: bool) {
        if self.suspected_workers.is_empty() {
            return;
        }
        let Some(address) = self.suspected_workers.remove(worker) else { return };
        if let Some(relay) = self.relays.get_mut(&*address)
            && succeeded
        {
            relay.faulty += 1;
        }
    }

    /// What operators are told of each relay: how many of `workers`, with their data centres, go by it, how many orders are
    /// under way, and how many were lost or wrong of late.
    pub fn status<'a>(&self, workers: impl Iterator<Item = (&'a str, &'a str)>) -> Value {
        let mut worker_counts: HashMap<Rc<str>, u64> = HashMap::new();
        for (worker, data_centre) in workers {
            let relay = self.relay_for(&WorkerName::from(worker), data_centre);
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
