//! Advice: which workers may run a step, who asks, and how many workers are asked about.
//!
//! The service handles one call of an instance at a time and a call takes longer the more workers
//! it names, so calls are the scarcest resource. They are spread over the instances ("lanes"), and
//! a slow call never takes a lane that is kept for quick ones.

use std::collections::{BTreeMap, HashMap};

use lilacpass_jobs::WorkerName;

use crate::event::{Advice, Lane};

/// Calls longer than this are slow. Between the two groups seen: about 40 ms and about 500 ms.
const SLOW_CALL_MS: u64 = 120;
/// One lane in so many is kept for quick calls. Quick calls need about a third of the time of all.
const QUICK_LANE_IN: usize = 3;
/// Share of the lanes for slow calls that one queue may hold, in percent. Where its steps find no room, each asks
/// again as soon as its tickets have lapsed; sixty of them held all lanes for seven seconds, and a step of
/// another queue stood still beside free workers.
const QUEUE_LANES_PERCENT: usize = 67;
/// Pause after a call for advice that failed, before the next for the same step.
const RETRY_MS: u64 = 200;

/// Pause before workers to ask about are looked for again after none was found. In a full cell every
/// waiting step goes through all workers for this.
const NOBODY_PAUSE_MS: u64 = 25;

/// What is known of the workers for one step. Which workers may run a step never changes.
#[derive(Debug, Default)]
pub struct StepAdvice {
    tickets: BTreeMap<WorkerName, Ticket>,
    /// Whether a worker is allowed.
    verdicts: HashMap<WorkerName, bool>,
    /// A call is under way.
    pub asking: bool,
    /// No call before this time.
    pub ask_from_ms: u64,
}

#[derive(Debug)]
struct Ticket {
    text: String,
    until_ms: u64,
}

impl StepAdvice {
    /// The ticket for a worker, if it is valid now.
    pub fn ticket(&self, worker: &WorkerName, now_ms: u64) -> Option<&str> {
        let ticket = self.tickets.get(worker)?;
        (now_ms < ticket.until_ms).then_some(ticket.text.as_str())
    }

    /// The workers for which there are tickets that are valid now.
    pub fn ticketed(&self, now_ms: u64) -> impl Iterator<Item = &WorkerName> {
        self.tickets.iter().filter(move |(_, t)| now_ms < t.until_ms).map(|(worker, _)| worker)
    }

    /// Notes that no worker could be asked about.
    pub fn nobody_to_ask(&mut self, now_ms: u64) {
        self.ask_from_ms = now_ms + NOBODY_PAUSE_MS;
    }

    /// Forgets a ticket that a worker did not accept.
    pub fn remove_ticket(&mut self, worker: &WorkerName) {
        self.tickets.remove(worker);
    }

    /// Whether the worker is known to be allowed; none where that is not known.
    pub fn verdict(&self, worker: &WorkerName) -> Option<bool> {
        self.verdicts.get(worker).copied()
    }

    /// The workers that are known to be allowed.
    pub fn allowed(&self) -> impl Iterator<Item = &WorkerName> {
        self.verdicts.iter().filter(|(_, is_allowed)| **is_allowed).map(|(worker, _)| worker)
    }

    /// Takes in the answer to a call; none where it failed.
    pub fn answered(
        &mut self,
        asked: &[WorkerName],
        advice: Option<Advice>,
        margin_ms: u64,
        now_ms: u64,
    ) {
        self.asking = false;
        let Some(advice) = advice else {
            self.ask_from_ms = now_ms + RETRY_MS;
            return;
        };
        let until_ms = (now_ms + advice.valid_ms).saturating_sub(margin_ms);
        for row in advice.good {
            self.verdicts.insert(row.worker.clone(), true);
            self.tickets.insert(row.worker, Ticket { text: row.ticket, until_ms });
        }
        for worker in asked {
            self.verdicts.entry(worker.clone()).or_insert(false);
        }
    }
}

/// A worker that could be asked about.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The worker.
    pub worker: WorkerName,
    /// It is known to be allowed.
    pub known_good: bool,
    /// How many of the waiting tasks fit there.
    pub fits: u64,
}

