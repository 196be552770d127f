//! Orders to workers: starts and stops, and what their answers or silence mean.

use lilacpass_core::Verdict;
use lilacpass_jobs::{TaskName, WorkerName};

use crate::{
    event::{CallError, Effect, Now, Refusal},
    leader::Leader,
    worker::{Phase, RunKey},
};

impl Leader {
    /// Orders a run that is recorded.
    pub(crate) fn order(&mut self, name: &WorkerName, task: TaskName, run: u32, now: Now) {
        let key = (task, run);
        let recorded = self.workers.get(name).and_then(|worker| worker.runs.get(&key));
        if recorded.map(|given| given.phase) != Some(Phase::Recording) {
            return;
        }
        let Some(entry) = self.jobs.get(&task.step.job) else { return };
        let payload = entry.job.plan.payload.clone();
        let checkpoint = entry.job.checkpoint(task).to_owned();
        let needs_ticket = entry.job.queue.advice.is_some();
        let ticket = self
            .advice
            .get(&task.step)
            .and_then(|advice| advice.ticket(name, now.steady_ms))
            .map(str::to_owned);
        let lease_ms = self.options.lease_ms;
        let may_extend = self.may_extend(now);
        let Some(worker) = self.workers.get_mut(name) else { return };
        let startable = may_extend && worker.commanded && !worker.draining;
        if !startable || needs_ticket && ticket.is_none() {
            log::info!(task:% = task, run, worker:% = name, startable; "order not sent");
            return self.void_run(name, key, now);
        }
        let Some(lease_until_ms) = worker.extend_lease(lease_ms, now.steady_ms) else {
            return self.void_run(name, key, now);
        };
        worker.set_phase(key, Phase::Ordered);
        let address = worker.entry.address.clone();
        self.effects.push(Effect::Start {
            worker: name.clone(),
            address,
            task,
            run,
            payload,
            lease_until_ms,
            checkpoint,
            ticket,
        });
    }

    pub(crate) fn on_started(
        &mut self,
        name: &WorkerName,
        task: TaskName,
        run: u32,
        result: Result<(), CallError>,
        now: Now,
    ) {
        let key = (task, run);
        let avoid_ms = self.options.avoid_ms;
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(given) = worker.runs.get(&key).copied() else { return };
        match result {
            Ok(()) => {
                if given.phase == Phase::Ordered {
                    worker.set_phase(key, Phase::Running { since_ms: now.steady_ms });
                }
            }
            Err(CallError::OtherLife) => self.life_over(name, now),
            Err(CallError::Failed(Verdict::NotRun)) => {
                worker.avoid(now.steady_ms, avoid_ms);
                log::info!(task:% = task, run, worker:% = name; "start did not reach its worker");
                self.void_run(name, key, now);
            }
            Err(CallError::Failed(Verdict::MayHaveRun | Verdict::Ran)) => {
                worker.avoid(now.steady_ms, avoid_ms);
                log::info!(task:% = task, run, worker:% = name; "start got no answer");
                if given.phase == Phase::Ordered {
                    worker.set_phase(key, Phase::Uncertain { since_ms: now.steady_ms });
                }
                self.look_now(name);
            }
            Err(CallError::Refused(refusal)) => {
                log::info!(task:% = task, run, worker:% = name, refusal:? = refusal; "start refused");
                match refusal {
                    Refusal::Fence => self.effects.push(Effect::Deposed),
                    Refusal::Ticket => {
                        if let Some(advice) = self.advice.get_mut(&task.step) {
                            advice.drop_ticket(name);
                        }
                    }
                    Refusal::Old => {}
                    Refusal::Room | Refusal::Late | Refusal::Unhealthy | Refusal::Malformed => {
                        worker.avoid(now.steady_ms, avoid_ms);
                    }
                }
                self.void_run(name, key, now);
            }
        }
    }

    /// Has a run stopped. A run that has not been ordered is dropped at once.
    pub(crate) fn stop_run(&mut self, name: &WorkerName, key: RunKey, now: Now) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(given) = worker.runs.get(&key).copied() else { return };
        match given.phase {
            Phase::Recording => self.void_run(name, key, now),
            Phase::Stopping { .. } => {}
            Phase::Ordered | Phase::Uncertain { .. } | Phase::Running { .. } => {
                let sent_ms = now.steady_ms;
                worker.set_phase(key, Phase::Stopping { sent_ms, confirmed_ms: None });
                self.send_stop(name, key);
            }
        }
    }

    fn send_stop(&mut self, name: &WorkerName, key: RunKey) {
        let Some(worker) = self.workers.get(name) else { return };
        if worker.entry.address.is_empty() {
            return;
        }
        let address = worker.entry.address.clone();
        let (task, run) = key;
        self.effects.push(Effect::Stop { worker: name.clone(), address, task, run });
    }

    pub(crate) fn on_stopped(
        &mut self,
        name: &WorkerName,
        task: TaskName,
        run: u32,
        result: Result<(), CallError>,
        now: Now,
    ) {
        let key = (task, run);
        match result {
            Ok(()) => {
                let Some(worker) = self.workers.get_mut(name) else { return };
                let phase = worker.runs.get(&key).map(|given| given.phase);
                if let Some(Phase::Stopping { sent_ms, .. }) = phase {
                    let confirmed_ms = Some(now.steady_ms);
                    worker.set_phase(key, Phase::Stopping { sent_ms, confirmed_ms });
                }
            }
            Err(CallError::OtherLife) => self.life_over(name, now),
            Err(CallError::Refused(Refusal::Fence)) => self.effects.push(Effect::Deposed),
            Err(err) => {
                log::debug!(task:% = task, run, worker:% = name, error:? = err; "stop failed");
            }
        }
    }

    /// Sends stops again that were not confirmed, and looks where confirmed ones are not settled.
    pub(crate) fn repeat_stops(&mut self, now: Now) {
        let retry_ms = self.options.stop_retry_ms;
        let mut due = Vec::new();
        let mut unsettled = Vec::new();
        for (name, worker) in &mut self.workers {
            for (key, given) in &mut worker.runs {
                let Phase::Stopping { sent_ms, confirmed_ms } = given.phase else { continue };
                if now.steady_ms < sent_ms + retry_ms {
                    continue;
                }
                given.phase = Phase::Stopping { sent_ms: now.steady_ms, confirmed_ms };
                if confirmed_ms.is_some() {
                    unsettled.push(name.clone());
                } else {
                    due.push((name.clone(), *key));
                }
            }
        }
        for (name, key) in due {
            self.send_stop(&name, key);
        }
        for name in unsettled {
            self.look_now(&name);
        }
    }
}
