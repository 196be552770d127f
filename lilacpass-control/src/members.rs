//! The other entry instances: who is listed, who answers, what they can take.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use lilacpass_core::{
    MonoTime,
    ids::{DataCentreId, Incarnation, InstanceId, Revision},
};
use lilacpass_schema::v1;

/// Another entry instance.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// Address for peers.
    pub(crate) address: SocketAddr,
    /// Its data centre.
    pub(crate) data_centre: DataCentreId,
    /// Whether the instance list has it.
    pub(crate) listed: bool,
    /// Start number that it told last.
    pub(crate) incarnation: Incarnation,
    /// When it was last heard.
    pub(crate) heard_at: Option<MonoTime>,
    /// When the next heartbeat to it is due.
    pub(crate) heartbeat_at: MonoTime,
    /// Whether a heartbeat to it is under way.
    pub(crate) heartbeat_under_way: bool,
    /// Revision in force there.
    pub(crate) revision: Revision,
    /// Whether it is about to stop.
    pub(crate) leaving: bool,
    /// Whether it reads the log, as it last told.
    pub(crate) log_reachable: bool,
    /// Whether it has failed to answer a heartbeat since it was last heard.
    pub(crate) suspect: bool,
    /// What it can take, as it last told.
    pub(crate) digest: Option<v1::Digest>,
    /// When the digest arrived.
    pub(crate) digest_at: MonoTime,
}

/// All other entry instances that are known.
#[derive(Debug, Default)]
pub(crate) struct Members {
    peers: BTreeMap<InstanceId, Peer>,
}

impl Members {
    /// Takes over the entry instances of the instance list, all but `me`.
    pub(crate) fn listed(
        &mut self,
        list: &v1::ListInstancesAnswer,
        me: &InstanceId,
        now: MonoTime,
    ) {
        for peer in self.peers.values_mut() {
            peer.listed = false;
        }
        let entries = list.instances.iter().filter(|i| i.role() == v1::InstanceRole::Entry);
        for instance in entries.filter(|i| i.name != me.as_str()) {
            let Ok(address) = instance.address.parse() else { continue };
            let peer = self.entry(&instance.name, address, &instance.data_centre, now);
            peer.listed = true;
            peer.address = address;
            peer.leaving |= instance.state() == v1::InstanceState::Leaving;
        }
    }

    /// A heartbeat or the answer to one has arrived from a peer.
    pub(crate) fn heard(&mut self, beat: &v1::HeartbeatRequest, now: MonoTime) {
        let Ok(address) = beat.address.parse() else { return };
        let peer = self.entry(&beat.instance, address, &beat.data_centre, now);
        let incarnation = Incarnation(beat.incarnation);
        // A message of an earlier process of the same name may arrive late; it says nothing about
        // the one that runs now.
        if incarnation < peer.incarnation {
            return;
        }
        peer.address = address;
        peer.incarnation = incarnation;
        peer.heard_at = Some(now);
        peer.revision = Revision(beat.revision);
        peer.leaving = beat.leaving;
        peer.log_reachable = beat.log_reachable;
        peer.suspect = false;
        peer.digest = beat.digest;
        peer.digest_at = now;
    }

    /// Drops peers that are neither listed nor heard any more.
    pub(crate) fn expire(&mut self, silent: Duration, now: MonoTime) {
        self.peers.retain(|_, peer| peer.listed || peer.is_alive(silent, now));
    }

    /// The address of a peer.
    pub(crate) fn address(&self, id: &InstanceId) -> Option<SocketAddr> {
        self.peers.get(id).map(|peer| peer.address)
    }

    /// One peer, to change it.
    pub(crate) fn get_mut(&mut self, id: &InstanceId) -> Option<&mut Peer> {
        self.peers.get_mut(id)
    }

    /// All peers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&InstanceId, &Peer)> {
        self.peers.iter()
    }

    /// All peers, to change them.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (&InstanceId, &mut Peer)> {
        self.peers.iter_mut()
    }

    fn entry(
        &mut self,
        name: &str,
        address: SocketAddr,
        data_centre: &str,
        now: MonoTime,
    ) -> &mut Peer {
        self.peers.entry(InstanceId::new(name)).or_insert_with(|| Peer {
            address,
            data_centre: DataCentreId::new(data_centre),
            listed: false,
            incarnation: Incarnation(0),
            heard_at: None,
            heartbeat_at: now,
            heartbeat_under_way: false,
            revision: Revision(0),
            leaving: false,
            log_reachable: true,
            suspect: false,
            digest: None,
            digest_at: now,
        })
    }
}

impl Peer {
    /// Whether it was heard lately and is not about to stop.
    pub(crate) fn stays(&self, silent: Duration, now: MonoTime) -> bool {
        self.is_alive(silent, now) && !self.leaving
    }

    /// Whether work can be sent to it: heard lately, not about to stop, and no heartbeat unanswered.
    pub(crate) fn is_usable(&self, silent: Duration, now: MonoTime) -> bool {
        self.stays(silent, now) && !self.suspect
    }

    /// Whether it was heard within `silent`.
    pub(crate) fn is_alive(&self, silent: Duration, now: MonoTime) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) <= silent)
    }
}
