//! A job: which tasks may start, and what the end of a run means for it.

use std::sync::Arc;

use lilacpass_schema::v1;

use crate::{
    end::{EndReason, RunEnd, Suspicion},
    failure::{Cause, Failure},
    ids::{JobKey, StepName, TaskName, WorkerName},
    task::{Run, Task},
};

/// What has become of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Its tasks wait, run or repeat.
    #[default]
    Open,
    /// All tasks are done.
    Completed,
    /// A task or a gang has failed too often, or crashed its workers.
    Failed,
    /// Its caller has cancelled it.
    Cancelled,
}

impl Outcome {
    /// The name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}

/// A step of one occurrence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Its tasks.
    pub tasks: Vec<Task>,
}

impl Step {
    /// Whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.done)
    }

    /// Whether all tasks wait, as a gang needs before its next run.
    pub fn all_waiting(&self) -> bool {
        self.tasks.iter().all(Task::is_waiting)
    }
}

/// A job with all its occurrences.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Its name.
    pub key: JobKey,
    /// What the caller asked for.
    pub plan: v1::WorkPlan,
    /// How its queue treats it, as of its acceptance.
    pub queue: v1::QueuePolicy,
    /// Time of day of its acceptance, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// What has become of it.
    pub outcome: Outcome,
    /// Why it failed, if it did.
    pub failure: Option<Failure>,
    /// Time of day at which the outcome was known, in milliseconds since 1970; 0 while open.
    pub ended_ms: u64,
    /// A worker is known to have begun a task. Runs that were only given out don't count: their orders
    /// may never have arrived.
    pub has_started: bool,
    /// Per occurrence, its steps.
    pub occurrences: Vec<Vec<Step>>,
}

/// What the end of a run changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The run was not known any more; nothing changed.
    None,
    /// The task may start again, or copies of it go on.
    Waiting,
    /// The task is done.
    TaskDone,
    /// The job has come to its outcome.
    JobEnded,
}

impl Job {
    /// A job that has just been accepted.
    pub fn new(key: JobKey, record: v1::PlanRecord) -> Self {
        let plan = record.plan.unwrap_or_default();
        let occurrence: Vec<Step> = plan
            .steps
            .iter()
            .map(|step| Step { tasks: vec![Task::default(); step.count as usize] })
            .collect();
        let occurrences = vec![occurrence; plan.repeat_count.max(1) as usize];
        Self {
            key,
            plan,
            queue: record.queue.unwrap_or_default(),
            accepted_ms: record.accepted_ms,
            outcome: Outcome::Open,
            failure: None,
            ended_ms: 0,
            has_started: false,
            occurrences,
        }
    }

    /// What the caller asked for in a step.
    pub fn step_plan(&self, step: u32) -> &v1::WorkStep {
        &self.plan.steps[step as usize]
    }

    /// The state of a step, if the job has it.
    pub fn step(&self, name: StepName) -> Option<&Step> {
        self.occurrences.get(name.occurrence as usize)?.get(name.step as usize)
    }

    /// A task, if the job has it.
    pub fn task(&self, name: TaskName) -> Option<&Task> {
        self.step(name.step)?.tasks.get(name.index as usize)
    }

    /// A task, to be changed.
    pub fn task_mut(&mut self, name: TaskName) -> Option<&mut Task> {
        let steps = self.occurrences.get_mut(name.step.occurrence as usize)?;
        steps.get_mut(name.step.step as usize)?.tasks.get_mut(name.index as usize)
    }

