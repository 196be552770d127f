//! The leader's view of a worker: its registration, the runs assigned to it, how long its leases may last, and
//! whether it accepts new runs.

use std::{cell::Cell, collections::BTreeMap};

use lilacpass_core::Resources;
use lilacpass_jobs::{Run, Suspicion, TaskName, WorkerName};

use crate::{
    event::{Effect, Registration},
    health,
    learned::speeds::SpeedBucket,
    options,
    progress::Progress,
};

/// Identifies a run on a worker: the task and the number of the run.
pub type RunKey = (TaskName, u32);

/// What the leader knows about a run that it assigned to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The assignment is being stored; no start has been sent.
    Recording,
    /// The start has been sent, and no response has arrived yet.
    Ordered,
    /// The start got no response, or a former leader sent it: the run may be running, or may still start.
    Uncertain {
        /// When the run became uncertain, on the monotonic clock.
        since_ms: u64,
    },
    /// The worker has confirmed that the run started.
    Running {
        /// When the leader learned of it, on the monotonic clock.
        since_ms: u64,
    },
    /// The leader has asked the worker to stop the run.
    Stopping {
        /// When the stop was last sent, on the monotonic clock.
        sent_ms: u64,
        /// When the worker confirmed the stop, on the monotonic clock. From then on the run can't start any more.
        confirmed_ms: Option<u64>,
    },
}

/// A run assigned to a worker that is not known to have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AssignedRun {
    /// What the leader knows about the run.
    pub phase: Phase,
    /// Resources that the run occupies on the worker.
    pub need: Resources,
    /// Progress that the worker has reported, if any.
    pub progress: Option<Progress>,
    /// When a response of the worker first showed that the run had started, on the monotonic clock.
    pub started_ms: Option<u64>,
    /// When the worker confirmed the start order, on the monotonic clock; `None` if the time of the start is not known
    /// exactly, or if the run continues from a checkpoint.
    pub timed_from_ms: Option<u64>,
    /// Whether a former leader assigned the run and its task is not suspected of crashing workers.
    pub is_inherited: bool,
}

impl AssignedRun {
    fn new(need: Resources, phase: Phase) -> Self {
        let is_inherited = matches!(phase, Phase::Uncertain { .. });
        let mut assigned = Self {
            phase: Phase::Recording,
            need,
            progress: None,
            started_ms: None,
            timed_from_ms: None,
            is_inherited,
        };
        assigned.set_phase(phase);
        assigned
    }

    /// Updates the phase, and records the start time when the run is first known to run.
    pub fn set_phase(&mut self, phase: Phase) {
        if let Phase::Running { since_ms } = phase {
            self.started_ms.get_or_insert(since_ms);
        }
        self.phase = phase;
    }

    /// Records the share of the work that the worker reports as done.
    pub fn update_progress(&mut self, percent: u32, now_ms: u64) {
        self.progress.get_or_insert(Progress::new(percent, now_ms)).update(percent, now_ms);
    }
}

/// State of the regular poll of a worker: the call that extends its leases and lists its runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollState {
    /// No poll is in flight.
    Due {
        /// When the next poll is due, on the monotonic clock.
        at_ms: u64,
    },
    /// A poll has been sent, and no response has arrived yet.
    InFlight,
}

