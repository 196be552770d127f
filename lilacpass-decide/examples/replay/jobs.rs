//! The drivers of the replayed cell: jobs wait in the queue of an entry instance, which places them
//! on the holders.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use lilacpass_core::ids::{AttemptNo, JobId};
use lilacpass_decide::{HoldId, TeamUsage, WaitingJob};

use crate::cell::{Cell, HOLDERS, Job, at};

/// A job that found no room is tried again after this time.
const RETRY_JOB: Duration = Duration::from_millis(500);
const HOLD_FOR: Duration = Duration::from_secs(2);

impl Cell<'_> {
    pub(crate) fn job_ended(&mut self, index: usize, bad: bool, now_us: u64) {
        let Some(job) = self.jobs.get_mut(&index) else { return };
        if bad {
            job.attempt += 1;
            if self.works[index].tasks == 1 {
                self.requeue(index, now_us);
            }
            return;
        }
        job.tasks_left = job.tasks_left.saturating_sub(1);
        if job.tasks_left == 0 {
            self.jobs.remove(&index);
            self.stats.jobs_done += 1;
        }
    }

    pub(crate) fn job(&mut self, index: usize, now_us: u64) {
        self.stats.arrived(&self.works[index], self.setup);
        let work = &self.works[index];
        let job = Job { attempt: 1, left_us: work.run_us, tasks_left: work.tasks, started: false };
        self.jobs.insert(index, job);
        self.requeue(index, now_us);
    }

    pub(crate) fn requeue(&mut self, index: usize, now_us: u64) {
        let entry = index % HOLDERS;
        let work = &self.works[index];
        let waiting = WaitingJob {
            job: JobId(index as u128),
            meta: work.meta.clone(),
            each: self.size(entry, index),
            tasks: work.tasks,
            since: at(work.arrives_us),
        };
        self.queues[entry].push(waiting);
        self.drive(entry, now_us);
    }

    /// Places the jobs that wait at one driver.
    pub(crate) fn drive(&mut self, entry: usize, now_us: u64) {
        const AT_ONCE: usize = 8;
        let now = at(now_us);
        let mut usage = TeamUsage::default();
        for holder in &self.holders {
            usage.capacity = usage.capacity.plus(&holder.pool.capacity());
            holder.pool.usage().iter().for_each(|(team, given)| usage.add(team, given));
        }
        let clock = Instant::now();
        let next = self.queues[entry].next(&usage, now, AT_ONCE);
        if !next.is_empty() {
            self.stats.decided(clock.elapsed());
        }
        for job in next {
            let index = job.0 as usize;
            let placed = match self.works[index].tasks {
                1 => self.place_job(entry, index, now_us),
                _ => self.place_gang(entry, index, now_us),
            };
            match placed {
                true => drop(self.queues[entry].remove(&job)),
                false => self.queues[entry].retry_at(&job, now + RETRY_JOB),
            }
        }
    }

    pub(crate) fn place_job(&mut self, entry: usize, index: usize, now_us: u64) -> bool {
        let need = self.size(entry, index);
        let meta = self.works[index].meta.clone();
        let task = self.task_id(index, self.jobs[&index].attempt, 0);
        let mut tried = BTreeSet::new();
        while tried.len() < HOLDERS {
            let avoid: Vec<usize> = tried.iter().copied().collect();
            let Some(holder) = self.choose(entry, &need, &avoid, now_us) else { return false };
            tried.insert(holder);
            let clock = Instant::now();
            let pool = &mut self.holders[holder].pool;
            let placed = pool.place_and_give(task, need, &meta, &[], at(now_us));
            self.stats.decided(clock.elapsed());
            if let Ok(worker) = placed {
                self.job_started(index, now_us);
                self.run(task, index, holder, worker, need, now_us);
                return true;
            }
        }
        false
    }

    pub(crate) fn place_gang(&mut self, entry: usize, index: usize, now_us: u64) -> bool {
        let now = at(now_us);
        let need = self.size(entry, index);
        let meta = self.works[index].meta.clone();
        let attempt = AttemptNo(self.jobs[&index].attempt);
        let id = HoldId { job: JobId(index as u128), attempt };
        let mut left: Vec<u32> = (0..self.works[index].tasks).collect();
        let mut held = Vec::new();
        for (n, holder) in self.holders.iter_mut().enumerate() {
            let clock = Instant::now();
            let got = holder.pool.hold(id, &left, &need, &meta, &[], now + HOLD_FOR, now);
            self.stats.decided(clock.elapsed() / u32::try_from(got.len().max(1)).unwrap_or(1));
            left.retain(|task| !got.iter().any(|(index, _)| index == task));
            held.extend(got.into_iter().map(|(task, _)| (task, n)));
            if left.is_empty() {
                break;
            }
        }
        if !left.is_empty() {
            self.holders.iter_mut().for_each(|holder| holder.pool.unhold(&id));
            return false;
        }
        self.job_started(index, now_us);
        for (task, holder) in held {
            let task = id.task(task);
            if let Some(worker) = self.holders[holder].pool.commit_hold(task, now) {
                self.run(task, index, holder, worker, need, now_us);
            }
        }
        true
    }

    pub(crate) fn job_started(&mut self, index: usize, now_us: u64) {
        let job = self.jobs.get_mut(&index).expect("the job lives");
        if !job.started {
            job.started = true;
            self.stats.started(&self.works[index], now_us, self.setup);
        }
    }
}
