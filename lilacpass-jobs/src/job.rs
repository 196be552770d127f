//! The state machine of a job: which steps may start, and how the end of a run changes the job.

use std::slice;

use lilacpass_schema::v1;

use crate::{
    end::{EndReason, RunEnd, Suspicion},
    failure::{Cause, Failure},
    ids::{JobKey, StepName, TaskName, WorkerName},
    record,
    step::Step,
    task::{Run, RunHost, Task},
};

/// Whether a job is open, and how it ended if it is not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The job has tasks that wait, run or are due later.
    #[default]
    Open,
    /// All tasks are done.
    Completed,
    /// A task or a gang failed too often, or crashed too many workers.
    Failed,
    /// The client cancelled the job.
    Cancelled,
}

impl Outcome {
    /// The name that is written to logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}

/// The state of a job with all its occurrences.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Name of the job.
    pub key: JobKey,
    /// The plan that the client submitted.
    pub plan: v1::WorkPlan,
    /// Policy of the queue of the job at the time of its acceptance.
    pub queue: v1::QueuePolicy,
    /// Time of acceptance, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// The account that submitted the job, as of its acceptance; `None` if its queue is public.
    pub account: Option<v1::AccountPolicy>,
    /// Whether the account had used up its share when the job was accepted.
    pub is_beyond_share: bool,
    /// Whether the job is open, and how it ended if it is not.
    pub outcome: Outcome,
    /// The reason of the failure; `None` unless the job failed.
    pub failure: Option<Failure>,
    /// Time at which the job ended, in milliseconds since 1970; 0 while it is open.
    pub ended_ms: u64,
    /// Whether a worker is known to have started a task. Runs that are only assigned don't count, because their
    /// start orders may never have arrived.
    pub has_started: bool,
    /// The steps of each occurrence, by number of the occurrence.
    pub occurrences: Vec<Vec<Step>>,
    /// Length of the encoded tasks without what may be left out; see [`record::min_task_len`].
    min_state_bytes: usize,
}

/// How the end of a run changed its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The run was no longer known, so nothing changed.
    None,
    /// The task may start again, or a copy of it is still running.
    Waiting,
    /// The task is done.
    TaskDone,
    /// The job reached its outcome.
    JobEnded,
}

impl Job {
    /// Creates a newly accepted job.
    pub fn new(key: JobKey, record: v1::PlanRecord) -> Self {
        let plan = record.plan.unwrap_or_default();
        let occurrence: Vec<Step> = plan.steps.iter().map(|step| Step::new(step.count)).collect();
        let occurrences = vec![occurrence; plan.repeat_count.max(1) as usize];
        Self {
            key,
            plan,
            queue: record.queue.unwrap_or_default(),
            accepted_ms: record.accepted_ms,
            account: record.account,
            is_beyond_share: record.beyond_share,
            outcome: Outcome::Open,
            failure: None,
            ended_ms: 0,
            has_started: false,
            occurrences,
            min_state_bytes: 0,
        }
    }

    /// Returns the plan of a step.
    pub fn step_plan(&self, step: u32) -> &v1::WorkStep {
        &self.plan.steps[step as usize]
    }

    /// Returns the state of a step, or `None` if the job has no such step.
    pub fn step(&self, name: StepName) -> Option<&Step> {
        self.occurrences.get(name.occurrence as usize)?.get(name.step as usize)
    }

    /// Returns the state of a task, or `None` if the job has no such task.
    pub fn task(&self, name: TaskName) -> Option<&Task> {
        self.step(name.step)?.tasks().get(name.index as usize)
    }

    fn change_step<R>(&mut self, name: StepName, change: impl FnOnce(&mut Step) -> R) -> Option<R> {
        let step =
            self.occurrences.get_mut(name.occurrence as usize)?.get_mut(name.step as usize)?;
        self.min_state_bytes -= step.min_record_bytes();
        let result = change(step);
        self.min_state_bytes += step.min_record_bytes();
        Some(result)
    }

    /// Changes the state of a task. Returns `None` if the job has no such task.
    pub fn change_task<R>(
        &mut self,
        name: TaskName,
        change: impl FnOnce(&mut Task) -> R,
    ) -> Option<R> {
        self.change_step(name.step, |step| step.change(name.index, change))?
    }

