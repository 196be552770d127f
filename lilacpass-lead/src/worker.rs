//! A worker as its commander sees it: what was given to it, what it told, and how long that holds.

use std::collections::BTreeMap;

use lilacpass_core::Resources;
use lilacpass_jobs::{Run, Suspicion, TaskName};

use crate::{event::Registration, health, options, progress::Progress};

/// A run on a worker.
pub type RunKey = (TaskName, u32);

/// What is known of a run that was given to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It is being recorded; the order has not been sent.
    Recording,
    /// The order is under way.
    Ordered,
    /// The order got no answer, or a former leader gave it: it may run, or start later.
    Uncertain {
        /// When this became so, on the steady clock.
        since_ms: u64,
    },
    /// It started.
    Running {
        /// When this became known, on the steady clock.
        since_ms: u64,
    },
    /// It is to stop.
    Stopping {
        /// When the stop was last sent, on the steady clock.
        sent_ms: u64,
        /// When the worker confirmed the stop: from then on the run can't start any more.
        confirmed_ms: Option<u64>,
    },
}

/// A run that was given to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AssignedRun {
    /// What is known of it.
    pub phase: Phase,
    /// What it takes.
    pub need: Resources,
    /// What was seen of its work.
    pub progress: Option<Progress>,
    /// When the worker's word first showed that it had started, on the steady clock.
    pub started_ms: Option<u64>,
    /// A former leader gave it out, and nothing speaks against its task.
    pub is_inherited: bool,
}

impl AssignedRun {
    fn new(need: Resources, phase: Phase) -> Self {
        let is_inherited = matches!(phase, Phase::Uncertain { .. });
        let mut given =
            Self { phase: Phase::Recording, need, progress: None, started_ms: None, is_inherited };
        given.set_phase(phase);
        given
    }

    /// Sets what is known of it.
    pub fn set_phase(&mut self, phase: Phase) {
        if let Phase::Running { since_ms } = phase {
            self.started_ms.get_or_insert(since_ms);
        }
        self.phase = phase;
    }

    /// Notes the share of its work that is done.
    pub fn update_progress(&mut self, percent: u32, now_ms: u64) {
        self.progress.get_or_insert(Progress::new(percent, now_ms)).update(percent, now_ms);
    }
}

/// The state of the call that looks at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollState {
    /// None is under way; the next is due at this time.
    Due {
        /// On the steady clock.
        at_ms: u64,
    },
    /// One is under way.
    InFlight,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What it registered. Empty but for the name where only records tell of it.
    pub registration: Registration,
    /// The most of each resource that it has said it has.
    pub max_capacity: Resources,
    /// Whether it is registered now.
    pub registered: bool,
    /// It has answered a look under our epoch, and no bound on its leases has passed since.
    pub accepted_epoch: bool,
    /// It drains, by its registration or its own word.
    pub draining: bool,
    /// Its clock less ours, and when that was read.
    clock: Option<(i64, u64)>,
    /// When everything there has surely lapsed, if nothing more is sent.
    pub leases_expire_by_ms: u64,
    /// Runs given to it that are not known to have ended.
    pub runs: BTreeMap<RunKey, AssignedRun>,
    /// What these take.
    pub used: Resources,
    /// Number of the last end that was handled.
    pub last_seen_end: u64,
    /// Number of the last end that is recorded.
    pub last_stored_end: u64,
    /// The waiting look.
    pub poll: PollState,
    /// An extra look is under way.
    pub extra_poll_in_flight: bool,
    /// Looks that failed since the last answer.
    pub failed_polls: u32,
    /// When the first of these failed, on the steady clock.
    pub unresponsive_since_ms: Option<u64>,
    /// Nothing is started there before this time.
    pub starts_paused_until_ms: u64,
    /// The same because others near it are silent; ends early once it answers a look.
    pub suspected_until_ms: u64,
    /// What speaks against it.
    pub health: health::WorkerHealth,
    /// Since when it has been unregistered and out of reach while its data centre answered, on the
    /// steady clock.
    pub missing_since_ms: Option<u64>,
    /// When it last answered anything, on the steady clock.
    pub last_response_ms: u64,
    /// A run that may crash it: until that has shown itself harmless nothing else is started there.
    pub trial: Option<RunKey>,
    /// Another worker has registered at its address since it fell silent.
    pub is_replaced: bool,
    /// Runs that were given up when its leases had run out in silence, and what its crash would say of them.
    pub expired_runs: Vec<(RunKey, Suspicion)>,
}

/// A run whose worker has answered for so long after its start has not crashed it by starting.
const HARMLESS_AFTER_MS: u64 = 300;

impl Worker {
    /// A worker of which nothing is known yet, whose leases run out by `lapsed_by_ms`.
    pub fn new(entry: Registration, lapsed_by_ms: u64) -> Self {
        Self {
            draining: entry.draining,
            max_capacity: entry.capacity,
            registration: entry,
            registered: false,
            accepted_epoch: false,
            clock: None,
            leases_expire_by_ms: lapsed_by_ms,
            runs: BTreeMap::new(),
            used: Resources::ZERO,
            last_seen_end: 0,
            last_stored_end: 0,
            poll: PollState::Due { at_ms: 0 },
            extra_poll_in_flight: false,
            failed_polls: 0,
            unresponsive_since_ms: None,
            starts_paused_until_ms: 0,
            suspected_until_ms: 0,
            health: health::WorkerHealth::default(),
            missing_since_ms: None,
            last_response_ms: 0,
            trial: None,
            is_replaced: false,
            expired_runs: Vec::new(),
        }
    }

