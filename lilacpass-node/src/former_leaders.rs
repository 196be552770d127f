//! What a leader knows of the leaders before it: until when their leases may last.
//!
//! A leader that is cut off from the store extends leases for some seconds more, so its successors wait that long before
//! they give up the tasks of a worker that does not respond. A heartbeat that a former leader sends as a follower, or
//! that another process sends from its address, shows since when it grants none, and shortens the wait. Each leader record
//! names the leaders before, so that this also holds if several follow each other within seconds.

use lilacpass_lead::{Now, Options};
use lilacpass_schema::v1;

/// A leader before this one.
#[derive(Clone, Debug)]
struct FormerLeader {
    instance: String,
    address: String,
    /// When its leases have expired, on the steady clock.
    leases_expire_by_ms: u64,
    /// Whether it is known not to lead any more.
    has_stopped: bool,
}

impl FormerLeader {
    fn is(&self, instance: &str, address: &str) -> bool {
        self.instance == instance && self.address == address
    }
}

/// The leaders before this one whose leases may last.
#[derive(Clone, Debug)]
pub struct FormerLeaders {
    options: Options,
    leaders: Vec<FormerLeader>,
}

impl FormerLeaders {
    /// The leaders before the one that takes over at `now`. `last` is the record with which the last of them took over,
    /// and `newest` the newest leader record that was read, which may be of an earlier one.
    pub fn new(
        options: Options,
        last: Option<&v1::LeadRecord>,
        newest: Option<&v1::LeadRecord>,
        now: Now,
    ) -> Self {
        let mut former = Self { options, leaders: Vec::new() };
        let Some(last) = last else { return former };
        let last = newest.filter(|newest| newest.epoch == last.epoch).unwrap_or(last);
        // It may go on to extend leases for this long.
        let last_granted_ms = now.steady_ms + former.options.unconfirmed_lease_ms;
        let leases_expire_by_ms = former.options.leases_expire_by_ms(last_granted_ms);
        if last.names_former_leaders {
            former.add(&last.instance, &last.address, leases_expire_by_ms);
            for earlier in &last.former_leaders {
                let leases_expire_by_ms = now.steady_ms + earlier.leases_ms;
                former.add(&earlier.instance, &earlier.address, leases_expire_by_ms);
            }
        } else {
            // A leader of an earlier version does not tell of those before it, so its own stop proves nothing.
            former.add("", "", leases_expire_by_ms);
        }
        former
    }

    fn add(&mut self, instance: &str, address: &str, leases_expire_by_ms: u64) {
        if let Some(known) = self.leaders.iter_mut().find(|known| known.is(instance, address)) {
            known.leases_expire_by_ms = known.leases_expire_by_ms.max(leases_expire_by_ms);
            return;
        }
        let (instance, address) = (instance.to_owned(), address.to_owned());
        let has_stopped = false;
        self.leaders.push(FormerLeader { instance, address, leases_expire_by_ms, has_stopped });
    }

    /// Records that the process of an instance at an address has not led since `stopped_ms`.
    pub fn record_stop(&mut self, instance: &str, address: &str, stopped_ms: u64) {
        let leases_expire_by_ms = self.options.leases_expire_by_ms(stopped_ms);
        for known in self.leaders.iter_mut().filter(|known| known.is(instance, address)) {
            known.leases_expire_by_ms = known.leases_expire_by_ms.min(leases_expire_by_ms);
            known.has_stopped = true;
        }
    }

    /// Records that the store has gone on to confirm the leadership of those that have not stopped for `delay_ms` after the
    /// take-over: it does until the renewals of this leader have begun.
    pub fn record_late_renewal(&mut self, delay_ms: u64) {
        for known in self.leaders.iter_mut().filter(|known| !known.has_stopped) {
            known.leases_expire_by_ms += delay_ms;
        }
    }

    /// Records what a heartbeat to the leader of `epoch` shows. One that was sent before this leader took over and
    /// arrives late shows nothing: its sender may have led since.
    pub fn record_heartbeat(&mut self, hello: &v1::PeerHello, epoch: u64, now_ms: u64) {
        if hello.followed_epoch == epoch {
            let stopped_ms = now_ms.saturating_sub(hello.not_leading_ms);
            self.record_stop(&hello.instance, &hello.address, stopped_ms);
        }
    }

    /// When the leases of all these leaders have expired, on the steady clock; 0 if there are none.
    pub fn leases_expire_by_ms(&self) -> u64 {
        self.leaders.iter().map(|known| known.leases_expire_by_ms).max().unwrap_or(0)
    }

    /// Those whose leases may still last, for a leader record.
    pub fn to_records(&self, now_ms: u64) -> Vec<v1::FormerLeader> {
        let lasting = self.leaders.iter().filter(|known| known.leases_expire_by_ms > now_ms);
        let record = |known: &FormerLeader| v1::FormerLeader {
            instance: known.instance.clone(),
            address: known.address.clone(),
            leases_ms: known.leases_expire_by_ms - now_ms,
        };
        lasting.map(record).collect()
    }
}
