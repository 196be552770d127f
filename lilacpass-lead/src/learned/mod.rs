//! What the leader learns from the ends of runs: how fast workers are, and how long tasks take.
//!
//! Load pattern: a pool in which a third of the workers is more than twice as fast as the others, and quick jobs that
//! are late if their last task runs on a slow worker. Nobody reports the speed of a worker, and the estimates of clients
//! are wrong by more than the speeds differ, but the tasks of a step are alike, so their durations can be compared.
//!
//! Nothing here is stored. A new leader counts all workers as equal until runs that it has started itself have ended.

pub mod durations;
pub mod preference;
pub mod speeds;

use lilacpass_core::hash_map::HashMap;
use lilacpass_jobs::{EndReason, StepName, TaskName, WorkerName, step::Step};
use lilacpass_schema::v1;

use crate::{
    event::Now,
    job_entry::JobEntry,
    leader::Leader,
    place,
    work::Part,
    worker::{AssignedRun, RunKey, Worker},
};

use durations::Durations;
use preference::SpeedPreference;
use speeds::{KindStatus, SpeedBucket, Speeds, TimedRun};

/// Shorter runs are not compared: the time until the leader hears of a start or an end, tens of ms, is too large a part
/// of their duration.
const MIN_TIMED_RUN_MS: u64 = 250;
/// Number of ended runs of a step that are compared with each other before the step is done. Limits the memory for steps
/// of thousands of tasks.
const MAX_TIMED_RUNS: usize = 128;

/// The learned state of a leader.
#[derive(Debug, Default)]
pub struct Learned {
    /// How fast the workers are.
    pub speeds: Speeds,
    /// How long tasks take, compared with the estimates of clients.
    pub durations: Durations,
    /// Ended runs of steps that are not done, to be compared with each other.
    timed_runs: HashMap<StepName, Vec<TimedRun>>,
}

impl Leader {
    /// The learned speed of a worker relative to the mean of its pool.
    pub fn relative_speed(&self, worker: &WorkerName) -> f64 {
        self.learned.speeds.relative(worker)
    }

    /// The learned speeds of the workers, by kind.
    pub fn speeds_by_kind(&self) -> Vec<KindStatus> {
        self.learned.speeds.by_kind()
    }

    /// Predicts how long a task takes on a worker of average speed, in ms.
    pub fn predict_ms(&self, queue: &str, image: &str, estimate_ms: u64) -> u64 {
        self.learned.durations.predict_ms(queue, image, estimate_ms)
    }

    /// Learns from the end of a run that was assigned to a worker. Called after the job has been updated.
    pub(crate) fn learn_from_end(
        &mut self,
        name: &WorkerName,
        task: TaskName,
        assigned: Option<AssignedRun>,
        reason: EndReason,
        now: Now,
    ) {
        let duration_ms = if reason == EndReason::Done && !self.has_just_stalled(now) {
            assigned.and_then(|assigned| self.timed_ms(name, task, &assigned, now))
        } else {
            None
        };
        let Some(entry) = self.jobs.get(&task.step.job) else { return };
        let is_done = entry.job.step(task.step).is_none_or(Step::is_done);
        if let Some(duration_ms) = duration_ms {
            let plan = entry.job.step_plan(task.step.step);
            let estimate_ms = u64::from(plan.estimate_ms);
            let at_mean_speed_ms = duration_ms as f64 * self.learned.speeds.relative(name);
            self.learned.durations.observe(
                &entry.job.queue.name,
                &plan.image,
                estimate_ms,
                at_mean_speed_ms as u64,
                now.steady_ms,
            );
            let run = TimedRun { worker: name.clone(), duration_ms };
            self.learned.timed_runs.entry(task.step).or_default().push(run);
        }
        let is_full = || {
            let runs = self.learned.timed_runs.get(&task.step);
            runs.is_some_and(|runs| runs.len() >= MAX_TIMED_RUNS)
        };
        if (is_done || is_full())
            && let Some(runs) = self.learned.timed_runs.remove(&task.step)
        {
            self.learned.speeds.compare_runs(&runs, now.steady_ms);
        }
    }

    /// Drops the ended runs of a step that will not be done.
    pub(crate) fn forget_timed_runs(&mut self, step: StepName) {
        self.learned.timed_runs.remove(&step);
    }

    /// The duration of a run that ended successfully, if it can be compared with other runs of its step: its start was
    /// confirmed to this leader, its end was heard of at once, and nothing but the worker's speed makes it differ.
    fn timed_ms(
        &self,
        name: &WorkerName,
        task: TaskName,
        assigned: &AssignedRun,
        now: Now,
    ) -> Option<u64> {
        let worker = self.workers.get(name)?;
        let plan = self.jobs.get(&task.step.job)?.job.step_plan(task.step.step);
        let is_far_from_data = !plan.affinity_rack.is_empty() && !place::is_near(worker, plan);
        if plan.lasting || plan.gang || plan.fills || is_far_from_data {
            return None;
        }
        // The response that lists the end may have been due long ago.
        if worker.failed_polls > 0 || worker.responded_again_ms == Some(now.steady_ms) {
            return None;
        }
        let duration_ms = now.steady_ms.saturating_sub(assigned.timed_from_ms?);
        (duration_ms >= MIN_TIMED_RUN_MS).then_some(duration_ms)
    }

    /// Updates the speeds of all workers, and the order in which workers are preferred.
    pub(crate) fn review_speeds(&mut self, now: Now) {
        self.visits.add(Part::Review, self.workers.len());
        let registered = self.workers.values().filter(|worker| worker.registered);
        let changes = self.learned.speeds.review(registered.map(kind_of), now.steady_ms);
        for (name, bucket) in changes {
            let Some(worker) = self.workers.get_mut(&name) else { continue };
            worker.speed = bucket;
            self.capacity_index.update(worker, now.steady_ms);
        }
    }

    /// Whether a run that may have a copy is on a slow worker and far from done, while a much faster worker has capacity
    /// and is allowed.
    pub(crate) fn has_much_faster_host(
        &self,
        worker: &Worker,
        (task, _): RunKey,
        plan: &v1::WorkStep,
        assigned: &AssignedRun,
        now: Now,
    ) -> bool {
        let is_far_from_done = assigned.progress.is_some_and(|progress| !progress.is_nearly_done());
        let need = place::need(plan);
        plan.speculative
            && preference::is_much_slower(worker.speed, SpeedBucket::default())
            && is_far_from_done
            && self.allowed_and_fitting(task.step, &need, now).into_iter().any(|other| {
                self.visits.add(Part::Review, 1);
                preference::is_much_slower(worker.speed, other.speed)
                    && need.fits(&other.free_capacity())
                    && self.could_start(other, task.step, plan, now)
            })
    }

    /// Which workers a step prefers by their speed.
    pub(crate) fn speed_preference(
        &self,
        entry: &JobEntry,
        plan: &v1::WorkStep,
    ) -> SpeedPreference {
        let queue = &entry.job.queue.name;
        let duration_ms =
            |step: &v1::WorkStep| self.predict_ms(queue, &step.image, u64::from(step.estimate_ms));
        preference::of_step(&entry.job, plan, self.open_jobs.most_urgent_priority(), duration_ms)
    }
}

/// The worker's name, service and first label, which names its kind.
fn kind_of(worker: &Worker) -> (&WorkerName, &str, &str) {
    let registration = &worker.registration;
    let label = registration.labels.first().map(String::as_str).unwrap_or_default();
    (&registration.name, &registration.service, label)
}
