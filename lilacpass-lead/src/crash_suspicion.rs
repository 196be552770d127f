//! What the crash of a worker says about the tasks that ran there.
//!
//! Load pattern: a task crashes each worker that starts it, and its neighbours see as many crashes as it does, if
//! it is started often enough.
//!
//! A task speaks for itself by its worker answering for a while after its start. One that has not done so
//! when the worker crashes is a suspect, and one that has is not counted beside it. Workers lost to a rack, a
//! cut or a rolling restart fall silent together, and some of them had no suspect: then nobody is.

use std::collections::BTreeSet;

use lilacpass_jobs::{StepName, Suspicion, TaskName};

use crate::{
    event::Now,
    leader::Leader,
    outages::Outage,
    worker::{AssignedRun, Phase, RunKey, Worker},
};

/// Other workers that fall silent together with one, with no suspect there, after which nothing that ran
/// on it is to blame.
const FEWEST_UNCAUSED: usize = 2;
/// Others that fall silent together with a worker, whatever ran there, so that none of them has a plain cause.
const FEWEST_TOGETHER: usize = 3;
/// The same that a new leader finds silent, so many that crashing tasks are a worse explanation.
pub(crate) const FEWEST_UNSEEN: usize = 4;
/// Others of its rack that make the rack the suspect, if they are half of it.
const FEWEST_OF_RACK: usize = 2;
/// A worker that was not heard of for so long when it was found silent may have crashed at any time in it.
const MOST_UNHEARD_MS: u64 = 2_000;

impl Leader {
    /// What the loss of a worker says about each run that it was ordered to start.
    pub(crate) fn suspicions(&self, worker: &Worker, now: Now) -> Vec<(RunKey, Suspicion)> {
        let loss = self.circumstances(worker, now);
        let suspects = self.suspects(worker);
        let is_known = suspects.iter().any(|suspect| self.was_suspected(suspect));
        let suspicion = |key: &RunKey, given: &AssignedRun| {
            let is_suspect =
                worker.is_suspect(given) && suspects.contains(&self.starting_unit(key.0));
            let has_started = given.started_ms.is_some();
            let is_only = is_suspect && suspects.len() == 1 && has_started;
            match loss {
                Circumstances::Explained if is_suspect && is_known => Suspicion::Present,
                Circumstances::Explained => Suspicion::Cleared,
                Circumstances::Alone if is_only => Suspicion::Only,
                Circumstances::Alone | Circumstances::Shared if is_suspect => Suspicion::Suspect,
                Circumstances::Shared => Suspicion::Cleared,
                Circumstances::Alone if !suspects.is_empty() => Suspicion::Cleared,
                _ if is_known && !is_suspect => Suspicion::Cleared,
                Circumstances::Alone | Circumstances::Unseen => Suspicion::Present,
            }
        };
        let ordered = worker.runs.iter().filter(|(_, given)| given.phase != Phase::Recording);
        ordered.map(|(key, given)| (*key, suspicion(key, given))).collect()
    }

    /// What may have crashed a worker: of all that it did not outlive, that which was suspected before.
    fn suspects(&self, worker: &Worker) -> BTreeSet<StepOrTask> {
        let suspects = worker.runs.iter().filter(|(_, given)| worker.is_suspect(given));
        let suspects: BTreeSet<StepOrTask> =
            suspects.map(|((task, _), _)| self.starting_unit(*task)).collect();
        let known: BTreeSet<StepOrTask> =
            suspects.iter().copied().filter(|suspect| self.was_suspected(suspect)).collect();
        if known.is_empty() { suspects } else { known }
    }

    fn was_suspected(&self, (step, index): &StepOrTask) -> bool {
        let entry = self.jobs.get(&step.job);
        entry.is_some_and(|entry| entry.job.is_suspected(step.task(index.unwrap_or(0))))
    }

    /// What else was lost together with a worker.
    fn circumstances(&self, worker: &Worker, now: Now) -> Circumstances {
        let since_ms = worker.unresponsive_since_ms.unwrap_or(now.steady_ms);
        let unheard_ms = since_ms.saturating_sub(worker.last_response_ms);
        let together: Vec<&Outage> =
            self.outages.concurrent_with(&worker.registration.name, since_ms).collect();
        let uncaused = together.iter().filter(|other| other.has_no_suspect).count();
        let stood_still =
            self.last_stall_ms.is_some_and(|ms| since_ms.abs_diff(ms) < MOST_UNHEARD_MS);
        let is_shared = together.len() >= FEWEST_TOGETHER || self.is_rack_lost(worker, &together);
        let is_unseen = stood_still || unheard_ms > MOST_UNHEARD_MS;
        let many = if stood_still { FEWEST_TOGETHER } else { FEWEST_UNSEEN };
        if uncaused >= FEWEST_UNCAUSED || is_unseen && together.len() >= many {
            Circumstances::Explained
        } else if is_unseen {
            Circumstances::Unseen
        } else if is_shared {
            Circumstances::Shared
        } else {
            Circumstances::Alone
        }
    }

    /// Whether half of a worker's rack fell silent together with it.
    fn is_rack_lost(&self, worker: &Worker, together: &[&Outage]) -> bool {
        let rack = worker.rack();
        let silent = together.iter().filter(|other| !rack.is_empty() && other.rack == rack).count();
        let of_rack = || self.workers.values().filter(|other| other.rack() == rack).count();
        silent >= FEWEST_OF_RACK && 2 * silent >= of_rack()
    }

    /// What starts together with a task: its gang, or itself alone.
    fn starting_unit(&self, task: TaskName) -> StepOrTask {
        let entry = self.jobs.get(&task.step.job);
        let is_gang = entry.is_some_and(|entry| entry.job.step_plan(task.step.step).gang);
        (task.step, if is_gang { None } else { Some(task.index) })
    }
}

/// What else was lost together with a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Circumstances {
    /// Nothing that tells of another cause.
    Alone,
    /// The same, but nobody knows when it was.
    Unseen,
    /// Several others, which may have their own causes or a common one.
    Shared,
    /// Others without a cause of their own, or many of which nobody knows when it was.
    Explained,
}

/// A gang by its step, or a task by its step and index.
type StepOrTask = (StepName, Option<u32>);