    /// A worker that only records tell of: it can't be reached.
    pub fn from_run_record(run: &Run, lapsed_by_ms: u64) -> Self {
        let entry = Registration {
            name: run.worker.clone(),
            address: String::new(),
            data_centre: run.data_centre.to_string(),
            service: String::new(),
            capacity: Resources::ZERO,
            labels: Vec::new(),
            draining: false,
        };
        Self::new(entry, lapsed_by_ms)
    }

    /// The rack that it stands in.
    pub fn rack(&self) -> &str {
        self.registration.labels.get(1).map(String::as_str).unwrap_or_default()
    }

    /// Notes what its clock showed.
    pub fn record_clock(&mut self, clock_ms: u64, now_ms: u64) {
        self.clock = Some((clock_ms as i64 - now_ms as i64, now_ms));
    }

    /// The end of a lease of `lease_ms` from now on, on the worker's clock, if that is known. Notes
    /// how long it may last.
    pub fn extend_lease(&mut self, lease_ms: u64, now_ms: u64) -> Option<u64> {
        let (offset_ms, read_ms) = self.clock?;
        let age_ms = now_ms.saturating_sub(read_ms);
        let lapsed_by_ms = now_ms + options::longest_lease_ms(lease_ms, age_ms);
        self.leases_expire_by_ms = self.leases_expire_by_ms.max(lapsed_by_ms);
        Some((now_ms as i64 + offset_ms + lease_ms as i64).max(0) as u64)
    }

    /// Gives it a run.
    pub fn assign(&mut self, key: RunKey, need: Resources, phase: Phase) {
        if self.runs.insert(key, AssignedRun::new(need, phase)).is_none() {
            self.used = self.used.plus(&need);
        }
    }

    /// A run that a former leader gave out may crash it.
    pub fn resume_trial(&mut self, key: RunKey) {
        if let Some(given) = self.runs.get_mut(&key) {
            given.is_inherited = false;
            self.trial = Some(key);
        }
    }

    /// Takes a run that has ended off it, if it is there.
    pub fn remove_run(&mut self, key: RunKey) -> Option<AssignedRun> {
        let given = self.runs.remove(&key)?;
        self.used = self.used.minus(&given.need);
        if self.trial == Some(key) {
            self.trial = None;
        }
        Some(given)
    }

    /// Sets what is known of a run.
    pub fn set_phase(&mut self, key: RunKey, phase: Phase) {
        if let Some(given) = self.runs.get_mut(&key) {
            given.set_phase(phase);
        }
    }

    /// Makes the next look due now, unless one is under way or the worker does not answer.
    pub fn poll_at_once(&mut self, now_ms: u64) {
        if self.failed_polls == 0 && self.poll != PollState::InFlight {
            self.poll = PollState::Due { at_ms: now_ms };
        }
    }

    /// How long it has not answered, in ms.
    pub fn unresponsive_ms(&self, now_ms: u64) -> u64 {
        self.unresponsive_since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }

    /// Whether it has ever answered this leader.
    pub fn has_responded(&self) -> bool {
        self.last_response_ms > 0
    }

    /// Whether the worker is not known to have lived on after the start of a run.
    pub fn is_unproven(&self, given: &AssignedRun) -> bool {
        given.started_ms.is_none_or(|ms| self.last_response_ms < ms + HARMLESS_AFTER_MS)
    }

    /// Whether a run may be why the worker has fallen silent. What a former leader gave out may have run
    /// for long.
    pub fn is_suspect(&self, given: &AssignedRun) -> bool {
        given.phase != Phase::Recording && !given.is_inherited && self.is_unproven(given)
    }

    /// What is free.
    pub fn free_capacity(&self) -> Resources {
        self.registration.capacity.minus(&self.used)
    }

    /// What would be free once runs that take so much have ended: nothing yet, where it has shrunk below what runs there.
    pub fn free_capacity_after(&self, freed: &Resources) -> Resources {
        self.registration.capacity.minus(&self.used.minus(freed))
    }

    /// Whether it is ours to give work to, unless something speaks against it now.
    pub fn is_available(&self) -> bool {
        self.registered && self.accepted_epoch && !self.draining
    }

    /// Whether starts may be given to it now.
    pub fn accepts_starts(&self, now_ms: u64) -> bool {
        self.is_available()
            && self.failed_polls == 0
            && self.trial.is_none()
            && now_ms >= self.starts_paused_until_ms.max(self.suspected_until_ms)
            && !self.health.is_quarantined(now_ms)
    }

    /// Why it gets no work now; empty where it does.
    pub fn held_back_reason(&self, now_ms: u64) -> &'static str {
        if !self.registered {
            return "not registered";
        }
        if !self.accepted_epoch {
            return "has not answered this leader";
        }
        if self.draining {
            return "drains";
        }
        if self.failed_polls > 0 {
            return "does not answer";
        }
        if self.health.is_quarantined(now_ms) {
            return "spoils its work";
        }
        if self.trial.is_some() {
            return "tries a task that may crash it";
        }
        if now_ms < self.starts_paused_until_ms {
            return "has just refused or not answered";
        }
        if now_ms < self.suspected_until_ms { "suspected" } else { "" }
    }

    /// Starts nothing there for a while.
    pub fn pause_starts(&mut self, now_ms: u64, pause_ms: u64) {
        self.starts_paused_until_ms = self.starts_paused_until_ms.max(now_ms + pause_ms);
    }
}
