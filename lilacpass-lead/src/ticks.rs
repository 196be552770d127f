//! What the leader does with time alone: expiries, retries, reviews and cleaning up.

use std::mem;

use lilacpass_jobs::{JobKey, Outcome};

use crate::{event::Now, leader::Leader, options::Mechanism, work::Part};

/// If more time than this passes between two ticks, the leader itself counts as late. Ticks come every 50 ms.
const LATE_TICK_MS: u64 = 150;
/// If more time than this passes between two ticks, the leader counts as stalled: it can't tell when events happened in
/// the meantime.
const STALL_MS: u64 = 1_000;
/// Minimum interval between reviews, in ms. Workers hardly report progress more often.
const REVIEW_INTERVAL_MS: u64 = 200;
/// Maximum number of items that reviews of all workers and runs go through per second.
const MAX_REVIEW_VISITS_PER_SECOND: u64 = 30_000;
/// How often ended jobs are checked for those whose retention time is over.
pub(crate) const CLEANUP_INTERVAL_MS: u64 = 10_000;

impl Leader {
    /// Does what comes with time alone.
    pub(crate) fn on_tick(&mut self, now: Now) {
        if now.steady_ms > self.last_tick_ms + LATE_TICK_MS {
            self.response_loss.clear();
        }
        if now.steady_ms > self.last_tick_ms + STALL_MS {
            self.last_stall_ms = Some(now.steady_ms);
        }
        self.last_tick_ms = now.steady_ms;
        self.update_pressure(now);
        while let Some(&(due_ms, key)) = self.upcoming_occurrences.first() {
            if due_ms > now.unix_ms {
                break;
            }
            self.upcoming_occurrences.pop_first();
            self.reindex(key, now);
        }
        self.expire_unresponsive_workers(now);
        self.retry_stops(now);
        self.stop_unanswered_beyond_caps(now);
        self.update_fair_use(now);
        self.repeat_overdue_advice_calls(now);
        self.suspect_silent_data_centres(now);
        self.review(now);
        self.refuse_unstored_jobs(now);
        self.log_unresponsive_workers(now);
        if now.steady_ms >= self.next_cleanup_ms {
            self.next_cleanup_ms = now.steady_ms + CLEANUP_INTERVAL_MS;
            self.forget_old_jobs(now);
            self.forget_old_incarnations(now);
            self.check_all_leases();
        }
    }

    /// Whether the leader was late so recently that it may hear only now of what happened meanwhile.
    pub(crate) fn has_just_stalled(&self, now: Now) -> bool {
        const CATCH_UP_MS: u64 = 500;
        now.steady_ms > self.last_tick_ms + LATE_TICK_MS
            || self.last_stall_ms.is_some_and(|ms| now.steady_ms < ms + CATCH_UP_MS)
    }

    /// Updates the pressure level, and logs a change.
    fn update_pressure(&mut self, now: Now) {
        let scan_ms = self.scan.duration_ms(now);
        let changed_level = self.pressure.tick(scan_ms, self.work.steps_examined, now);
        if self.options.uses(Mechanism::Admission) {
            self.admission.update(self.pressure.mean_delay_ms(), now);
        }
        let Some(level) = changed_level else { return };
        log::info!(
            leader = level.as_str(), behind_ms = self.pressure.behind_ms(),
            tries_a_round = self.pressure.max_steps_per_round(), waiting = self.waiting.len(),
            unseen = self.pending_changes.changed_step_count(),
            refused_permille = self.admission.share().refused_permille();
            "pressure level changed"
        );
    }

    /// Reviews what may have changed without an event.
    fn review(&mut self, now: Now) {
        if now.steady_ms < self.next_review_ms {
            return;
        }
        self.next_review_ms = now.steady_ms + REVIEW_INTERVAL_MS;
        if self.options.uses(Mechanism::Replacement) {
            self.copy_unresponsive_runs(now);
        }
        self.update_pool_sizes();
        if now.steady_ms >= self.next_full_review_ms {
            self.review_all(now);
        }
    }

    /// Reviews all workers and their runs. The more there are, the rarer are these reviews.
    fn review_all(&mut self, now: Now) {
        let before = self.visits.read().of(Part::Review);
        if self.options.uses(Mechanism::Replacement) {
            self.replace_stuck_runs(now);
        }
        self.count_responsive_workers();
        self.review_speeds(now);
        let visits = self.visits.read().of(Part::Review) - before;
        let pause_ms = visits * 1_000 / MAX_REVIEW_VISITS_PER_SECOND;
        self.next_full_review_ms = now.steady_ms + pause_ms.max(REVIEW_INTERVAL_MS);
    }

    /// Counts the registered workers of each service, if that may have changed.
    fn update_pool_sizes(&mut self) {
        if !mem::take(&mut self.are_pool_sizes_outdated) {
            return;
        }
        self.visits.add(Part::Review, self.workers.len());
        self.pool_sizes.clear();
        for worker in self.workers.values().filter(|worker| worker.registered) {
            match self.pool_sizes.get_mut(&worker.registration.service) {
                Some(size) => *size += 1,
                None => {
                    self.pool_sizes.insert(worker.registration.service.clone(), 1);
                }
            }
        }
    }

    fn forget_old_jobs(&mut self, now: Now) {
        let retention_ms = self.options.retention_ms;
        let old_jobs: Vec<JobKey> = self
            .jobs
            .values()
            .filter(|entry| {
                entry.visible_outcome != Outcome::Open
                    && entry.job.ended_ms + retention_ms < now.unix_ms
                    && entry.job.live_runs().is_empty()
            })
            .map(|entry| entry.job.key)
            .collect();
        for key in old_jobs {
            // Drops advice that arrived after the end of the job.
            self.release_steps(key);
            self.remove_job(key);
            self.outbox.pending.deletions.insert(key);
        }
        let jobs = &self.jobs;
        self.presumed_gone
            .retain(|_, tasks| tasks.iter().any(|task| jobs.contains_key(&task.step.job)));
    }
}
