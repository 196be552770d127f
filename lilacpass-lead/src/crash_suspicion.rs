//! Decides which of the tasks that ran on a crashed worker are suspected of having crashed it.
//!
//! Load pattern: a task crashes every worker that starts it. Counting crashes per task does not single it out, because
//! other tasks that are started often enough on these workers are present at as many crashes.
//!
//! A task counts as harmless for now once its worker still responds a while after its start. A task that had not got
//! that far when the worker crashed is a suspect; if there is one, the other tasks are cleared. Workers that are lost
//! with their rack, by a network partition or by a rolling restart stop responding at the same time. If some of them
//! had no suspect, the loss has a common cause and no task is suspected.

use std::collections::BTreeSet;

use lilacpass_jobs::{StepName, Suspicion, TaskName};

use crate::{
    event::Now,
    leader::Leader,
    outages::Outage,
    worker::{AssignedRun, Phase, RunKey, Worker},
};

/// Number of concurrent outages of other workers at which a common cause is assumed. Only outages without a suspect are
/// counted.
const MIN_OUTAGES_WITHOUT_SUSPECT: usize = 2;
/// Number of concurrent outages of other workers, with or without suspects, at which it is unclear whether they have a
/// common cause. If the leader notices them around a stall of its own, a common cause is assumed.
const MIN_CONCURRENT_OUTAGES: usize = 3;
/// Number of concurrent outages of other workers at which crashing tasks are an unlikely explanation, if it is unknown
/// when the outages began, for example because the leader is new.
pub(crate) const MIN_OUTAGES_AT_UNKNOWN_TIME: usize = 4;
/// Number of concurrent outages of other workers in a worker's rack at which the rack is the likely cause, if they are
/// at least half of the rack.
const MIN_RACK_OUTAGES: usize = 2;
/// If a worker's last response is older than this when its outage is noticed, the time of its crash is unknown. It is
/// also unknown if the outage is noticed within this time of a stall of the leader.
const MAX_RESPONSE_AGE_MS: u64 = 2_000;

impl Leader {
    /// Returns the runs that a lost worker may have started, each with the suspicion against its task.
    pub(crate) fn suspicions(&self, worker: &Worker, now: Now) -> Vec<(RunKey, Suspicion)> {
        let circumstances = self.circumstances(worker, now);
        let suspects = self.suspects(worker);
        let was_any_suspected_before =
            suspects.iter().any(|suspect| self.was_suspected_before(suspect));
        let suspicion = |key: &RunKey, assigned: &AssignedRun| {
            let is_suspect =
                worker.is_suspect(assigned) && suspects.contains(&self.start_unit(key.0));
            let has_started = assigned.started_ms.is_some();
            let is_only = is_suspect && suspects.len() == 1 && has_started;
            match circumstances {
                // A common cause weakens the suspicion against a task that was suspected before, but does not clear it.
                Circumstances::Explained if is_suspect && was_any_suspected_before => {
                    Suspicion::Present
                }
                Circumstances::Explained | Circumstances::UnknownStarts => Suspicion::Cleared,
                Circumstances::Alone if is_only => Suspicion::Only,
                Circumstances::Alone | Circumstances::Shared if is_suspect => Suspicion::Suspect,
                Circumstances::Shared => Suspicion::Cleared,
                Circumstances::Alone if !suspects.is_empty() => Suspicion::Cleared,
                _ if was_any_suspected_before && !is_suspect => Suspicion::Cleared,
                Circumstances::Alone | Circumstances::UnknownTime => Suspicion::Present,
            }
        };
        let sent = worker.runs.iter().filter(|(_, assigned)| assigned.phase != Phase::Recording);
        sent.map(|(key, assigned)| (*key, suspicion(key, assigned))).collect()
    }

    /// Returns the start units that may have crashed a worker, because the worker is not known to have outlived their
    /// start. If some of them were suspected before, returns only those.
    fn suspects(&self, worker: &Worker) -> BTreeSet<StartUnit> {
        let suspects = worker.runs.iter().filter(|(_, assigned)| worker.is_suspect(assigned));
        let suspects: BTreeSet<StartUnit> =
            suspects.map(|((task, _), _)| self.start_unit(*task)).collect();
        let suspected_before: BTreeSet<StartUnit> =
            suspects.iter().copied().filter(|suspect| self.was_suspected_before(suspect)).collect();
        if suspected_before.is_empty() { suspects } else { suspected_before }
    }

