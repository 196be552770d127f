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
    relay_choice::{self, Candidate, Load, Means},
    relay_messages::{self, Order},
};

/// How long an instance relays nothing after it failed, and how often that is doubled where it goes on failing: one
/// that takes orders and whose answers never arrive costs its workers over a second each time.
const REST_MS: u64 = 3_000;
const MOST_DOUBLINGS: u32 = 5;
/// An instance that has carried out so many orders without being wrong has not failed before.
const SOUND_ORDERS: u32 = 50;
/// Most orders in a message.
const MOST_ORDERS: usize = 500;
/// Bytes that a call takes beside its body: the heads of request and answer, and those of the packets.
const HEAD_BYTES: usize = 400;
/// Weight of the last review in the load: half a second counts.
const LOAD_WEIGHT: f64 = 0.4;
/// So many orders of which a relay tells nothing, or whose worker it calls silent though that answers the leader, show
/// that the relay is cut off itself...
const FEWEST_WRONG: u32 = 4;
/// ... if they are one in so many of the orders that it carried out.
const WRONG_IN: u32 = 4;

/// What came of an order by way of a relay.
#[derive(Debug)]
pub enum Relayed {
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
    done: u32,
    wrong: u32,
}

/// An order under way.
#[derive(Debug)]
struct Pending {
    relay: Rc<str>,
    waiter: oneshot::Sender<Relayed>,
}

