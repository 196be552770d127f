//! Stopping recorded tasks that are no longer wanted where they run.

use lilacpass_core::{
    MonoTime,
    ids::{AttemptNo, JobId, TaskId},
};
use lilacpass_decide::HoldId;
use lilacpass_schema::v1;

use crate::{
    Control, calls::PeerOrigin, event::PeerReply, history, tasks::State, workers::HeldWorker,
};

impl Control {
    /// Stops tasks of an attempt on request of its driver.
    pub(crate) fn on_stop_tasks(
        &mut self,
        origin: PeerOrigin,
        request: &v1::StopTasksRequest,
        now: MonoTime,
    ) {
        if let Ok(job) = request.job_id.parse::<JobId>() {
            let attempt = AttemptNo(request.attempt);
            self.scheduler.pool.unhold(&HoldId { job, attempt });
            let control = match request.checkpoint {
                true => v1::TaskControl::Checkpoint,
                false => v1::TaskControl::Stop,
            };
            self.stop_attempt_here(job, attempt, control, now);
        }
        self.reply_peer(origin, Ok(PeerReply::StopTasks));
    }

    /// Stops the tasks of an attempt that run on held workers.
    pub(crate) fn stop_attempt_here(
        &mut self,
        job: JobId,
        attempt: AttemptNo,
        control: v1::TaskControl,
        now: MonoTime,
    ) {
        let first = TaskId { job, attempt, index: 0 };
        let last = TaskId { job, attempt, index: u32::MAX };
        let tasks: Vec<TaskId> = self.recorded.range(first..=last).map(|(task, _)| *task).collect();
        for task in tasks {
            self.stop_recorded(task, control, now);
        }
    }

    /// Sends a stop for a running task, again where an earlier one had no effect.
    pub(crate) fn stop_recorded(&mut self, task: TaskId, control: v1::TaskControl, now: MonoTime) {
        let again = self.settings.task_lease / 4;
        let Some(recorded) = self.recorded.get_mut(&task) else { return };
        let sent_lately = recorded.stop_sent.is_some_and(|at| now.since(at) < again);
        if recorded.state != State::Running || sent_lately {
            return;
        }
        recorded.stop_sent = Some(now);
        let worker = recorded.worker.clone();
        self.control_task(&worker, &task, control, now);
    }

    /// Stops a task that runs although its job was cancelled, has ended or is at another attempt.
    pub(crate) fn stop_if_unwanted(&mut self, task: TaskId, now: MonoTime) {
        let wanted = self.jobs.get(&task.job).is_none_or(|job| history::wants(job, &task));
        if !wanted {
            self.stop_recorded(task, v1::TaskControl::Stop, now);
        }
    }

    /// Looks again at what runs on held workers: cancelled jobs, and standing work on workers that
    /// are to be emptied.
    pub(crate) fn stop_unwanted_tasks(&mut self, now: MonoTime) {
        let tasks: Vec<TaskId> = self.recorded.keys().copied().collect();
        for task in tasks {
            self.stop_if_unwanted(task, now);
            self.move_from_draining(task, now);
        }
    }

    /// Work that can be moved leaves a worker that takes no new work: standing work is stopped and
    /// starts elsewhere, checkpointable work goes on from its checkpoint.
    fn move_from_draining(&mut self, task: TaskId, now: MonoTime) {
        let Some(worker) = self.recorded.get(&task).map(|recorded| recorded.worker.clone()) else {
            return;
        };
        let draining = self.inventory.worker(&worker).is_some_and(|worker| worker.draining)
            || self.held.get(&worker).is_some_and(HeldWorker::is_leaving);
        if !draining {
            return;
        }
        let Some(job) = self.jobs.get(&task.job) else { return };
        let control = match (job.spec().checkpointable, job.spec().standing) {
            (true, _) => v1::TaskControl::Checkpoint,
            (false, true) => v1::TaskControl::Stop,
            (false, false) => return,
        };
        self.stop_recorded(task, control, now);
    }
}
