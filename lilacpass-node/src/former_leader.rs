//! What a leader knows of the one before it: whether that process may still grant leases.
//!
//! A leader that is cut off from the store extends leases for some seconds more, so its successor waits that long before
//! it gives up the tasks of a worker that does not respond. A heartbeat that the former leader sends as a follower, or
//! that another process sends from its address, shows that it grants none any more, and shortens the wait.

use lilacpass_lead::{Event, Now};
use lilacpass_schema::v1;

/// The leader before this one, until it is known to have stopped.
#[derive(Debug)]
pub struct FormerLeader {
    instance: String,
    address: String,
    /// When the leases that still earlier leaders granted have expired, on the steady clock.
    earlier_leases_expire_by_ms: u64,
}

impl FormerLeader {
    /// The leader that wrote `record`. Returns `None` if the record is not of `epoch`, the last one before this leader's,
    /// or does not tell when the leases of still earlier leaders have expired.
    pub fn new(record: &v1::LeadRecord, epoch: Option<u64>, now: Now) -> Option<Self> {
        let earlier_leases_ms = record.earlier_leases_ms?;
        (epoch == Some(record.epoch)).then(|| Self {
            instance: record.instance.clone(),
            address: record.address.clone(),
            earlier_leases_expire_by_ms: now.steady_ms + earlier_leases_ms,
        })
    }

    /// Whether it was the instance with this name at this address.
    pub fn is(&self, instance: &str, address: &str) -> bool {
        self.instance == instance && self.address == address
    }

    /// Whether a heartbeat shows that it does not lead any more. A heartbeat that was sent before this leader took over,
    /// under `epoch`, and arrives late shows nothing.
    pub fn has_stopped(&self, hello: &v1::PeerHello, epoch: u64) -> bool {
        self.is(&hello.instance, &hello.address) && hello.followed_epoch == epoch
    }

    /// The event for the leader that follows if the process at the address has not led since `stopped_ms`.
    pub fn stopped(self, stopped_ms: u64) -> Event {
        Event::FormerLeaderStopped {
            stopped_ms,
            earlier_leases_expire_by_ms: self.earlier_leases_expire_by_ms,
        }
    }
}
