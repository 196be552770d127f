//! What goes into the store, and what follows once it is stored.

use lilacpass_jobs::{JobKey, record};

use crate::{
    event::{Effect, Now, Record},
    leader::Leader,
    outbox::OnStored,
};

impl Leader {
    /// The append under way is stored: does what waited for it.
    pub(crate) fn on_appended(&mut self, now: Now) {
        self.leadership_confirmed_ms = self.leadership_confirmed_ms.max(self.append_sent_ms);
        for after in self.outbox.append_stored() {
            match after {
                OnStored::Accept(request_id, key) => self.confirm_submission(request_id, key),
                OnStored::Reply(request_id, response) => {
                    self.effects.push(Effect::Reply { request_id, response });
                }
                OnStored::SendStart { worker, task, run } => {
                    self.send_start(&worker, task, run, now);
                }
                OnStored::ForgetEnds { worker, upto } => {
                    if let Some(worker) = self.workers.get_mut(&worker) {
                        worker.last_stored_end = worker.last_stored_end.max(upto);
                        worker.poll_at_once(now.steady_ms);
                    }
                }
                OnStored::PublishOutcome(key) => {
                    if let Some(entry) = self.jobs.get_mut(&key) {
                        entry.visible_outcome = entry.job.outcome;
                    }
                }
            }
        }
    }

    /// A worker has begun a task of a job.
    ///
    /// Recorded beside other changes: a successor that can't reach the worker would else tell callers that
    /// a job waits which they were told runs, until the worker answers.
    pub(crate) fn record_job_begun(&mut self, key: JobKey) {
        let Some(entry) = self.jobs.get_mut(&key) else { return };
        if entry.job.mark_started() {
            self.outbox.pending.piggyback_states.insert(key);
        }
    }

    /// Sends what has changed into the store, unless an append is under way.
    pub(crate) fn flush(&mut self, now: Now) {
        if !self.outbox.is_due(now.steady_ms) {
            return;
        }
        let changes = self.outbox.start_append(now.steady_ms);
        let mut records = Vec::new();
        for key in &changes.plans {
            if let Some(entry) = self.jobs.get(key) {
                let value = record::encode_plan(&entry.job);
                records.push(Record { key: record::plan_key(*key), value });
            }
        }
        for key in &changes.states {
            if let Some(entry) = self.jobs.get(key) {
                let value = record::encode_state(&entry.job);
                records.push(Record { key: record::state_key(*key), value });
            }
        }
        for key in &changes.deletions {
            records.push(Record { key: record::plan_key(*key), value: Vec::new() });
            records.push(Record { key: record::state_key(*key), value: Vec::new() });
        }
        self.append_sent_ms = now.steady_ms;
        if records.is_empty() {
            // Only what hangs on earlier changes waits, and those are stored.
            self.on_appended_nothing(now);
            return;
        }
        self.effects.push(Effect::Append(records));
    }

    fn on_appended_nothing(&mut self, now: Now) {
        let confirmed_ms = self.leadership_confirmed_ms;
        self.on_appended(now);
        self.leadership_confirmed_ms = confirmed_ms;
    }
}
