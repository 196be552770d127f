//! State of the advice per step, the choice of workers to name in a call, and the lanes on which calls are made.
//!
//! The advice service handles one call per instance at a time, and a call takes longer the more workers it names, so
//! calls are the scarcest resource. They are spread over the instances ("lanes").
//!
//! Load pattern: a cell in which many large steps wait although a third of its capacity is free, because their calls are
//! slow and lanes stand idle that are kept for others. So slow calls leave only as many lanes to quick ones as these
//! have lately used, and one queue may hold all lanes for slow calls while no other one wants any.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{DefaultHasher, Hash, Hasher},
};

use lilacpass_core::hash_map::HashMap;
use lilacpass_jobs::{StepName, WorkerName};

use crate::event::{Advice, Lane};

/// Calls expected to take longer than this are slow. Calls take either about 40 ms or about 500 ms.
const SLOW_CALL_MS: u64 = 120;
/// At most one lane in this many is reserved for quick calls, which need about a third of the total call time if many
/// steps use them.
const LANES_PER_QUICK_LANE: usize = 3;
/// Lanes that are reserved for quick calls, in percent of those that they held at the same time lately.
const QUICK_LANES_PERCENT: usize = 150;
/// How long the number of lanes that quick calls held counts, in ms: the present period of this length and the one
/// before.
const QUICK_PERIOD_MS: u64 = 4_000;
/// Maximum share of the lanes for slow calls that one queue may hold while another one wants some, in percent. Steps
/// that find no free capacity request advice again as soon as their tickets have expired. Sixty such steps once held all
/// lanes for seven seconds, and a step of another queue could not start although workers were free.
const MAX_QUEUE_SLOW_LANES_PERCENT: usize = 67;
/// Pause in ms after a failed call for advice before the next call for the same step.
const RETRY_MS: u64 = 200;

/// What is known about the workers for one step. Which workers may run a step never changes.
#[derive(Debug, Default)]
pub struct StepAdvice {
    tickets: BTreeMap<WorkerName, Ticket>,
    /// Whether each worker that was named in a call may run the step.
    verdicts: HashMap<WorkerName, bool>,
    /// The workers that may run it, of those.
    allowed: BTreeSet<WorkerName>,
    /// Number of positions in the roster that earlier searches have looked at.
    pub searched_positions: usize,
    /// Whether a call for this step is pending.
    pub call_pending: bool,
    /// Earliest time of the next call in ms on the monotonic clock.
    pub next_call_ms: u64,
}

#[derive(Debug)]
struct Ticket {
    text: String,
    /// Expiry in ms on the monotonic clock.
    until_ms: u64,
}

impl StepAdvice {
    /// Returns the text of the ticket for a worker if it is valid now.
    pub fn ticket(&self, worker: &WorkerName, now_ms: u64) -> Option<&str> {
        let ticket = self.tickets.get(worker)?;
        (now_ms < ticket.until_ms).then_some(ticket.text.as_str())
    }

    /// Returns the workers for which there are tickets that are valid now.
    pub fn workers_with_tickets(&self, now_ms: u64) -> impl Iterator<Item = &WorkerName> {
        self.tickets
            .iter()
            .filter(move |(_, ticket)| now_ms < ticket.until_ms)
            .map(|(worker, _)| worker)
    }

    /// Returns the workers for which there are tickets, including expired ones.
    pub fn ticketed(&self) -> impl Iterator<Item = &WorkerName> {
        self.tickets.keys()
    }

    /// Returns when the last ticket expires, in ms on the monotonic clock.
    pub fn last_expiry_ms(&self) -> Option<u64> {
        self.tickets.values().map(|ticket| ticket.until_ms).max()
    }

    /// Removes the tickets that have expired. Returns their workers.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<WorkerName> {
        let expired = self.tickets.extract_if(.., |_, ticket| ticket.until_ms <= now_ms);
        expired.map(|(worker, _)| worker).collect()
    }

    /// Returns the number of workers for which there are tickets, including expired ones.
    pub fn ticket_count(&self) -> usize {
        self.tickets.len()
    }

    /// Removes a ticket that a worker has rejected.
    pub fn remove_ticket(&mut self, worker: &WorkerName) {
        self.tickets.remove(worker);
    }

    /// Returns whether a worker may run the step; `None` if that is unknown.
    pub fn allows(&self, worker: &WorkerName) -> Option<bool> {
        self.verdicts.get(worker).copied()
    }

    /// Returns the workers that are known to be allowed, sorted by name.
    pub fn allowed(&self) -> impl Iterator<Item = &WorkerName> {
        self.allowed.iter()
    }

    /// Returns the number of workers that are known to be allowed.
    pub fn allowed_count(&self) -> usize {
        self.allowed.len()
    }

    /// Records the response to a call that named the workers `queried`; `None` if the call failed. `margin_ms` is
    /// subtracted from the validity of the tickets.
    pub fn record_response(
        &mut self,
        queried: &[WorkerName],
        advice: Option<Advice>,
        margin_ms: u64,
        now_ms: u64,
    ) {
        self.call_pending = false;
        let Some(advice) = advice else {
            self.next_call_ms = now_ms + RETRY_MS;
            return;
        };
        let until_ms = (now_ms + advice.valid_ms).saturating_sub(margin_ms);
        for allowed in advice.good {
            self.allowed.insert(allowed.worker.clone());
            self.verdicts.insert(allowed.worker.clone(), true);
            self.tickets.insert(allowed.worker, Ticket { text: allowed.ticket, until_ms });
        }
        for worker in queried {
            self.verdicts.entry(worker.clone()).or_insert(false);
        }
    }
}