    /// Whether a start unit was suspected of an earlier crash.
    fn was_suspected_before(&self, (step, index): &StartUnit) -> bool {
        let entry = self.jobs.get(&step.job);
        entry.is_some_and(|entry| entry.job.is_suspected(step.task(index.unwrap_or(0))))
    }

    /// Classifies the loss of a worker by the other outages at about the same time.
    fn circumstances(&self, worker: &Worker, now: Now) -> Circumstances {
        let since_ms = worker.unresponsive_since_ms.unwrap_or(now.steady_ms);
        let response_age_ms = since_ms.saturating_sub(worker.last_response_ms);
        let concurrent: Vec<&Outage> =
            self.outages.concurrent_with(&worker.registration.name, since_ms).collect();
        let without_suspect = concurrent.iter().filter(|other| other.has_no_suspect).count();
        let was_stalled =
            self.last_stall_ms.is_some_and(|ms| since_ms.abs_diff(ms) < MAX_RESPONSE_AGE_MS);
        let is_shared =
            concurrent.len() >= MIN_CONCURRENT_OUTAGES || self.is_rack_lost(worker, &concurrent);
        let is_time_unknown = was_stalled || response_age_ms > MAX_RESPONSE_AGE_MS;
        let min_concurrent =
            if was_stalled { MIN_CONCURRENT_OUTAGES } else { MIN_OUTAGES_AT_UNKNOWN_TIME };
        if without_suspect >= MIN_OUTAGES_WITHOUT_SUSPECT
            || is_time_unknown && concurrent.len() >= min_concurrent
        {
            Circumstances::Explained
        } else if is_time_unknown && self.has_unknown_starts(worker) {
            Circumstances::UnknownStarts
        } else if is_time_unknown {
            Circumstances::UnknownTime
        } else if is_shared {
            Circumstances::Shared
        } else {
            Circumstances::Alone
        }
    }

    /// Whether a worker had several start units under a former leader and has never responded to this one, so that it
    /// is unknown which of them had been running for long.
    fn has_unknown_starts(&self, worker: &Worker) -> bool {
        let units: BTreeSet<StartUnit> =
            worker.runs.keys().map(|(task, _)| self.start_unit(*task)).collect();
        !worker.has_responded() && units.len() > 1
    }

    /// Whether at least half of a worker's rack, and at least [`MIN_RACK_OUTAGES`] other workers in it, were lost at
    /// the same time.
    fn is_rack_lost(&self, worker: &Worker, concurrent: &[&Outage]) -> bool {
        let rack = worker.rack();
        let lost = concurrent.iter().filter(|other| !rack.is_empty() && other.rack == rack).count();
        let rack_size = || self.workers.values().filter(|other| other.rack() == rack).count();
        lost >= MIN_RACK_OUTAGES && 2 * lost >= rack_size()
    }

    /// The unit in which a task is started: its gang, or the task alone.
    fn start_unit(&self, task: TaskName) -> StartUnit {
        let entry = self.jobs.get(&task.step.job);
        let is_gang = entry.is_some_and(|entry| entry.job.step_plan(task.step.step).gang);
        (task.step, if is_gang { None } else { Some(task.index) })
    }
}

/// How the loss of a worker relates to other outages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Circumstances {
    /// Nothing points to a cause other than one of the worker's tasks.
    Alone,
    /// Nothing points to a cause other than one of the worker's tasks, but the time of the loss is unknown.
    UnknownTime,
    /// Nothing points to a cause other than one of the worker's tasks, but this leader knows of none when it started.
    /// Each of them may explain the crash for the others. Without this, a healthy task that had been on two crashed
    /// workers failed its job at the third, beside the task that crashed it.
    UnknownStarts,
    /// Several other workers were lost at the same time, and it is unclear whether there is a common cause.
    Shared,
    /// There is a common cause: several other workers that had no suspect were lost at the same time, or the time of
    /// the loss is unknown and many were lost.
    Explained,
}

/// Tasks that are started together: a gang, identified by its step and `None`, or a single task, identified by its step
/// and index.
type StartUnit = (StepName, Option<u32>);