/// Chooses the workers to ask about so that about `wanted` tasks find room, where a share
/// `good_share` of unknown workers is allowed. `candidates` are in order of preference; those known
/// to be allowed go first, because they cost as much and are sure.
pub fn choose(
    candidates: &[Candidate],
    wanted: u64,
    good_share: f64,
    most: usize,
) -> Vec<WorkerName> {
    let known = candidates.iter().filter(|candidate| candidate.known_good);
    let unknown = candidates.iter().filter(|candidate| !candidate.known_good);
    let mut chosen = Vec::new();
    let mut expected = 0.0;
    for candidate in known.chain(unknown) {
        if expected >= wanted as f64 || chosen.len() == most {
            break;
        }
        let share = if candidate.known_good { 1.0 } else { good_share };
        expected += share * candidate.fits as f64;
        chosen.push(candidate.worker.clone());
    }
    chosen
}

/// The instances that can ask, one call each at a time.
#[derive(Debug, Default)]
pub struct Lanes {
    lanes: BTreeMap<Lane, LaneState>,
    load: Load,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum LaneState {
    Idle,
    Busy {
        /// Whose step is asked about.
        queue: String,
        is_slow: bool,
    },
}

/// What is counted over all lanes whenever one changes. Each waiting step asks for it after each event, and a
/// cell has a hundred lanes.
#[derive(Debug, Default)]
struct Load {
    any_idle: bool,
    /// A lane is idle that slow calls may take.
    any_idle_for_slow: bool,
    /// Slow calls under way, by queue.
    slow_calls: HashMap<String, usize>,
}

impl Lanes {
    /// Takes in which instances there are now.
    pub fn set(&mut self, lanes: Vec<Lane>) {
        let old = std::mem::take(&mut self.lanes);
        self.lanes = lanes
            .into_iter()
            .map(|lane| {
                let state = old.get(&lane).cloned().unwrap_or(LaneState::Idle);
                (lane, state)
            })
            .collect();
        self.count();
    }

    /// Takes an idle lane for a call about a step of a queue that takes about `expected_ms`.
    pub fn acquire(&mut self, queue: &str, expected_ms: u64) -> Option<Lane> {
        if !self.may_call(queue, expected_ms) {
            return None;
        }
        let is_slow = expected_ms > SLOW_CALL_MS;
        let skipped = if is_slow { self.kept_for_quick() } else { 0 };
        let idle =
            self.lanes.iter_mut().skip(skipped).find(|(_, state)| **state == LaneState::Idle);
        let (lane, state) = idle?;
        let lane = lane.clone();
        *state = LaneState::Busy { queue: queue.to_owned(), is_slow };
        self.count();
        Some(lane)
    }

    /// Whether a queue may make one more call that takes so long, if a lane is idle.
    pub fn may_call(&self, queue: &str, expected_ms: u64) -> bool {
        let slow_calls = self.load.slow_calls.get(queue).copied().unwrap_or(0);
        expected_ms <= SLOW_CALL_MS || slow_calls < self.most_slow_calls()
    }

    /// How many slow calls about steps of one queue may be under way.
    fn most_slow_calls(&self) -> usize {
        let open_to_slow = self.lanes.len() - self.kept_for_quick();
        (open_to_slow * QUEUE_LANES_PERCENT / 100).max(1)
    }

    fn kept_for_quick(&self) -> usize {
        self.lanes.len() / QUICK_LANE_IN
    }

    /// Gives a lane back.
    pub fn release(&mut self, lane: &Lane) {
        if let Some(state) = self.lanes.get_mut(lane) {
            *state = LaneState::Idle;
        }
        self.count();
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.lanes.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }

    /// Whether any lane is idle.
    pub fn has_idle(&self) -> bool {
        self.load.any_idle
    }

    /// Whether a lane is idle for a call that takes so long.
    pub fn has_idle_for(&self, expected_ms: u64) -> bool {
        if expected_ms > SLOW_CALL_MS { self.load.any_idle_for_slow } else { self.load.any_idle }
    }

    fn count(&mut self) {
        let is_idle = |state: &LaneState| *state == LaneState::Idle;
        let kept = self.kept_for_quick();
        self.load.any_idle = self.lanes.values().any(is_idle);
        self.load.any_idle_for_slow = self.lanes.values().skip(kept).any(is_idle);
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