impl Pending {
    fn tell(self, relayed: Relayed) {
        // Who does not wait any more needs no telling.
        let _gone = self.waiter.send(relayed);
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
    resting: HashMap<String, u64>,
    /// How often instances have failed in a row.
    failures: HashMap<String, u32>,
    /// Workers that a relay called silent, until the leader has looked itself.
    doubted: HashMap<WorkerName, Rc<str>>,
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
    pub fn count(&mut self, payload_bytes: usize) {
        self.orders += 1;
        self.bytes += (HEAD_BYTES + payload_bytes) as u64;
    }

    /// Whether the leader sends all orders itself.
    pub fn is_empty(&self) -> bool {
        self.relays.is_empty()
    }

    /// By which relay the orders to a worker go: one of its data centre, else any; none where the leader sends them itself.
    /// Each worker goes by the one that weighs most for it, so that only the workers of a relay that goes change theirs.
    pub fn home(&self, worker: &WorkerName, data_centre: &str) -> Option<Rc<str>> {
        let weight = |address: &&Rc<str>| rendezvous::weight(worker.as_str().as_bytes(), address);
        let near = self.relays.iter().filter(|(_, relay)| relay.data_centre == data_centre);
        let near = near.map(|(address, _)| address).max_by_key(weight);
        near.or_else(|| self.relays.keys().max_by_key(weight)).cloned()
    }

    /// Chooses the relays anew by what was ordered since the last time.
    pub fn review(&mut self, means: Means, mut candidates: Vec<Candidate<'_>>, now_ms: u64) {
        self.note_load(now_ms);
        self.rest_wrong(now_ms);
        self.resting.retain(|_, until_ms| now_ms < *until_ms);
        candidates.retain(|candidate| !self.resting.contains_key(candidate.address));
        let in_use: Vec<String> = self.relays.keys().map(ToString::to_string).collect();
        let mut chosen = relay_choice::choose(self.load, means, &in_use, candidates);
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
                done: 0,
                wrong: 0,
            });
        }
    }

    fn note_load(&mut self, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.reviewed_ms).max(1) as f64 / 1_000.0;
        self.reviewed_ms = now_ms;
        let orders = std::mem::take(&mut self.orders) as f64 / elapsed_s;
        let bytes = std::mem::take(&mut self.bytes) as f64 / elapsed_s;
        self.load.orders += (orders - self.load.orders) * LOAD_WEIGHT;
        self.load.bytes += (bytes - self.load.bytes) * LOAD_WEIGHT;
    }

    /// Rests relays that are cut off from their workers, or whose answers do not arrive: each of their workers would seem
    /// to be gone.
    fn rest_wrong(&mut self, now_ms: u64) {
        let mut wrong = Vec::new();
        for (address, relay) in &mut self.relays {
            if relay.wrong >= FEWEST_WRONG && relay.wrong * WRONG_IN >= relay.done {
                log::info!(relay = &**address, wrong = relay.wrong, done = relay.done; "relay does not reach its workers");
                wrong.push(address.clone());
            } else if relay.wrong == 0 && relay.done >= SOUND_ORDERS {
                self.failures.remove(&**address);
            }
            relay.done -= relay.done / 4;
            relay.wrong -= relay.wrong / 4;
        }
        wrong.iter().for_each(|address| self.rest(address, now_ms));
    }

    fn rest(&mut self, address: &str, now_ms: u64) {
        let failures = self.failures.entry(address.to_owned()).or_default();
        let rest_ms = REST_MS << (*failures).min(MOST_DOUBLINGS);
        *failures += 1;
        self.resting.insert(address.to_owned(), now_ms + rest_ms);
    }

    /// Uses a relay no more that is to stop, or is not needed. What it has taken it finishes.
    fn retire(&mut self, address: &str) {
        let Some(relay) = self.relays.remove(address) else { return };
        let unsent: Vec<u64> = relay.queue.iter().map(|order| order.message.number).collect();
        self.tell_lost(&unsent, Verdict::NotRun);
    }

    /// A relay has not taken a message with these orders. What else it has taken is lost.
    pub fn fail(&mut self, address: &str, numbers: &[u64], verdict: Verdict, now_ms: u64) {
        self.rest(address, now_ms);
        self.tell_lost(numbers, verdict);
        self.retire(address);
        let is_its = |pending: &Pending| *pending.relay == *address;
        let others = self.pending.iter().filter(|(_, pending)| is_its(pending));
        let others: Vec<u64> = others.map(|(number, _)| *number).collect();
        self.tell_lost(&others, Verdict::MayHaveRun);
    }

    /// Tells those who wait for these orders that the relay tells nothing of them.
    fn tell_lost(&mut self, numbers: &[u64], verdict: Verdict) {
        for pending in numbers.iter().filter_map(|number| self.pending.remove(number)) {
            pending.tell(Relayed::Lost(verdict));
        }
    }

    /// Puts an order into the queue of a relay. Returns its number, and where what comes of it is told; none where there
    /// is no such relay any more.
    pub fn put(
        &mut self,
        address: &Rc<str>,
        mut order: Order,
    ) -> Option<(u64, oneshot::Receiver<Relayed>)> {
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
    pub fn take_queue(&mut self, address: &str) -> Option<Vec<Order>> {
        let relay = self.relays.get_mut(address)?;
        if relay.queue.is_empty() {
            relay.is_sending = false;
            return None;
        }
        let rest = relay.queue.split_off(relay.queue.len().min(MOST_ORDERS));
        Some(std::mem::replace(&mut relay.queue, rest))
    }

    /// A relay has told nothing of an order, and nobody waits for it any more.
    pub fn give_up(&mut self, number: u64) {
        let Some(pending) = self.pending.remove(&number) else { return };
        if let Some(relay) = self.relays.get_mut(&pending.relay) {
            relay.wrong += 1;
        }
    }

    /// Takes in outcomes that a relay tells. Returns how many of them nobody waits for.
    pub fn settle(&mut self, outcomes: Vec<v1::RelayedOutcome>) -> usize {
        let mut unknown = 0;
        for outcome in outcomes {
            let Some(pending) = self.pending.remove(&outcome.number) else {
                unknown += 1;
                continue;
            };
            if let Some(relay) = self.relays.get_mut(&pending.relay) {
                relay.done += 1;
            }
            pending.tell(Relayed::Outcome(relay_messages::read_outcome(outcome)));
        }
        unknown
    }

    /// The epoch under which orders go out.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// A relay has called a worker silent.
    pub fn doubt(&mut self, worker: &WorkerName, relay: &Rc<str>) {
        self.doubted.insert(worker.clone(), relay.clone());
    }

    /// The leader has looked at a worker itself.
    pub fn looked(&mut self, worker: &WorkerName, is_answered: bool) {
        if self.doubted.is_empty() {
            return;
        }
        let Some(address) = self.doubted.remove(worker) else { return };
        if let Some(relay) = self.relays.get_mut(&*address)
            && is_answered
        {
            relay.wrong += 1;
        }
    }

    /// What operators are told of each relay: how many of `workers`, with their data centres, go by it, how many orders are
    /// under way, and how many were lost or wrong of late.
    pub fn status<'a>(&self, workers: impl Iterator<Item = (&'a str, &'a str)>) -> Value {
        let mut shares: HashMap<Rc<str>, u64> = HashMap::new();
        for (worker, data_centre) in workers {
            let home = self.home(&WorkerName::from(worker), data_centre);
            home.into_iter().for_each(|home| *shares.entry(home).or_default() += 1);
        }
        let pending =
            |address: &Rc<str>| self.pending.values().filter(|p| p.relay == *address).count();
        let status = |(address, relay): (&Rc<str>, &Relay)| {
            json!({
                "address": &**address,
                "workers": shares.get(address).copied().unwrap_or_default(),
                "pending": pending(address),
                "wrong": relay.wrong,
            })
        };
        self.relays.iter().map(status).collect()
    }
}
