//! Starts of runs on the workers, and what must hold at each of them.

use lilacpass_jobs::{Job, StepName, TaskName};
use lilacpass_lead::event::CallError;

use super::World;

impl World {
    /// Starts a run on a worker, if it accepts the order. `is_late` says whether the order is carried out late.
    pub(super) fn start(
        &mut self,
        worker_index: usize,
        task: TaskName,
        run: u32,
        epoch: u64,
        lease_until_ms: u64,
        is_late: bool,
    ) -> Result<(), CallError> {
        self.workers[worker_index].accepts(task, run, epoch, lease_until_ms)?;
        if self.workers[worker_index].runs.contains_key(&task) {
            return Ok(());
        }
        let job = self.store.job(task.step.job).expect("a task of a stored job");
        self.check_start(worker_index, task, &job);
        self.requests.started.insert(job.key);
        let plan = job.step_plan(task.step.step);
        let speed_percent = self.workers[worker_index].speed_percent;
        let work_ms = u64::from(plan.estimate_ms).max(1) * 100 / speed_percent;
        let fails = self.random.percent(3) || self.workers[worker_index].fails_all_runs;
        let need = lilacpass_lead::place::need(plan);
        let now_ms = self.now_ms;
        self.workers[worker_index].begin(task, run, need, now_ms + work_ms, fails, plan.lasting);
        self.check_cap(task, job.account.as_ref(), is_late);
        self.schedule_crash(worker_index, task);
        Ok(())
    }

    /// Checks what must hold at each start.
    fn check_start(&self, worker_index: usize, task: TaskName, job: &Job) {
        let plan = job.step_plan(task.step.step);
        for worker in self.workers.iter().filter(|worker| worker.alive) {
            assert!(
                plan.speculative || !worker.runs.contains_key(&task),
                "{task} starts on {} while it runs on {}",
                self.workers[worker_index].name,
                worker.name
            );
        }
        assert!(
            !self.workers.iter().any(|worker| worker.stored_done.contains(&task)),
            "{task} starts again after its successful end was stored"
        );
        let need = lilacpass_lead::place::need(plan);
        let used = self.workers[worker_index].used().plus(&need);
        assert!(
            used.fits(&self.workers[worker_index].limit(self.now_ms)),
            "{task} brings {} over its capacity: {used}",
            self.workers[worker_index].name
        );
        for &earlier in &plan.after {
            let step = StepName { step: earlier, ..task.step };
            for index in 0..job.step_plan(earlier).count {
                let earlier = step.task(index);
                let done = self.workers.iter().any(|worker| worker.done.contains(&earlier));
                assert!(done, "{task} starts before {earlier} is done");
            }
        }
    }
}
