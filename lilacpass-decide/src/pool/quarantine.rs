//! Tells bad workers from bad jobs, and keeps bad workers out of the way.
//!
//! Failure: a worker that fails all it starts has free room all the time, so it draws and fails
//! most of the work of the cell. A job that fails everywhere, on the other hand, makes good
//! workers look bad. The evidence of a failure is weighed by how often the kind of work fails
//! anyway, and a job that failed on another worker before is held against the job.

use std::{collections::VecDeque, time::Duration};

use lilacpass_core::{
    MonoTime,
    ids::{JobId, KindId, ServiceId, TaskId, WorkerId},
};

use crate::{
    map::Map,
    pool::{
        Pool,
        health::{Reason, State},
    },
    task::{Outcome, TaskMeta},
};

/// Workers of a pool must run this many times the 90 % quantile of a kind to count as slow.
const SLOW_FACTOR: u32 = 3;
/// Jobs with failures that are remembered.
const MAX_FAILED_JOBS: usize = 4_096;
/// Successes of a kind that are assumed before any outcome is known.
const ASSUMED_SUCCESSES: f64 = 2.0;
/// Outcomes of a kind after which older ones fade.
const OUTCOME_WINDOW: f64 = 256.0;
/// Entries of outcomes per kind and worker; all are forgotten when there are more.
const MAX_KIND_ENTRIES: usize = 65_536;
/// Distinct workers on which a job must have failed to be blamed.
const BLAME_WORKERS: usize = 2;

/// Whose fault the failures of a job seem to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Blame {
    /// It did not fail here.
    Nobody,
    /// It failed on one worker only.
    Worker(WorkerId),
    /// It failed on several workers: running it again is of no use.
    Job,
}

/// How often a kind of work failed of late.
#[derive(Clone, Copy, Debug, Default)]
struct KindOutcomes {
    total: f64,
    failed: f64,
}

impl KindOutcomes {
    fn count(&mut self, failed: bool) {
        if self.total >= OUTCOME_WINDOW {
            self.total /= 2.0;
            self.failed /= 2.0;
        }
        self.total += 1.0;
        self.failed += f64::from(u8::from(failed));
    }

    /// The failure rate, in thousandths, as if there were a few more successes than were seen.
    fn rate_milli(&self) -> u32 {
        (self.failed * 1_000.0 / (self.total + ASSUMED_SUCCESSES)) as u32
    }
}

/// The evidence of a pool that belongs to no single worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evidence {
    kinds: Map<KindKey, KindOutcomes>,
    failed_jobs: Map<JobId, Vec<u32>>,
    failed_order: VecDeque<JobId>,
}

/// A kind of work on one worker, or (`None`) on all of them.
type KindKey = (ServiceId, KindId, Option<u32>);

impl Evidence {
    /// Counts an outcome of a kind on `worker`.
    fn count(&mut self, meta: &TaskMeta, worker: u32, failed: bool) {
        if self.kinds.len() >= MAX_KIND_ENTRIES {
            self.kinds.clear();
        }
        let key = |worker| (meta.service.clone(), meta.kind.clone(), worker);
        self.kinds.entry(key(None)).or_default().count(failed);
        self.kinds.entry(key(Some(worker))).or_default().count(failed);
    }

    /// How often the kind fails on other workers than `worker`, in thousandths.
    fn rate_elsewhere_milli(&self, meta: &TaskMeta, worker: u32) -> u32 {
        let key = |worker| (meta.service.clone(), meta.kind.clone(), worker);
        let all = self.kinds.get(&key(None)).copied().unwrap_or_default();
        let here = self.kinds.get(&key(Some(worker))).copied().unwrap_or_default();
        let elsewhere = KindOutcomes {
            total: (all.total - here.total).max(0.0),
            failed: (all.failed - here.failed).max(0.0),
        };
        elsewhere.rate_milli()
    }

    /// Remembers that the job failed on `worker`; whether it failed on any worker before.
    fn job_failed(&mut self, job: JobId, worker: u32) -> bool {
        if let Some(workers) = self.failed_jobs.get_mut(&job) {
            if !workers.contains(&worker) && workers.len() < BLAME_WORKERS {
                workers.push(worker);
            }
            return true;
        }
        if self.failed_jobs.len() >= MAX_FAILED_JOBS
            && let Some(oldest) = self.failed_order.pop_front()
        {
            self.failed_jobs.remove(&oldest);
        }
        self.failed_jobs.insert(job, vec![worker]);
        self.failed_order.push_back(job);
        false
    }

    /// Forgets all that was counted for a worker number, before it is used again.
    pub(crate) fn forget_worker(&mut self, worker: u32) {
        self.kinds.retain(|(_, _, w), _| *w != Some(worker));
        self.failed_jobs.values_mut().for_each(|workers| workers.retain(|&w| w != worker));
    }
}

impl Pool {
    /// Whose fault the failures of `job` on this pool seem to be.
    pub fn blame(&self, job: &JobId) -> Blame {
        match self.evidence.failed_jobs.get(job).map(Vec::as_slice) {
            None | Some([]) => Blame::Nobody,
            Some([worker]) => Blame::Worker(self.workers[*worker as usize].spec.id.clone()),
            Some(_) => Blame::Job,
        }
    }

    /// The workers in quarantine and why.
    pub fn quarantined(&self) -> impl Iterator<Item = (&WorkerId, Reason)> {
        self.workers
            .iter()
            .filter(|w| w.listed)
            .filter_map(|w| Some((&w.spec.id, w.health.reason()?)))
    }