/// A worker as known to the leader.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its latest registration. All but the name, the address and the data centre is empty for a worker that is known
    /// only from a stored run.
    pub registration: Registration,
    /// The largest capacity that it has ever registered, for each resource.
    pub max_capacity: Resources,
    /// Whether it is registered now.
    pub registered: bool,
    /// The incarnation of the same worker that has followed this one. Nothing is sent to this one any more, and its
    /// runs are settled once that incarnation has responded.
    pub successor: Option<WorkerName>,
    /// Added to the leader's epoch to obtain the fence of the orders to this incarnation.
    pub fence_step: u64,
    /// Whether it has answered a poll under the leader's epoch, and its leases have not expired since. Such a worker
    /// refuses orders of former leaders.
    pub accepted_epoch: bool,
    /// Whether it drains, according to its registration or to its own response.
    pub draining: bool,
    /// Its clock minus the leader's in ms, and when the leader read it, on the monotonic clock.
    clock: Option<(i64, u64)>,
    /// When all leases on it have certainly expired unless another one is granted, on the monotonic clock.
    pub leases_expire_by_ms: u64,
    /// When leases that orders for another incarnation may have granted have certainly expired, on the monotonic clock; 0
    /// if there are none. It does not depend on when a former leader has stopped.
    pub misdirected_leases_expire_by_ms: u64,
    /// When this leader last granted a lease on it, on the monotonic clock; `None` if it has granted none.
    lease_granted_ms: Option<u64>,
    /// When its leases are next looked at, on the monotonic clock; `None` if that is not planned.
    pub lease_check_ms: Option<u64>,
    /// Runs assigned to it that are not known to have ended.
    pub runs: BTreeMap<RunKey, AssignedRun>,
    /// Resources that these runs occupy.
    pub used: Resources,
    /// What preemption could free for work of this priority; `None` if the runs have changed since it was summed up.
    preemptible: Cell<Option<(u32, Resources)>>,
    /// Number of the last run end that the leader has processed.
    pub last_seen_end: u64,
    /// Number of the last run end that is stored, so that the worker may forget it.
    pub last_stored_end: u64,
    /// Whether its last response listed all its ends.
    pub lists_all_ends: bool,
    /// State of the regular poll, which waits on the worker until a run ends there.
    pub poll: PollState,
    /// The time for which the next regular poll is planned, on the monotonic clock.
    pub poll_scheduled_ms: Option<u64>,
    /// Whether an extra poll, sent beside the regular one, is in flight.
    pub extra_poll_in_flight: bool,
    /// Polls that have failed since the last successful one.
    pub failed_polls: u32,
    /// When the first of the failed polls failed, on the monotonic clock.
    pub unresponsive_since_ms: Option<u64>,
    /// No run is started on it before this time, on the monotonic clock.
    pub starts_paused_until_ms: u64,
    /// No run is started on it before this time because its data centre seems to be unreachable, on the monotonic
    /// clock. Cleared early once it answers a poll.
    pub suspected_until_ms: u64,
    /// Evidence of failures on it, for its quarantine.
    pub health: health::WorkerHealth,
    /// When it last responded to a poll after one that had failed, on the monotonic clock.
    pub responded_again_ms: Option<u64>,
    /// Its learned speed.
    pub speed: SpeedBucket,
    /// When it last answered any call, on the monotonic clock; 0 if never.
    pub last_response_ms: u64,
    /// A run that may crash the worker. Nothing else is started on it until that run has proved harmless.
    pub trial: Option<RunKey>,
    /// Whether another worker has registered at its address since it stopped responding.
    pub is_replaced: bool,
    /// Runs that were ended when its leases expired while it was unresponsive, each with the suspicion that applies to
    /// its task if the worker turns out to have crashed.
    pub expired_runs: Vec<(RunKey, Suspicion)>,
}

/// A run is proved harmless if its worker still responds this long after the start of the run.
const PROVEN_AFTER_MS: u64 = 300;

impl Worker {
    /// Creates a worker of which only the registration is known. Leases of former leaders may last until
    /// `leases_expire_by_ms`.
    pub fn new(registration: Registration, leases_expire_by_ms: u64) -> Self {
        Self {
            draining: registration.draining,
            max_capacity: registration.capacity,
            registration,
            registered: false,
            successor: None,
            fence_step: 0,
            accepted_epoch: false,
            clock: None,
            leases_expire_by_ms,
            misdirected_leases_expire_by_ms: 0,
            lease_granted_ms: None,
            lease_check_ms: None,
            runs: BTreeMap::new(),
            used: Resources::ZERO,
            preemptible: Cell::default(),
            last_seen_end: 0,
            last_stored_end: 0,
            lists_all_ends: true,
            poll: PollState::Due { at_ms: 0 },
            poll_scheduled_ms: None,
            extra_poll_in_flight: false,
            failed_polls: 0,
            unresponsive_since_ms: None,
            starts_paused_until_ms: 0,
            suspected_until_ms: 0,
            health: health::WorkerHealth::default(),
            responded_again_ms: None,
            speed: SpeedBucket::default(),
            last_response_ms: 0,
            trial: None,
            is_replaced: false,
            expired_runs: Vec::new(),
        }
    }

    /// Sets the step of the fence of the orders to the worker.
    pub fn with_fence_step(self, fence_step: u64) -> Self {
        Self { fence_step, ..self }
    }

