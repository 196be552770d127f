//! Stores the leader's records in the job log.

use lilacpass_lead::event::Record;
use lilacpass_platform::store::Writer;
use tokio::task;

use super::LeaderLoop;
use crate::{
    append::{self, BatchOutcome},
    leader_handle::Message,
    takeover,
};

impl LeaderLoop {
    /// Stores records in the job log, and reports the result to the leader loop.
    pub(super) fn append(&mut self, records: Vec<Record>) {
        let calls = match append::split(&records, self.node.settings.max_append_bytes) {
            Ok(calls) => calls,
            Err(err) => {
                // Nothing of this state can be stored, so another instance continues from what is stored.
                log::error!(epoch = self.epoch, error:% = err; "leadership ends: records cannot be encoded");
                self.is_deposed = true;
                return;
            }
        };
        let first = Writer { epoch: self.epoch, sequence: self.next_sequence };
        let node = self.node.clone();
        let messages = self.messages.clone();
        task::spawn_local(async move {
            let partition = takeover::jobs_partition();
            let message = match append::store_batch(&node, &partition, first, calls).await {
                BatchOutcome::Stored { next_sequence, rejected } => {
                    Message::Appended { next_sequence, rejected }
                }
                BatchOutcome::NotStored { next_sequence } => Message::NotAppended { next_sequence },
                BatchOutcome::Deposed => Message::Deposed,
            };
            // The leader loop may have ended.
            let _stopped = messages.send(message);
        });
    }
}