    /// When the next worker in quarantine may be probed.
    pub fn next_probe(&self) -> Option<MonoTime> {
        let until = |state: &State| match state {
            State::Quarantined { until, .. } => Some(*until),
            State::Healthy | State::Probing { .. } => None,
        };
        self.workers.iter().filter(|w| w.is_open()).filter_map(|w| until(&w.health.state)).min()
    }

    /// The most workers that may be in quarantine at once.
    pub fn quarantine_cap(&self) -> usize {
        let listed = self.listed as usize;
        let permille = self.policy.quarantine_cap_permille as usize;
        match permille {
            0 => 0,
            _ if listed < 2 => 0,
            _ => (listed * permille.min(1_000) / 1_000).max(1),
        }
    }

    /// Draws the conclusions from the end of a task on a worker.
    pub(crate) fn worker_outcome(
        &mut self,
        worker: u32,
        task: &TaskId,
        meta: &TaskMeta,
        outcome: Outcome,
        ran: Duration,
        now: MonoTime,
    ) {
        let probe = matches!(
            self.workers[worker as usize].health.state,
            State::Probing { task: probe, .. } if probe == *task
        );
        match outcome {
            Outcome::Succeeded => {
                let slow = self.is_slow(meta, ran);
                self.evidence.count(meta, worker, false);
                self.learned.observe_run(&meta.service, &meta.kind, ran);
                self.on_success(worker, probe, slow, now);
            }
            Outcome::Failed | Outcome::Lost | Outcome::NotStarted => {
                self.on_failure(worker, task, meta, outcome, probe, now);
            }
            Outcome::Stopped if probe => self.requeue_probe(worker, now),
            Outcome::Stopped => {}
        }
    }

    fn on_success(&mut self, worker: u32, probe: bool, slow: bool, now: MonoTime) {
        let listed = self.workers[worker as usize].listed;
        let health = &mut self.workers[worker as usize].health;
        if probe && slow && health.reason() == Some(Reason::Slow) {
            health.quarantine(Reason::Slow, now);
        } else if probe {
            health.restore();
            self.in_quarantine -= usize::from(listed);
        } else {
            health.succeeded(slow);
            health.relax();
        }
        self.judge(worker, now);
    }

    fn on_failure(
        &mut self,
        worker: u32,
        task: &TaskId,
        meta: &TaskMeta,
        outcome: Outcome,
        probe: bool,
        now: MonoTime,
    ) {
        let weight = self.weigh_failure(worker, task, meta, outcome);
        let health = &mut self.workers[worker as usize].health;
        health.failed(weight);
        match health.reason() {
            Some(reason) if probe => health.quarantine(reason, now),
            _ => self.judge(worker, now),
        }
    }

    /// The part of a failure that speaks against the worker, in thousandths.
    fn weigh_failure(
        &mut self,
        worker: u32,
        task: &TaskId,
        meta: &TaskMeta,
        outcome: Outcome,
    ) -> u32 {
        const WHOLE: u32 = 1_000;
        match outcome {
            Outcome::Failed => {
                let rate = self.evidence.rate_elsewhere_milli(meta, worker);
                let failed_before = self.evidence.job_failed(task.job, worker);
                self.evidence.count(meta, worker, true);
                if failed_before { 0 } else { WHOLE.saturating_sub(2 * rate) }
            }
            // Nothing of the job ran, or nothing is known of it: that speaks for the worker or
            // the way to it only.
            Outcome::Lost => WHOLE,
            Outcome::NotStarted => WHOLE / 2,
            Outcome::Succeeded | Outcome::Stopped => 0,
        }
    }

    /// Lets another task be the probe, where `task` is it and ended without telling anything.
    pub(super) fn drop_probe(&mut self, worker: u32, task: &TaskId, now: MonoTime) {
        let state = self.workers[worker as usize].health.state;
        if matches!(state, State::Probing { task: probe, .. } if probe == *task) {
            self.requeue_probe(worker, now);
        }
    }

    fn requeue_probe(&mut self, worker: u32, now: MonoTime) {
        let health = &mut self.workers[worker as usize].health;
        if let Some(reason) = health.reason() {
            health.state = State::Quarantined { until: now, reason };
        }
    }

    /// Puts the worker into quarantine where the evidence calls for it and the cap allows it.
    ///
    /// Failure: a fault of a whole rack, or of all jobs at once, makes most workers look bad.
    /// The cap keeps the rest of the cell at work whatever the evidence says.
    fn judge(&mut self, worker: u32, now: MonoTime) {
        let cap = self.quarantine_cap();
        let worker_state = &mut self.workers[worker as usize];
        if !worker_state.listed || worker_state.health.is_quarantined() {
            return;
        }
        let Some(reason) = worker_state.health.suspicion() else { return };
        if self.in_quarantine < cap {
            worker_state.health.quarantine(reason, now);
            self.in_quarantine += 1;
        }
    }

    /// Lets workers go until no more than the cap are in quarantine, those due first.
    pub(crate) fn keep_to_cap(&mut self) {
        while self.in_quarantine > self.quarantine_cap() {
            let due = |state: &State| match state {
                State::Quarantined { until, .. } => *until,
                _ => MonoTime::default(),
            };
            let first = (0..self.workers.len())
                .filter(|&w| self.workers[w].listed && self.workers[w].health.is_quarantined())
                .min_by_key(|&w| due(&self.workers[w].health.state));
            let Some(first) = first else { return };
            self.workers[first].health.restore();
            self.in_quarantine -= 1;
            self.refresh(first as u32);
        }
    }

    fn is_slow(&self, meta: &TaskMeta, ran: Duration) -> bool {
        const QUANTILE_PERMILLE: u32 = 900;
        self.learned
            .run_time(&meta.service, &meta.kind, QUANTILE_PERMILLE)
            .is_some_and(|usual| ran > usual * SLOW_FACTOR)
    }
}