/// A worker that could be named in a call for advice.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Name of the worker.
    pub worker: WorkerName,
    /// Whether the worker is known to be allowed to run the step.
    pub known_allowed: bool,
    /// Number of waiting tasks that fit on the worker.
    pub task_capacity: u64,
}

/// Chooses the workers to name in a call so that about `target_tasks` tasks fit on the allowed ones, assuming that
/// `allowed_share` of the unknown workers are allowed. `candidates` are in order of preference. Workers known to be
/// allowed come first, because they cost no more than others and are certain.
pub fn choose(
    candidates: &[Candidate],
    target_tasks: u64,
    allowed_share: f64,
    max_workers: usize,
) -> Vec<WorkerName> {
    let known = candidates.iter().filter(|candidate| candidate.known_allowed);
    let unknown = candidates.iter().filter(|candidate| !candidate.known_allowed);
    let mut chosen = Vec::new();
    let mut expected = 0.0;
    for candidate in known.chain(unknown) {
        if expected >= target_tasks as f64 || chosen.len() == max_workers {
            break;
        }
        let share = if candidate.known_allowed { 1.0 } else { allowed_share };
        expected += share * candidate.task_capacity as f64;
        chosen.push(candidate.worker.clone());
    }
    chosen
}

/// Returns the position in the roster from which the next search for a step looks at workers. Steps begin at different
/// ones. If all of them named the first workers by name, these would get tickets of all steps, and the others of none.
pub fn search_position(step: StepName, advice: Option<&StepAdvice>) -> usize {
    let mut hasher = DefaultHasher::new();
    step.hash(&mut hasher);
    let searched = advice.map_or(0, |advice| advice.searched_positions);
    (hasher.finish() as usize).wrapping_add(searched)
}

/// The instances that can call the advice service, each with at most one call at a time.
#[derive(Debug, Default)]
pub struct Lanes {
    lanes: BTreeMap<LaneKey, LaneState>,
    load: Load,
    quick_use: QuickUse,
}

/// The most lanes that quick calls have held at the same time lately.
#[derive(Debug)]
struct QuickUse {
    /// The maximum in the present period and in the one before; `None` for a period that has not been observed.
    maxima: [Option<usize>; 2],
    /// End of the present period, in ms on the monotonic clock; `None` before the first.
    period_ends_ms: Option<u64>,
}

impl Default for QuickUse {
    fn default() -> Self {
        Self { maxima: [Some(0), None], period_ends_ms: None }
    }
}

impl QuickUse {
    /// Begins a new period if the present one is over.
    fn advance(&mut self, now_ms: u64) {
        let ends_ms = *self.period_ends_ms.get_or_insert(now_ms + QUICK_PERIOD_MS);
        if now_ms >= ends_ms {
            self.maxima = [Some(0), self.maxima[0]];
            self.period_ends_ms = Some(now_ms + QUICK_PERIOD_MS);
        }
    }

    /// Records that quick calls hold `lanes` lanes.
    fn record(&mut self, lanes: usize) {
        self.maxima[0] = self.maxima[0].max(Some(lanes));
    }

    /// Returns how many lanes to reserve, at least one; `None` if too little has been observed.
    fn lanes_to_reserve(&self) -> Option<usize> {
        let most = self.maxima[0]?.max(self.maxima[1]?);
        Some((most * QUICK_LANES_PERCENT).div_ceil(100).max(1))
    }
}

/// A lane, ordered by the hash of its address. Idle lanes are used in this order. In the order of the addresses, all
/// calls of a cell would go through the instances of one data centre, and fail if that is cut off.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LaneKey {
    hash: u64,
    lane: Lane,
}

impl From<Lane> for LaneKey {
    fn from(lane: Lane) -> Self {
        let mut hasher = DefaultHasher::new();
        lane.hash(&mut hasher);
        Self { hash: hasher.finish(), lane }
    }
}

/// Whether a lane has a call in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
enum LaneState {
    Idle,
    Busy {
        /// Queue of the step that the call is for.
        queue: String,
        is_slow: bool,
    },
}