    /// When an occurrence is due, as time of day in milliseconds since 1970; 0 is at once.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        if self.plan.repeat_count == 0 {
            return 0;
        }
        self.plan.first_run_ms + u64::from(occurrence) * self.plan.interval_ms
    }

    /// Names of all steps, in order.
    pub fn step_names(&self) -> impl Iterator<Item = StepName> + use<> {
        let job = self.key;
        let steps = self.plan.steps.len() as u32;
        let occurrences = self.occurrences.len() as u32;
        (0..occurrences).flat_map(move |occurrence| {
            (0..steps).map(move |step| StepName { job, occurrence, step })
        })
    }

    /// Names of the tasks of a step.
    pub fn task_names(&self, step: StepName) -> impl Iterator<Item = TaskName> + use<> {
        (0..self.step_plan(step.step).count).map(move |index| step.task(index))
    }

    /// Whether all steps that this one waits for are done and its time has come.
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

    /// Notes that a worker has begun a task. Returns whether that is news.
    pub fn mark_started(&mut self) -> bool {
        let is_news = !self.has_started;
        self.has_started = true;
        is_news
    }

    /// All tasks.
    pub fn tasks(&self) -> impl Iterator<Item = &Task> {
        self.occurrences.iter().flatten().flat_map(|step| &step.tasks)
    }

    fn tasks_mut(&mut self) -> impl Iterator<Item = &mut Task> {
        self.occurrences.iter_mut().flatten().flat_map(|step| &mut step.tasks)
    }

    /// Names of all runs that may be on workers.
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

    /// Gives the next run of a task to a worker in a data centre. Returns its number.
    pub fn assign_run(
        &mut self,
        name: TaskName,
        worker: WorkerName,
        data_centre: Arc<str>,
    ) -> Option<u32> {
        let task = self.task_mut(name)?;
        let number = task.last_run + 1;
        task.last_run = number;
        task.runs.push(Run { number, worker, data_centre });
        Some(number)
    }

    /// Gives the next run of a gang to its workers, one per task. All members share the number.
    pub fn assign_gang(
        &mut self,
        name: StepName,
        workers: &[(WorkerName, Arc<str>)],
    ) -> Option<u32> {
        let steps = self.occurrences.get_mut(name.occurrence as usize)?;
        let tasks = &mut steps.get_mut(name.step as usize)?.tasks;
        let number = tasks.iter().map(|task| task.last_run).max()? + 1;
        for (task, (worker, data_centre)) in tasks.iter_mut().zip(workers) {
            task.last_run = number;
            let (worker, data_centre) = (worker.clone(), data_centre.clone());
            task.runs.push(Run { number, worker, data_centre });
        }
        Some(number)
    }

    /// The saved progress with which a task starts next. Members of a gang share theirs.
    pub fn checkpoint(&self, name: TaskName) -> &str {
        let shared = self.step_plan(name.step.step).gang;
        let holder = if shared { name.step.task(0) } else { name };
        self.task(holder).map(|task| task.checkpoint.as_str()).unwrap_or_default()
    }

    /// Notes progress that a worker reports of a run.
    pub fn update_checkpoint(&mut self, name: TaskName, checkpoint: &str) {
        let shared = self.step_plan(name.step.step).gang;
        let holder = if shared { name.step.task(0) } else { name };
        if checkpoint.is_empty() || self.checkpoint(holder) == checkpoint {
            return;
        }
        if let Some(task) = self.task_mut(holder) {
            task.checkpoint = checkpoint.to_owned();
        }
    }

    /// Notes the end of a run on a worker. `unix_ms` is the time of day.
    pub fn end_run(
        &mut self,
        name: TaskName,
        worker: &WorkerName,
        end: &RunEnd,
        unix_ms: u64,
    ) -> Change {
        let Some(task) = self.task_mut(name) else { return Change::None };
        let known = task.runs.len();
        task.runs.retain(|run| run.number != end.run || run.worker != *worker);
        let was_given_up = task.runs.len() == known;
        // A run that was given up because its worker was silent may have done its work all the same.
        let counts_late = end.reason == EndReason::Done && !task.done;
        if was_given_up && !counts_late {
            return Change::None;
        }
        self.update_checkpoint(name, &end.checkpoint);
        match end.reason {
            EndReason::Done => self.task_done(name, unix_ms),
            EndReason::Failed => self.task_failed(name, end.run, unix_ms),
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

    fn task_done(&mut self, name: TaskName, unix_ms: u64) -> Change {
        let plan = self.step_plan(name.step.step);
        if plan.lasting {
            return Change::Waiting;
        }
        let gang = plan.gang;
        let Some(steps) = self.occurrences.get_mut(name.step.occurrence as usize) else {
            return Change::None;
        };
        let tasks = &mut steps[name.step.step as usize].tasks;
        if gang {
            // The members end together; one end stands for all.
            tasks.iter_mut().for_each(|task| task.done = true);
        } else {
            tasks[name.index as usize].done = true;
        }
        let all_done = self.occurrences.iter().flatten().all(Step::is_done);
        if self.outcome == Outcome::Open && all_done {
            return self.close(Outcome::Completed, unix_ms);
        }
        Change::TaskDone
    }

    fn task_failed(&mut self, name: TaskName, run: u32, unix_ms: u64) -> Change {
        let plan = self.step_plan(name.step.step);
        if plan.lasting {
            return Change::Waiting;
        }
        let counted = self.counted_task(name);
        let attempts = self.queue.attempts.max(1);
        let Some(task) = self.task_mut(counted) else { return Change::None };
        // Of a gang each member reports the failure of the same run.
        if task.done || run == task.failed_run {
            return Change::Waiting;
        }
        task.failed_run = run;
        task.failed += 1;
        let count = task.failed;
        if count < attempts {
            return Change::Waiting;
        }
        self.give_up(Failure { task: name, cause: Cause::Attempts, count }, unix_ms)
    }

    /// Notes that a worker has crashed under a run, which is not on it any more.
    pub fn record_crash(
        &mut self,
        name: TaskName,
        run: u32,
        worker: &WorkerName,
        suspicion: Suspicion,
        unix_ms: u64,
    ) -> Change {
        let counted = self.counted_task(name);
        let Some(task) = self.task_mut(counted) else { return Change::None };
        // Of a gang several members may have lost their workers.
        if task.done || run == task.crashes.last_run {
            return Change::Waiting;
        }
        let is_spent = task.crashes.count(run, worker, suspicion);
        let count = task.crashes.known;
        if !is_spent {
            return Change::Waiting;
        }
        self.give_up(Failure { task: name, cause: Cause::Crashes, count }, unix_ms)
    }

    /// The task by which runs are counted: the members of a gang fail together.
    fn counted_task(&self, name: TaskName) -> TaskName {
        if self.step_plan(name.step.step).gang { name.step.task(0) } else { name }
    }

    /// Whether a task may crash its next worker.
    pub fn is_suspected(&self, name: TaskName) -> bool {
        self.task(self.counted_task(name)).is_some_and(|task| task.crashes.is_suspect())
    }

    /// A run has worked for so long that the crashes before can't have been its task's doing. Returns
    /// whether that is news.
    pub fn clear_crashes(&mut self, name: TaskName) -> bool {
        let counted = self.counted_task(name);
        self.task_mut(counted).is_some_and(|task| task.crashes.forget())
    }

    /// A worker that was counted as crashed under a task had only been there, and lives. Returns whether that changes
    /// anything.
    pub fn retract_crash(&mut self, name: TaskName, worker: &WorkerName) -> bool {
        let counted = self.counted_task(name);
        self.task_mut(counted).is_some_and(|task| task.crashes.retract(worker))
    }

    /// Workers that crashed under a task without a better explanation, as far as their names are recorded.
    pub fn crashed_workers(&self, name: TaskName) -> Vec<WorkerName> {
        let task = self.task(self.counted_task(name));
        let crashes = task.into_iter().flat_map(|task| &task.crashes.unexplained);
        let workers = crashes.map(|crash| &crash.worker);
        workers.filter(|worker| !worker.as_str().is_empty()).cloned().collect()
    }

    /// Whether a worker has crashed under any of its tasks.
    pub fn has_crashes(&self) -> bool {
        self.tasks().any(|task| task.crashes.known > 0)
    }

    /// Workers are found to have been crashed by another job's task. Returns whether that explains a crash under one of
    /// these.
    pub fn explain_crashes(&mut self, workers: &[WorkerName]) -> bool {
        let mut is_news = false;
        for task in self.tasks_mut() {
            for worker in workers {
                is_news |= task.crashes.explain(worker);
            }
        }
        is_news
    }

    fn give_up(&mut self, failure: Failure, unix_ms: u64) -> Change {
        if self.outcome != Outcome::Open {
            return Change::Waiting;
        }
        self.failure = Some(failure);
        self.close(Outcome::Failed, unix_ms)
    }

    /// Notes that the caller wants the job cancelled. Returns whether that changed anything.
    pub fn cancel(&mut self, unix_ms: u64) -> bool {
        if self.outcome != Outcome::Open {
            return false;
        }
        self.close(Outcome::Cancelled, unix_ms);
        true
    }

    fn close(&mut self, outcome: Outcome, unix_ms: u64) -> Change {
        self.outcome = outcome;
        self.ended_ms = unix_ms;
        Change::JobEnded
    }
}
