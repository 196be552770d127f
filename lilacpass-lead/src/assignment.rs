//! Assignment of runs to workers. It is stored before the start is sent.

use std::collections::BTreeMap;

use lilacpass_jobs::{RunHost, StepName, TaskName, WorkerName};

use crate::{
    event::Now,
    leader::Leader,
    outbox::OnStored,
    worker::{Phase, Worker},
};

impl Leader {
    /// Begins a run of a task on a worker.
    pub(crate) fn assign(&mut self, task: TaskName, worker: WorkerName, now: Now) {
        let entry = self.jobs.get(&task.step.job);
        let is_on_trial = entry.is_some_and(|entry| self.is_on_trial(entry, task));
        let Some(entry) = self.jobs.get_mut(&task.step.job) else { return };
        let host = run_host(&self.workers, &worker);
        let Some(run) = entry.job.assign_run(task, host) else { return };
        entry.wanted_copies.remove(&task);
        self.record_start(task, run, worker.clone(), now);
        if is_on_trial {
            self.begin_trial(&worker, (task, run), now);
        }
        self.reindex_step(task.step, now);
    }

    /// Begins a run of all tasks of a gang at once, the first task on the first worker and so on.
    pub(crate) fn assign_gang(&mut self, name: StepName, workers: &[WorkerName], now: Now) {
        let Some(entry) = self.jobs.get_mut(&name.job) else { return };
        let hosts: Vec<RunHost> =
            workers.iter().map(|worker| run_host(&self.workers, worker)).collect();
        let is_on_trial = entry.job.is_suspected(name.task(0));
        let Some(run) = entry.job.assign_gang(name, &hosts) else { return };
        self.reservations.release(name);
        for (index, worker) in workers.iter().enumerate() {
            let task = name.task(index as u32);
            self.record_start(task, run, worker.clone(), now);
            if is_on_trial {
                self.begin_trial(worker, (task, run), now);
            }
        }
        self.reindex_step(name, now);
    }

    /// Records a start to be stored. The start order is sent to the worker once the store has confirmed it.
    fn record_start(&mut self, task: TaskName, run: u32, name: WorkerName, now: Now) {
        let need = self.need_of(task);
        self.reservations.consume(task.step, &name, &need);
        self.waiting.record_start(task.step, now.steady_ms);
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.assign((task, run), need, Phase::Recording);
            self.capacity_index.update(worker, now.steady_ms);
            self.charge_run(&name, (task, run));
        }
        log::info!(task:% = task, run, worker:% = name, need:% = need; "task placed");
        self.outbox.pending.states.insert(task.step.job);
        self.outbox.when_stored(OnStored::SendStart { worker: name, task, run });
    }
}

/// Returns the worker of a run as it is recorded. Data centre and address are empty if the worker is unknown.
fn run_host(workers: &BTreeMap<WorkerName, Worker>, name: &WorkerName) -> RunHost {
    let (data_centre, address) = workers.get(name).map_or(("", ""), |worker| {
        let registration = &worker.registration;
        (registration.data_centre.as_str(), registration.address.as_str())
    });
    RunHost::new(name.clone(), data_centre, address)
}
