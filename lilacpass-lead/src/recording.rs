//! Appends to the store, and the actions that follow once they are stored.

use lilacpass_jobs::{JobKey, record};

use crate::{
    event::{Effect, Now, Record, Response},
    leader::Leader,
    outbox::OnStored,
    registration_age::HeldStart,
    work::Part,
};

impl Leader {
    /// Processes the success of the append in flight: carries out the actions that waited for it.
    pub(crate) fn on_appended(&mut self, now: Now) {
        self.leadership_confirmed_ms = self.leadership_confirmed_ms.max(self.append_sent_ms);
        self.incarnations.record_stored();
        for action in self.outbox.append_stored() {
            match action {
                OnStored::Accept(request_id, key) => self.confirm_submission(request_id, key),
                OnStored::Cancel(request_id, _) => self.reply(request_id, Response::Done),
                OnStored::SendStart { worker, task, run } => {
                    self.send_or_hold_start(HeldStart { worker, task, run }, now);
                }
                OnStored::ForgetEnds { worker: name, up_to } => {
                    if let Some(worker) = self.workers.get_mut(&name) {
                        worker.last_stored_end = worker.last_stored_end.max(up_to);
                        worker.poll_at_once(now.steady_ms);
                    }
                    self.schedule_poll(&name);
                }
                OnStored::PublishOutcome(key) => {
                    if let Some(entry) = self.jobs.get_mut(&key) {
                        entry.visible_outcome = entry.job.outcome;
                    }
                }
            }
        }
    }

    /// Processes that the store has rejected records of the append in flight.
    ///
    /// A job whose plan is rejected is refused. Nothing that follows from a rejected state happens until a later state of
    /// the job is stored: no start is sent, no outcome is shown, and workers keep the ends that they have reported.
    pub(crate) fn on_records_rejected(&mut self, keys: &[String], now: Now) {
        // If the store has rejected all records, it has not checked whether this instance leads.
        self.append_sent_ms = self.append_sent_ms.min(self.leadership_confirmed_ms);
        self.incarnations.record_rejected(keys.len() as u64);
        let mut states = Vec::new();
        for key in keys {
            match record::parse_key(key) {
                Some(record::Key::Plan(job)) => self.refuse_unrecordable(job, now),
                Some(record::Key::State(job)) if self.jobs.contains_key(&job) => states.push(job),
                Some(record::Key::State(_)) | None => {}
            }
        }
        self.outbox.hold_states(&states, now.steady_ms);
    }

    /// Records that a worker has started a task of a job.
    ///
    /// The change is stored with the next append. Otherwise a successor that can't reach the worker would report the
    /// job as waiting until the worker responds, although clients have been told that it runs.
    pub(crate) fn record_job_started(&mut self, key: JobKey) {
        let Some(entry) = self.jobs.get_mut(&key) else { return };
        if entry.job.mark_started() {
            self.outbox.pending.piggyback_states.insert(key);
        }
    }

    /// Appends the pending changes to the store, unless an append is in flight.
    pub(crate) fn flush(&mut self, now: Now) {
        if !self.outbox.is_due(now.steady_ms) {
            return;
        }
        let batch = self.outbox.start_append(now.steady_ms);
        let mut records = Vec::new();
        for key in &batch.plans {
            if let Some(entry) = self.jobs.get(key) {
                let value = record::encode_plan(&entry.job);
                records.push(Record { key: record::plan_key(*key), value });
            }
        }
        for key in &batch.states {
            if let Some(entry) = self.jobs.get(key) {
                let (value, encoded) = record::encode_state_counted(&entry.job);
                self.visits.add(Part::JobUpdate, encoded);
                records.push(Record { key: record::state_key(*key), value });
            }
        }
        for key in &batch.deletions {
            records.push(Record { key: record::plan_key(*key), value: Vec::new() });
            records.push(Record { key: record::state_key(*key), value: Vec::new() });
        }
        self.append_sent_ms = now.steady_ms;
        self.incarnations.record_append(records.len() as u64);
        if records.is_empty() {
            // Only actions are pending, and the changes that they waited for are stored already.
            self.run_actions_without_append(now);
            return;
        }
        self.effects.push(Effect::Append(records));
    }

    /// Carries out the pending actions without an append. This does not confirm the leadership.
    fn run_actions_without_append(&mut self, now: Now) {
        let confirmed_ms = self.leadership_confirmed_ms;
        self.on_appended(now);
        self.leadership_confirmed_ms = confirmed_ms;
    }
}
