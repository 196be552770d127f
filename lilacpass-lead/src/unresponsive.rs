//! Workers and data centres that do not respond: when nothing is started there, how the workers are polled, and how that
//! is logged.

use lilacpass_jobs::WorkerName;

use crate::{
    event::{CallError, Now},
    leader::Leader,
    work::Part,
    worker::{PollState, Worker},
};

/// Maximum pause between two polls of an unresponsive worker, in multiples of the retry pause.
const MAX_RETRY_PAUSES: u64 = 4;

impl Leader {
    /// Processes the failure of a poll.
    pub(crate) fn on_poll_failed(
        &mut self,
        name: &WorkerName,
        extra: bool,
        err: &CallError,
        now: Now,
    ) {
        let retry_pause_ms = self.options.poll_retry_ms;
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.failed_polls += 1;
        self.capacity_index.update(worker, now.steady_ms);
        let is_first_failure = worker.failed_polls == 1;
        if !extra {
            // Polls again at once after the first failure: perhaps only the response was lost, and the leader learns of
            // the ends in it only from the response to the next poll.
            let pauses = u64::from(worker.failed_polls - 1).min(MAX_RETRY_PAUSES);
            worker.poll = PollState::Due { at_ms: now.steady_ms + retry_pause_ms * pauses };
        }
        self.unresponsive_workers.insert(name.clone());
        if is_first_failure {
            if self.worker_log_limit.allows(now.steady_ms) {
                log::info!(worker:% = name, error:? = err; "worker does not respond");
            }
            self.record_outage(name, now);
            self.suspect_data_centre(name, now);
        }
    }

    /// Suspects the data centre of a worker that does not respond if it seems to be unreachable.
    ///
    /// Unresponsive workers don't count while others in their data centre respond. If one response in twenty is lost,
    /// several of a hundred workers are unresponsive at any moment, and without this condition starts on their
    /// neighbours were held back twenty times a second.
    pub(crate) fn suspect_data_centre(&mut self, name: &WorkerName, now: Now) {
        /// A single unresponsive worker is no sign that its data centre is unreachable.
        const MIN_UNRESPONSIVE: usize = 2;
        let Some(worker) = self.workers.get(name) else { return };
        let data_centre = &worker.registration.data_centre;
        if !self.data_centres.needs_review(data_centre, now.steady_ms) {
            return;
        }
        self.work.workers_reviewed += self.workers.len() as u64;
        let is_unresponsive = |worker: &&Worker| {
            worker.registration.data_centre == *data_centre
                && (worker.failed_polls > 0 || now.steady_ms < worker.starts_paused_until_ms)
        };
        let unresponsive = self.workers.values().filter(is_unresponsive);
        if unresponsive.take(MIN_UNRESPONSIVE).count() == MIN_UNRESPONSIVE {
            let data_centre = data_centre.clone();
            self.suspect_workers_of(&data_centre, now);
        }
    }

    /// Suspects the data centre of a crashed worker, of which no call has failed, if another worker there was lost at the
    /// same time.
    ///
    /// Load pattern: all workers of a data centre restart within half a second. Calls to them have not failed yet, and
    /// the leader learns of one restart after the other. It started a task that had been ordered on a restarted worker
    /// again on others that had restarted as well, and failed the job after three of them.
    pub(crate) fn suspect_data_centre_of_crash(&mut self, name: &WorkerName, now: Now) {
        let Some(worker) = self.workers.get(name) else { return };
        let data_centre = worker.registration.data_centre.clone();
        let is_other_lost = self
            .outages
            .concurrent_with(name, now.steady_ms)
            .any(|other| other.data_centre == data_centre);
        if is_other_lost && self.data_centres.may_review(&data_centre, now.steady_ms) {
            self.suspect_workers_of(&data_centre, now);
        }
    }

    /// Suspects the data centres of which no worker responds any more although calls to them have not failed yet. The
    /// calls to a data centre that is cut off use up their timeouts, and meanwhile more starts would be sent there.
    pub(crate) fn suspect_silent_data_centres(&mut self, now: Now) {
        for data_centre in self.data_centres.silent(self.options.poll_wait_ms, now.steady_ms) {
            self.suspect_workers_of(&data_centre, now);
        }
    }

    /// Starts nothing in a data centre for a while, except on workers that respond from now on. If a whole data centre is
    /// cut off, each start sent there delays its task by the timeout of the call and then by the rest of the lease.
    fn suspect_workers_of(&mut self, data_centre: &str, now: Now) {
        self.work.workers_reviewed += self.workers.len() as u64;
        let suspected_until_ms = now.steady_ms + self.options.worker_avoidance_ms;
        let is_in_data_centre = |worker: &Worker| worker.registration.data_centre == data_centre;
        let suspects: Vec<WorkerName> = self
            .workers
            .values_mut()
            .filter(|worker| is_in_data_centre(worker) && worker.accepts_starts(now.steady_ms))
            .map(|worker| {
                worker.suspected_until_ms = suspected_until_ms;
                worker.registration.name.clone()
            })
            .collect();
        for name in &suspects {
            self.hold_back(name, suspected_until_ms, now);
        }
        if !suspects.is_empty() {
            log::info!(
                data_centre, workers = suspects.len();
                "data centre is suspected to be unreachable"
            );
        }
        let first = self.data_centres.record_unreachable(data_centre, suspects, now.steady_ms);
        first.iter().for_each(|name| self.send_extra_poll(name));
    }

    /// Counts the workers of each data centre that respond.
    pub(crate) fn count_responsive_workers(&mut self) {
        self.visits.add(Part::Review, self.workers.len());
        let responsive = self
            .workers
            .values()
            .filter(|worker| worker.is_available() && worker.failed_polls == 0);
        self.data_centres
            .count_workers(responsive.map(|worker| worker.registration.data_centre.as_str()));
    }

    /// Sends the probes that are due, as far as their budget allows.
    ///
    /// A probe does not wait for the end of a run, so that a worker counts as responsive as soon as it is. It grants no
    /// lease; otherwise the leases of a worker whose responses are lost would never expire.
    pub(crate) fn send_due_probes(&mut self, now: Now) {
        let data_centres = &self.data_centres;
        let is_reachable = |name: &str| data_centres.is_responsive(name, now.steady_ms);
        for name in self.probes.take_due(is_reachable, now.steady_ms) {
            let worker = self.workers.get_mut(&name);
            let needs_probe = |w: &&mut Worker| {
                w.failed_polls > 0 && w.can_be_called() && w.poll != PollState::InFlight
            };
            let worker = worker.filter(needs_probe);
            let Some(worker) = worker else {
                self.probes.record_end(&name);
                continue;
            };
            worker.poll = PollState::InFlight;
            self.effects.push(worker.poll_effect(None, 0, self.options.poll_answer_ms, false));
        }
    }

    /// Logs how many workers do not respond if lines about single workers were omitted.
    pub(crate) fn log_unresponsive_workers(&mut self, now: Now) {
        let omitted = self.worker_log_limit.take_omitted(now.steady_ms);
        if omitted == 0 {
            return;
        }
        log::info!(omitted; "lines about single workers were omitted");
        for (data_centre, unresponsive) in self.probes.unresponsive() {
            log::info!(data_centre, unresponsive; "workers do not respond");
        }
    }
}