/// Totals over all lanes, updated whenever one changes. They are read for each waiting step after each event, and a
/// cell has a hundred lanes.
#[derive(Debug, Default)]
struct Load {
    has_idle: bool,
    /// Whether a lane that slow calls may use is idle.
    has_idle_for_slow: bool,
    /// Number of slow calls in progress by queue.
    slow_calls: HashMap<String, usize>,
}

impl Lanes {
    /// Replaces the list of lanes. Lanes that remain keep their state.
    pub fn set(&mut self, lanes: Vec<Lane>, now_ms: u64) {
        self.quick_use.advance(now_ms);
        let old = std::mem::take(&mut self.lanes);
        self.lanes = lanes
            .into_iter()
            .map(|lane| {
                let key = LaneKey::from(lane);
                let state = old.get(&key).cloned().unwrap_or(LaneState::Idle);
                (key, state)
            })
            .collect();
        self.update_load();
    }

    /// Acquires an idle lane for a call for a step of `queue` that takes about `expected_ms`. Returns `None` if there
    /// is none that it may use. `is_contended` says whether another queue wants a lane for a slow call.
    pub fn acquire(&mut self, queue: &str, expected_ms: u64, is_contended: bool) -> Option<Lane> {
        if !self.may_call(queue, expected_ms, is_contended) {
            return None;
        }
        let is_slow = expected_ms > SLOW_CALL_MS;
        let skipped = if is_slow { self.reserved_for_quick() } else { 0 };
        let idle =
            self.lanes.iter_mut().skip(skipped).find(|(_, state)| **state == LaneState::Idle);
        let (key, state) = idle?;
        let lane = key.lane.clone();
        *state = LaneState::Busy { queue: queue.to_owned(), is_slow };
        let is_quick = |state: &&LaneState| matches!(state, LaneState::Busy { is_slow: false, .. });
        self.quick_use.record(self.lanes.values().filter(is_quick).count());
        self.update_load();
        Some(lane)
    }

    /// Returns whether the limit on slow calls of a queue permits one more call that takes `expected_ms`. Does not
    /// check whether a lane is idle. `is_contended` says whether another queue wants a lane for a slow call.
    pub fn may_call(&self, queue: &str, expected_ms: u64, is_contended: bool) -> bool {
        let slow_calls = self.load.slow_calls.get(queue).copied().unwrap_or(0);
        expected_ms <= SLOW_CALL_MS || !is_contended || slow_calls < self.max_slow_calls()
    }

    /// Returns how many slow calls for steps of one queue may be in progress while another queue wants a lane.
    fn max_slow_calls(&self) -> usize {
        let open_to_slow = self.lanes.len() - self.reserved_for_quick();
        (open_to_slow * MAX_QUEUE_SLOW_LANES_PERCENT / 100).max(1)
    }

    /// Returns the number of lanes that only quick calls may use.
    fn reserved_for_quick(&self) -> usize {
        let most = self.lanes.len() / LANES_PER_QUICK_LANE;
        self.quick_use.lanes_to_reserve().map_or(most, |lanes| lanes.min(most))
    }

    /// Releases a lane after its call has ended.
    pub fn release(&mut self, lane: &Lane) {
        if let Some(state) = self.lanes.get_mut(&LaneKey::from(lane.clone())) {
            *state = LaneState::Idle;
        }
        self.update_load();
    }

    /// Returns whether calls with this minimum duration are slow.
    pub fn is_slow(base_ms: u64) -> bool {
        base_ms > SLOW_CALL_MS
    }

    /// Returns the number of lanes.
    pub fn len(&self) -> usize {
        self.lanes.len()
    }

    /// Returns whether there are no lanes.
    pub fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }

    /// Returns whether any lane is idle.
    pub fn has_idle(&self) -> bool {
        self.load.has_idle
    }

    /// Returns whether a lane is idle that a call of `expected_ms` may use.
    pub fn has_idle_for(&self, expected_ms: u64) -> bool {
        if expected_ms > SLOW_CALL_MS { self.load.has_idle_for_slow } else { self.load.has_idle }
    }

    /// Recomputes [`Load`].
    fn update_load(&mut self) {
        let is_idle = |state: &LaneState| *state == LaneState::Idle;
        let reserved = self.reserved_for_quick();
        self.load.has_idle = self.lanes.values().any(is_idle);
        self.load.has_idle_for_slow = self.lanes.values().skip(reserved).any(is_idle);
        self.load.slow_calls.clear();
        for state in self.lanes.values() {
            if let LaneState::Busy { queue, is_slow: true } = state {
                match self.load.slow_calls.get_mut(queue) {
                    Some(calls) => *calls += 1,
                    None => {
                        self.load.slow_calls.insert(queue.clone(), 1);
                    }
                }
            }
        }
    }
}
