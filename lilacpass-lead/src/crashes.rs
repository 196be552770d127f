//! What the crash of a worker says about the tasks that ran there, and how a suspected task is tried again.
//!
//! Load pattern: a task crashes each worker that starts it. Started again and again it takes one worker after the
//! other out of the cell, with all that runs beside it; its neighbours see as many crashes as it does, if it
//! is started often enough.
//!
//! A task speaks for itself by its worker answering for a while after its start. One that has not done so
//! when the worker crashes is a suspect. It is tried again on a worker where little runs, and to which nothing
//! else is sent before it has spoken: so the next crash has one suspect. Workers lost to a rack, a cut or a
//! rolling restart fall silent together, and some of them had no suspect: then nobody is.

use std::{cmp::Reverse, collections::BTreeSet, mem};

use lilacpass_jobs::{End, How, StepName, Suspicion, TaskName, WorkerName, job::Change};
use lilacpass_schema::v1;

use crate::{
    event::{Now, Registration},
    hosts::Host,
    leader::{Entry, Leader},
    place,
    silences::Silence,
    tally::Loss,
    worker::{Given, Phase, RunKey, Worker},
};

/// Other workers that fall silent together with one, with no suspect there, after which nothing that ran
/// on it is to blame.
const FEWEST_UNCAUSED: usize = 2;
/// Others that fall silent together with a worker, whatever ran there, so that none of them has a plain cause.
const FEWEST_TOGETHER: usize = 3;
/// The same that a new leader finds silent, so many that crashing tasks are a worse explanation.
const FEWEST_UNSEEN: usize = 4;
/// Others of its rack that make the rack the suspect, if they are half of it.
const FEWEST_OF_RACK: usize = 2;
/// A worker that was not heard of for so long when it was found silent may have crashed at any time in it.
const MOST_UNHEARD_MS: u64 = 2_000;
/// A run that has worked for so long clears its task of earlier crashes.
const ACQUITTED_AFTER_MS: u64 = 20_000;
/// How long a silent worker whose leases have run out is asked whether it has crashed, if nobody lists it.
const ASKED_FOR_MS: u64 = 30_000;

impl Leader {
    /// The life of a worker is known to be over: nothing runs there any more.
    pub(crate) fn life_over(&mut self, name: &WorkerName, now: Now) {
        let Some(worker) = self.workers.get(name) else { return };
        let loss = if worker.draining { Loss::Left } else { Loss::Crashed };
        log::info!(
            worker:% = name, how = loss.as_str(), runs = worker.runs.len(),
            silent_ms = worker.silent_ms(now.steady_ms);
            "worker is gone"
        );
        self.tally.lost(loss);
        if loss == Loss::Left {
            self.end_all(name, now);
        } else {
            self.end_all_crashed(name, now);
        }
        self.forget_worker(name);
    }

    fn end_all_crashed(&mut self, name: &WorkerName, now: Now) {
        let Some(worker) = self.workers.get(name) else { return };
        let suspicions = self.suspicions(worker, now);
        let is_silent = worker.silent_since_ms.is_some();
        let lapsed = self.workers.get_mut(name).map(|worker| mem::take(&mut worker.lapsed));
        if !is_silent {
            self.note_silence(name, now);
        }
        for (key, suspicion) in suspicions {
            self.end_crashed(name, key, suspicion, now);
        }
        // What was not ordered yet.
        self.end_all(name, now);
        for (key, suspicion) in lapsed.unwrap_or_default() {
            self.note_suspicion(name, key, suspicion);
            self.crashed_after_lapse(key, suspicion, now);
        }
    }

    fn end_crashed(&mut self, name: &WorkerName, key: RunKey, suspicion: Suspicion, now: Now) {
        let end = End { run: key.1, how: How::Crashed(suspicion), checkpoint: String::new() };
        self.note_suspicion(name, key, suspicion);
        self.end_run(name, key, &end, now);
    }

    /// A worker on which a run was given up when its leases had run out turns out to have crashed.
    fn crashed_after_lapse(&mut self, (task, run): RunKey, suspicion: Suspicion, now: Now) {
        let Some(entry) = self.jobs.get_mut(&task.step.job) else { return };
        let change = entry.job.note_crash(task, run, suspicion, now.unix_ms);
        self.outbox.waiting.states.insert(task.step.job);
        if change == Change::JobEnded {
            self.job_ended(task.step.job, now);
        }
    }

    fn note_suspicion(&mut self, name: &WorkerName, (task, run): RunKey, suspicion: Suspicion) {
        if suspicion == Suspicion::Cleared {
            return;
        }
        log::info!(
            task:% = task, run, worker:% = name, suspicion = suspicion.as_str();
            "worker crashed under task"
        );
        let address = self.workers.get(name).map(|worker| worker.entry.address.clone());
        let Some(entry) = self.jobs.get_mut(&task.step.job) else { return };
        entry.crashed_at.extend(address);
    }