    /// Sets when leases that orders for another incarnation may have granted have expired.
    pub fn with_misdirected_leases(self, expire_by_ms: u64) -> Self {
        Self { misdirected_leases_expire_by_ms: expire_by_ms, ..self }
    }

    /// Creates a worker that is known only from a stored run. It can be called if the run names its address: the worker
    /// may be alive although it is not registered, for example because it can't reach the store.
    pub fn from_run_record(run: &Run, leases_expire_by_ms: u64) -> Self {
        let registration = Registration {
            name: run.host.worker.clone(),
            address: run.host.address.to_string(),
            data_centre: run.host.data_centre.to_string(),
            service: String::new(),
            capacity: Resources::ZERO,
            labels: Vec::new(),
            draining: false,
        };
        Self::new(registration, leases_expire_by_ms)
    }

    /// The rack of the worker, from its labels; empty if it has none.
    pub fn rack(&self) -> &str {
        self.registration.labels.get(1).map(String::as_str).unwrap_or_default()
    }

    /// Whether orders can be sent to this incarnation of the worker.
    pub fn can_be_called(&self) -> bool {
        !self.registration.address.is_empty() && self.successor.is_none()
    }

    /// Records the worker's clock, read at `now_ms` on the leader's clock.
    pub fn record_clock(&mut self, clock_ms: u64, now_ms: u64) {
        self.clock = Some((clock_ms as i64 - now_ms as i64, now_ms));
    }

    /// Grants a lease of `lease_ms` from now on. Returns its end on the worker's clock, or `None` if that clock has not
    /// been read yet. Updates the time by which all leases have certainly expired.
    pub fn extend_lease(&mut self, lease_ms: u64, now_ms: u64) -> Option<u64> {
        let (offset_ms, read_ms) = self.clock?;
        let age_ms = now_ms.saturating_sub(read_ms);
        let leases_expire_by_ms = now_ms + options::max_lease_ms(lease_ms, age_ms);
        self.leases_expire_by_ms = self.leases_expire_by_ms.max(leases_expire_by_ms);
        self.lease_granted_ms = Some(now_ms);
        Some((now_ms as i64 + offset_ms + lease_ms as i64).max(0) as u64)
    }

    /// Adds a run and the resources that it occupies.
    pub fn assign(&mut self, key: RunKey, need: Resources, phase: Phase) {
        self.preemptible.take();
        if self.runs.insert(key, AssignedRun::new(need, phase)).is_none() {
            self.used = self.used.plus(&need);
        }
    }

    /// Makes an inherited run, which may crash the worker, the trial of this worker.
    pub fn resume_trial(&mut self, key: RunKey) {
        if let Some(assigned) = self.runs.get_mut(&key) {
            assigned.is_inherited = false;
            self.trial = Some(key);
        }
    }

    /// Removes a run that has ended. Returns it if it was assigned to this worker.
    pub fn remove_run(&mut self, key: RunKey) -> Option<AssignedRun> {
        let assigned = self.runs.remove(&key)?;
        self.preemptible.take();
        self.used = self.used.minus(&assigned.need);
        if self.trial == Some(key) {
            self.trial = None;
        }
        Some(assigned)
    }

    /// Returns a run for modification, if it is assigned to this worker.
    pub fn run_mut(&mut self, key: RunKey) -> Option<&mut AssignedRun> {
        self.preemptible.take();
        self.runs.get_mut(&key)
    }

    /// Returns what preemption could free for work of this priority. `sum` adds it up, and is called only if the runs
    /// have changed since the last call or that was for another priority.
    pub fn preemptible_for(&self, priority: u32, sum: impl FnOnce() -> Resources) -> Resources {
        if let Some((known, resources)) = self.preemptible.get()
            && known == priority
        {
            return resources;
        }
        let resources = sum();
        self.preemptible.set(Some((priority, resources)));
        resources
    }

    /// Updates the phase of a run, if it is assigned to this worker.
    pub fn set_phase(&mut self, key: RunKey, phase: Phase) {
        if let Some(assigned) = self.run_mut(key) {
            assigned.set_phase(phase);
        }
    }

    /// Records that the worker has confirmed a start order. `is_resumed` says whether the run continues from a
    /// checkpoint.
    pub fn confirm_start(&mut self, key: RunKey, is_resumed: bool, now_ms: u64) {
        if let Some(assigned) = self.run_mut(key) {
            assigned.set_phase(Phase::Running { since_ms: now_ms });
            assigned.timed_from_ms = (!is_resumed).then_some(now_ms);
        }
    }