    /// Returns whether the state of the job fits one record of the store if runs with this number are assigned to `hosts`.
    fn is_recordable(&self, number: u32, hosts: &[RunHost]) -> bool {
        let added = hosts
            .iter()
            .map(|host| record::max_assignment_len(number, &host.worker, &host.data_centre));
        self.min_state_bytes + added.sum::<usize>() <= record::MAX_ASSIGNED_STATE_BYTES
    }

    /// Returns whether another run fits the record of the state, if the names of its worker and data centre have a usual
    /// length. Without room, no run needs to be tried until another one has ended.
    pub fn has_room_for_run(&self) -> bool {
        self.min_state_bytes + record::USUAL_RUN_LEN <= record::MAX_ASSIGNED_STATE_BYTES
    }

    /// Returns the time at which an occurrence is due, in milliseconds since 1970; 0 means at once.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        if self.plan.repeat_count == 0 {
            return 0;
        }
        self.plan.first_run_ms + u64::from(occurrence) * self.plan.interval_ms
    }

    /// Returns the names of all steps, by occurrence and then by step.
    pub fn step_names(&self) -> impl Iterator<Item = StepName> + use<> {
        let job = self.key;
        let steps = self.plan.steps.len() as u32;
        let occurrences = self.occurrences.len() as u32;
        (0..occurrences).flat_map(move |occurrence| {
            (0..steps).map(move |step| StepName { job, occurrence, step })
        })
    }

    /// Returns the names of all tasks of a step.
    pub fn task_names(&self, step: StepName) -> impl Iterator<Item = TaskName> + use<> {
        (0..self.step_plan(step.step).count).map(move |index| step.task(index))
    }

    /// Returns whether the job is open, the occurrence is due and all steps that this one depends on are done.
    pub fn step_may_start(&self, name: StepName, unix_ms: u64) -> bool {
        let Some(steps) = self.occurrences.get(name.occurrence as usize) else { return false };
        self.outcome == Outcome::Open
            && unix_ms >= self.due_ms(name.occurrence)
            && self
                .step_plan(name.step)
                .after
                .iter()
                .all(|&earlier| steps[earlier as usize].is_done())
    }

    /// Records that a worker has started a task. Returns whether this was not known before.
    pub fn mark_started(&mut self) -> bool {
        let is_changed = !self.has_started;
        self.has_started = true;
        is_changed
    }

    /// Returns all tasks of all occurrences.
    pub fn tasks(&self) -> impl Iterator<Item = &Task> {
        self.occurrences.iter().flatten().flat_map(Step::tasks)
    }

    /// Returns all runs that may be on workers, with the names of their tasks.
    pub fn live_runs(&self) -> Vec<(TaskName, Run)> {
        let mut live = Vec::new();
        for step in self.step_names() {
            for task in self.task_names(step) {
                let runs = self.task(task).map(|t| t.runs.as_slice()).unwrap_or_default();
                live.extend(runs.iter().map(|run| (task, run.clone())));
            }
        }
        live
    }

    /// Assigns the next run of a task to a worker. Returns the number of the run, or `None` if the state of the job would
    /// not fit a record any more. There is room again once other runs of the job have ended.
    pub fn assign_run(&mut self, name: TaskName, host: RunHost) -> Option<u32> {
        let number = self.task(name)?.last_run + 1;
        if !self.is_recordable(number, slice::from_ref(&host)) {
            return None;
        }
        self.change_task(name, |task| {
            task.last_run = number;
            task.runs.push(Run { number, host });
            number
        })
    }

    /// Assigns the next run of a gang to its workers, one per task. Returns the number of the run, which all members
    /// share, or `None` as [`Job::assign_run`].
    pub fn assign_gang(&mut self, name: StepName, hosts: &[RunHost]) -> Option<u32> {
        let number = self.step(name)?.tasks().iter().map(|task| task.last_run).max()? + 1;
        if !self.is_recordable(number, hosts) {
            return None;
        }
        self.change_step(name, |step| {
            for (index, host) in (0..).zip(hosts) {
                step.change(index, |task| {
                    task.last_run = number;
                    task.runs.push(Run { number, host: host.clone() });
                });
            }
        })?;
        Some(number)
    }

    /// Returns the checkpoint from which the next run of a task starts. All members of a gang share one checkpoint.
    pub fn checkpoint(&self, name: TaskName) -> &str {
        let is_shared = self.step_plan(name.step.step).gang;
        let holder = if is_shared { name.step.task(0) } else { name };
        self.task(holder).map(|task| task.checkpoint.as_str()).unwrap_or_default()
    }

    /// Stores a checkpoint that a worker reports for a run. Does nothing if it is empty.
    pub fn update_checkpoint(&mut self, name: TaskName, checkpoint: &str) {
        let is_shared = self.step_plan(name.step.step).gang;
        let holder = if is_shared { name.step.task(0) } else { name };
        if checkpoint.is_empty() || self.checkpoint(holder) == checkpoint {
            return;
        }
        self.change_task(holder, |task| task.checkpoint = checkpoint.to_owned());
    }

    /// Assigns a run to another incarnation of its worker, in which its start order turned out to have been carried
    /// out. Returns whether the run is known.
    pub fn reassign_run(
        &mut self,
        name: TaskName,
        number: u32,
        from: &WorkerName,
        to: &WorkerName,
    ) -> bool {
        let is_reassigned = self.change_task(name, |task| {
            let mut runs = task.runs.iter_mut();
            let run = runs.find(|run| run.number == number && run.host.worker == *from);
            run.map(|run| run.host.worker = to.clone()).is_some()
        });
        is_reassigned.unwrap_or(false)
    }

    /// Handles the end of a run on a worker. `unix_ms` is the current time, in milliseconds since 1970.
    pub fn end_run(
        &mut self,
        name: TaskName,
        worker: &WorkerName,
        end: &RunEnd,
        unix_ms: u64,
    ) -> Change {
        let removed = self.change_task(name, |task| {
            let runs_before = task.runs.len();
            task.runs.retain(|run| run.number != end.run || run.host.worker != *worker);
            (task.runs.len() == runs_before, task.done)
        });
        let Some((is_unknown, is_done)) = removed else { return Change::None };
        // A run that was dropped because its worker was unresponsive may still have finished its work.
        let is_late_success = end.reason == EndReason::Done && !is_done;
        if is_unknown && !is_late_success {
            return Change::None;
        }
        self.update_checkpoint(name, &end.checkpoint);
        match end.reason {
            EndReason::Done => self.handle_task_done(name, unix_ms),
            EndReason::Failed => self.handle_task_failed(name, end.run, unix_ms),
            EndReason::Crashed(suspicion) => {
                self.record_crash(name, end.run, worker, suspicion, unix_ms)
            }
            EndReason::Stopped
            | EndReason::Expired
            | EndReason::GangBroken
            | EndReason::GangIncomplete
            | EndReason::NeverStarted => Change::Waiting,
        }
    }

    fn handle_task_done(&mut self, name: TaskName, unix_ms: u64) -> Change {
        let plan = self.step_plan(name.step.step);
        if plan.lasting {
            return Change::Waiting;
        }
        let gang = plan.gang;
        let is_known = self.change_step(name.step, |step| {
            if gang {
                // The members of a gang finish together, so the end of one member counts for all.
                step.change_all(|task| task.done = true);
            } else {
                step.change(name.index, |task| task.done = true);
            }
        });
        if is_known.is_none() {
            return Change::None;
        }
        let all_done = self.occurrences.iter().flatten().all(Step::is_done);
        if self.outcome == Outcome::Open && all_done {
            return self.end(Outcome::Completed, unix_ms);
        }
        Change::TaskDone
    }

    fn handle_task_failed(&mut self, name: TaskName, run: u32, unix_ms: u64) -> Change {
        let plan = self.step_plan(name.step.step);
        if plan.lasting {
            return Change::Waiting;
        }
        let counting = self.counting_task(name);
        let attempts = self.queue.attempts.max(1);
        let count = self.change_task(counting, |task| {
            // Every member of a gang reports the failure of the same run; it counts once.
            if task.done || run == task.failed_run {
                return 0;
            }
            task.failed_run = run;
            task.failed += 1;
            task.failed
        });
        let Some(count) = count else { return Change::None };
        if count < attempts {
            return Change::Waiting;
        }
        self.fail(Failure { task: name, cause: Cause::Attempts, count }, unix_ms)
    }

    /// Records that a worker crashed during a run. The run must already have been removed from its task.
    pub fn record_crash(
        &mut self,
        name: TaskName,
        run: u32,
        worker: &WorkerName,
        suspicion: Suspicion,
        unix_ms: u64,
    ) -> Change {
        let counting = self.counting_task(name);
        let recorded = self.change_task(counting, |task| {
            // Several members of a gang may have lost their workers in the same run; it counts once.
            if task.done || run == task.crashes.last_run {
                return (false, 0);
            }
            (task.crashes.record(run, worker, suspicion), task.crashes.known)
        });
        let Some((is_over_limit, count)) = recorded else { return Change::None };
        if !is_over_limit {
            return Change::Waiting;
        }
        self.fail(Failure { task: name, cause: Cause::Crashes, count }, unix_ms)
    }

    /// Returns the task in whose state the failed runs and crashes of a task are counted: the task itself, or the first
    /// one of its gang, because the members of a gang fail together.
    fn counting_task(&self, name: TaskName) -> TaskName {
        if self.step_plan(name.step.step).gang { name.step.task(0) } else { name }
    }

    /// Returns whether a task may crash its next worker.
    pub fn is_suspected(&self, name: TaskName) -> bool {
        self.task(self.counting_task(name)).is_some_and(|task| task.crashes.is_suspect())
    }

    /// Removes the crashes counted against a task, after a run of it has lasted so long that it can't have caused them.
    /// Returns whether anything changed.
    pub fn clear_crashes(&mut self, name: TaskName) -> bool {
        let counting = self.counting_task(name);
        self.change_task(counting, |task| task.crashes.clear()).unwrap_or(false)
    }

    /// Removes a crash of a worker that turned out to be alive. Returns whether anything changed.
    pub fn retract_crash(&mut self, name: TaskName, worker: &WorkerName) -> bool {
        let counting = self.counting_task(name);
        self.change_task(counting, |task| task.crashes.retract(worker)).unwrap_or(false)
    }

    /// Returns the number of all crashes counted for a task, or for its gang.
    pub fn known_crashes(&self, name: TaskName) -> u32 {
        self.task(self.counting_task(name)).map_or(0, |task| task.crashes.known)
    }

    /// Returns the workers whose crashes have no better explanation than this task, as far as their names are
    /// recorded.
    pub fn crashed_workers(&self, name: TaskName) -> Vec<WorkerName> {
        let task = self.task(self.counting_task(name));
        let crashes = task.into_iter().flat_map(|task| &task.crashes.unexplained);
        let workers = crashes.map(|crash| &crash.worker);
        workers.filter(|worker| !worker.id().is_empty()).cloned().collect()
    }

    /// Returns whether a worker crashed while it ran a task of this job.
    pub fn has_crashes(&self) -> bool {
        self.tasks().any(|task| task.crashes.known > 0)
    }

    /// Marks the crashes of `workers` as caused by a task of another job. Returns whether this explains a crash that
    /// was counted against a task of this job.
    pub fn explain_crashes(&mut self, workers: &[WorkerName]) -> bool {
        let mut is_changed = false;
        for name in self.step_names() {
            self.change_step(name, |step| {
                step.change_all(|task| {
                    for worker in workers {
                        is_changed |= task.crashes.explain(worker);
                    }
                });
            });
        }
        is_changed
    }

    fn fail(&mut self, failure: Failure, unix_ms: u64) -> Change {
        if self.outcome != Outcome::Open {
            return Change::Waiting;
        }
        self.failure = Some(failure);
        self.end(Outcome::Failed, unix_ms)
    }

    /// Cancels the job if it is open. Returns whether it was.
    pub fn cancel(&mut self, unix_ms: u64) -> bool {
        if self.outcome != Outcome::Open {
            return false;
        }
        self.end(Outcome::Cancelled, unix_ms);
        true
    }

    fn end(&mut self, outcome: Outcome, unix_ms: u64) -> Change {
        self.outcome = outcome;
        self.ended_ms = unix_ms;
        self.drop_encoded();
        Change::JobEnded
    }

    /// Drops the encoded tasks of a job that has ended: it is hardly stored again, and is kept for minutes.
    pub(crate) fn drop_encoded(&mut self) {
        self.occurrences.iter_mut().flatten().for_each(Step::drop_encoded);
    }
}