    /// A worker has fallen silent.
    pub(crate) fn note_silence(&mut self, name: &WorkerName, now: Now) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.silent_since_ms = Some(now.steady_ms);
        self.silences.begin(Silence {
            worker: name.clone(),
            rack: worker.rack().to_owned(),
            since_ms: now.steady_ms,
            is_uncaused: worker.was_heard()
                && !worker.runs.values().any(|given| worker.is_unclear(given)),
        });
    }

    /// What the loss of a worker says about each run that it was ordered to start.
    fn suspicions(&self, worker: &Worker, now: Now) -> Vec<(RunKey, Suspicion)> {
        let loss = self.circumstances(worker, now);
        let suspects = self.suspects(worker);
        let is_known = suspects.iter().any(|suspect| self.was_suspected(suspect));
        let suspicion = |key: &RunKey, given: &Given| {
            let is_suspect =
                worker.is_suspect(given) && suspects.contains(&self.starts_with(key.0));
            let is_only = is_suspect && suspects.len() == 1;
            match loss {
                Circumstances::Explained if is_suspect && is_known => Suspicion::Present,
                Circumstances::Explained => Suspicion::Cleared,
                Circumstances::Alone if is_only => Suspicion::Only,
                Circumstances::Alone | Circumstances::Shared if is_suspect => Suspicion::Suspect,
                Circumstances::Shared => Suspicion::Cleared,
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
            suspects.map(|((task, _), _)| self.starts_with(*task)).collect();
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
        let since_ms = worker.silent_since_ms.unwrap_or(now.steady_ms);
        let unheard_ms = since_ms.saturating_sub(worker.heard_ms);
        let together: Vec<&Silence> =
            self.silences.together_with(&worker.entry.name, since_ms).collect();
        let uncaused = together.iter().filter(|other| other.is_uncaused).count();
        let stood_still =
            self.stood_still_ms.is_some_and(|ms| since_ms.abs_diff(ms) < MOST_UNHEARD_MS);
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

    fn is_rack_lost(&self, worker: &Worker, together: &[&Silence]) -> bool {
        let rack = worker.rack();
        let silent = together.iter().filter(|other| !rack.is_empty() && other.rack == rack).count();
        let of_rack = self.workers.values().filter(|other| other.rack() == rack).count();
        silent >= FEWEST_OF_RACK && 2 * silent >= of_rack
    }

    /// What starts together with a task: its gang, or itself alone.
    fn starts_with(&self, task: TaskName) -> StepOrTask {
        let entry = self.jobs.get(&task.step.job);
        let is_gang = entry.is_some_and(|entry| entry.job.step_plan(task.step.step).gang);
        (task.step, if is_gang { None } else { Some(task.index) })
    }

    /// A worker of a former leader is taken for gone: nobody lists it, and it does not answer. What ran there is known
    /// to have been there at a crash, until the worker turns out to live. Several at a time are a common cause.
    pub(crate) fn gone_unseen(&mut self, name: &WorkerName, missing: usize, now: Now) {
        log::info!(worker:% = name, missing; "worker is taken for gone");
        self.tally.lost(Loss::Lapsed);
        let suspicion =
            if missing > FEWEST_UNSEEN { Suspicion::Cleared } else { Suspicion::Present };
        let keys: Vec<RunKey> =
            self.workers.get(name).map(|w| w.runs.keys().copied().collect()).unwrap_or_default();
        for &key in &keys {
            self.end_crashed(name, key, suspicion, now);
        }
        if !keys.is_empty() {
            let tasks = keys.iter().map(|(task, _)| (*task, suspicion)).collect();
            self.taken_for_gone.insert(name.clone(), tasks);
        }
        self.forget_worker(name);
    }

    /// A worker is registered: if it was taken for gone, it had been cut off and nothing crashed it.
    pub(crate) fn lives_after_all(&mut self, name: &WorkerName) {
        for (task, suspicion) in self.taken_for_gone.remove(name).unwrap_or_default() {
            let Some(entry) = self.jobs.get_mut(&task.step.job) else { continue };
            if entry.job.retract_crash(task, suspicion) {
                self.outbox.waiting.beside.insert(task.step.job);
            }
        }
    }

    /// A worker registers that was not known. One that is silent at the same address has most likely crashed; only once
    /// its leases have run out does anything follow from it.
    pub(crate) fn note_address(&mut self, entry: &Registration) {
        if self.workers.contains_key(&entry.name) {
            return;
        }
        let before = self.by_address.insert(entry.address.clone(), entry.name.clone());
        let before = before.and_then(|name| self.workers.get_mut(&name));
        if let Some(worker) = before.filter(|worker| worker.failed_looks > 0) {
            worker.is_replaced = true;
        }
    }

    /// A silent worker's leases have run out. What ran there starts elsewhere; whether the worker crashed or
    /// was cut off is known once it answers, or another life of it does.
    pub(crate) fn lapse_worker(&mut self, name: &WorkerName, now: Now) {
        let Some(worker) = self.workers.get(name) else { return };
        let may_have_crashed = worker.failed_looks > 0 && !worker.draining;
        if may_have_crashed && worker.is_replaced {
            self.end_all_crashed(name, now);
        } else if may_have_crashed {
            let lapsed = self.suspicions(worker, now);
            if let Some(worker) = self.workers.get_mut(name) {
                worker.lapsed.extend(lapsed);
            }
        }
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.commanded = false;
        self.rooms.note(worker);
        self.end_all(name, now);
    }

    /// Whether a worker that is not registered any more may still tell that it has crashed.
    pub(crate) fn is_asked(worker: &Worker, now: Now) -> bool {
        !worker.lapsed.is_empty()
            && !worker.entry.address.is_empty()
            && now.steady_ms < worker.lapsed_by_ms + ASKED_FOR_MS
    }

    /// Whether a task is to be tried where its worker's crash would do least harm and show most: workers have
    /// crashed under it, or are silent since its start.
    pub(crate) fn is_on_trial(&self, entry: &Entry, name: TaskName) -> bool {
        let runs = entry.job.task(name).map(|task| task.runs.as_slice()).unwrap_or_default();
        let is_lost_at_start = |run: &lilacpass_jobs::Run| {
            let worker = self.workers.get(&run.worker).filter(|worker| worker.failed_looks > 0);
            worker.is_some_and(|worker| {
                let given = worker.runs.get(&(name, run.number));
                given.is_some_and(|given| worker.is_suspect(given))
            })
        };
        entry.job.is_suspected(name) || runs.iter().any(is_lost_at_start)
    }

    /// Picks workers for tasks that may crash them, one each: where fewest others have yet to show that they
    /// are harmless, and where a crash does least harm.
    pub(crate) fn pick_for_trials(
        &self,
        entry: &Entry,
        hosts: &[Host],
        plan: &v1::WorkStep,
        count: usize,
    ) -> Vec<WorkerName> {
        let need = place::need(plan);
        let mut able: Vec<_> = hosts
            .iter()
            .filter(|host| host.may_take > 0 && need.fits(&host.room))
            .filter_map(|host| Some((host, self.workers.get(&host.name)?)))
            .map(|(host, worker)| {
                let unclear = worker.runs.values().filter(|given| worker.is_unclear(given)).count();
                let crashed = entry.crashed_at.contains(&worker.entry.address);
                let struck = worker.runs.keys().filter(|(task, _)| self.was_struck(*task)).count();
                let rating = (crashed, unclear, struck, worker.runs.len(), Reverse(host.score));
                (rating, &host.name)
            })
            .collect();
        able.sort_unstable();
        able.into_iter().take(count).map(|(_, name)| name.clone()).collect()
    }

    /// Whether a worker has crashed under a task.
    fn was_struck(&self, task: TaskName) -> bool {
        let entry = self.jobs.get(&task.step.job);
        entry.and_then(|entry| entry.job.task(task)).is_some_and(|task| task.crashes.known > 0)
    }

    /// A task that may crash its worker is given to one: nothing else is, before the task has shown itself
    /// harmless.
    pub(crate) fn begin_trial(&mut self, name: &WorkerName, key: RunKey) {
        log::info!(task:% = key.0, run = key.1, worker:% = name; "task is tried by itself");
        if let Some(worker) = self.workers.get_mut(name) {
            worker.trial = Some(key);
        }
    }

    /// A worker has answered: ends its trial if that shows the task to be harmless.
    pub(crate) fn review_trial(&mut self, name: &WorkerName) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(key) = worker.trial else { return };
        let is_clear = worker.runs.get(&key).is_none_or(|given| !worker.is_unclear(given));
        if is_clear {
            worker.trial = None;
            self.news.free(name);
        }
    }

    /// A run is at work: clears its task of earlier crashes once it has been for long.
    pub(crate) fn review_acquittal(&mut self, key: RunKey, started_ms: Option<u64>, now: Now) {
        if started_ms.is_none_or(|ms| now.steady_ms < ms + ACQUITTED_AFTER_MS) {
            return;
        }
        let Some(entry) = self.jobs.get_mut(&key.0.step.job) else { return };
        if entry.job.acquit(key.0) {
            self.outbox.waiting.beside.insert(key.0.step.job);
        }
    }

    /// A job has failed: tells why.
    pub(crate) fn note_failure(&mut self, entry_key: lilacpass_jobs::JobKey) {
        let failure = self.jobs.get(&entry_key).and_then(|entry| entry.job.failure);
        let Some(failure) = failure else { return };
        self.tally.failed(failure.cause);
        log::warn!(
            job:% = entry_key, cause = failure.cause.as_str(), task:% = failure.task,
            count = failure.count;
            "job failed"
        );
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