    /// The number of the last run end that the next poll lets the worker forget. While the worker does not respond, the
    /// poll may reach its next incarnation, whose ends have the same numbers and are not stored. The same holds after a
    /// start without a response, which that incarnation may have carried out and ended. But a worker that can't list all
    /// its ends must forget some, or it lists the same ones for ever.
    pub fn forget_up_to(&self) -> u64 {
        let is_uncertain = |run: &AssignedRun| matches!(run.phase, Phase::Uncertain { .. });
        let may_have_restarted = self.lists_all_ends && self.runs.values().any(is_uncertain);
        if self.failed_polls > 0 || may_have_restarted {
            return 0;
        }
        self.last_stored_end
    }

    /// A poll of the worker. Fields as in [`Effect::Poll`].
    pub fn poll_effect(
        &self,
        lease_until_ms: Option<u64>,
        wait_ms: u64,
        answer_ms: u64,
        extra: bool,
    ) -> Effect {
        Effect::Poll {
            worker: self.registration.name.clone(),
            address: self.registration.address.clone(),
            fence_step: self.fence_step,
            lease_until_ms,
            // An extra poll is sent when something has gone wrong, possibly a restart.
            forget_up_to: if extra { 0 } else { self.forget_up_to() },
            wait_ms,
            answer_ms,
            extra,
        }
    }

    /// Makes the regular poll due now, unless one is in flight or the worker does not respond.
    pub fn poll_at_once(&mut self, now_ms: u64) {
        if self.failed_polls == 0 && self.poll != PollState::InFlight {
            self.poll = PollState::Due { at_ms: now_ms };
        }
    }

    /// How long ago this leader last granted a lease on the worker, in ms; `None` if it has granted none.
    pub fn lease_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.lease_granted_ms.map(|granted_ms| now_ms.saturating_sub(granted_ms))
    }

    /// How long the worker has not responded, in ms; 0 if it responds.
    pub fn unresponsive_ms(&self, now_ms: u64) -> u64 {
        self.unresponsive_since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }

    /// Whether the worker has ever responded to this leader.
    pub fn has_responded(&self) -> bool {
        self.last_response_ms > 0
    }

    /// Whether the start of the run may still crash the worker: the worker is not known to have outlived the start by
    /// `PROVEN_AFTER_MS`.
    pub fn is_unproven(&self, assigned: &AssignedRun) -> bool {
        assigned.started_ms.is_none_or(|ms| self.last_response_ms < ms + PROVEN_AFTER_MS)
    }

    /// Whether the start of the run may be why the worker stopped responding. Inherited runs are no suspects: they may
    /// have been running for long.
    pub fn is_suspect(&self, assigned: &AssignedRun) -> bool {
        assigned.phase != Phase::Recording && !assigned.is_inherited && self.is_unproven(assigned)
    }

    /// Capacity that no assigned run occupies.
    pub fn free_capacity(&self) -> Resources {
        self.registration.capacity.minus(&self.used)
    }

    /// Capacity that would be free once runs that occupy `freed` have ended. A resource of which the remaining runs
    /// occupy more than the worker now has counts as zero.
    pub fn free_capacity_after(&self, freed: &Resources) -> Resources {
        self.registration.capacity.minus(&self.used.minus(freed))
    }

    /// Whether this leader may assign runs to the worker at all, leaving temporary obstacles aside.
    pub fn is_available(&self) -> bool {
        self.registered && self.accepted_epoch && !self.draining
    }

    /// Whether runs may be started on the worker now.
    pub fn accepts_starts(&self, now_ms: u64) -> bool {
        self.is_available()
            && self.failed_polls == 0
            && self.trial.is_none()
            && now_ms >= self.starts_paused_until_ms.max(self.suspected_until_ms)
            && !self.health.is_quarantined(now_ms)
    }

    /// Why no run is started on the worker now, as shown to operators; empty if runs may be started.
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

    /// Starts no run on the worker for `pause_ms` from now on. Returns when the pause ends, on the monotonic clock.
    pub fn pause_starts(&mut self, now_ms: u64, pause_ms: u64) -> u64 {
        self.starts_paused_until_ms = self.starts_paused_until_ms.max(now_ms + pause_ms);
        self.starts_paused_until_ms
    }
}
