//! Heartbeats between entry instances: liveness, digests, grants and the revision in force.

use std::time::Duration;

use lilacpass_core::{
    Class, MonoTime, Verdict,
    ids::{Incarnation, InstanceId, RequestId, Revision, TaskId},
};
use lilacpass_decide::retry;
use lilacpass_schema::v1;

use crate::{
    Control,
    calls::{PeerOrigin, Pending},
    convert, counters,
    event::{CallFailure, PeerCall, PeerReply},
    quick_requests,
};

/// Heartbeats to peers of other data centres are so much rarer.
const REMOTE_FACTOR: u32 = 2;
/// Deadline of one heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(800);
/// Deadline of fetching the configuration.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that the log is given to bring a revision that a peer has.
const CONFIG_FROM_LOG_WAIT: Duration = Duration::from_millis(500);

impl Control {
    /// Sends the heartbeats that are due.
    pub(crate) fn send_heartbeats(&mut self, now: MonoTime) {
        let every = self.settings.heartbeat;
        let own = &self.settings.data_centre;
        let due: Vec<InstanceId> = self
            .members
            .iter_mut()
            .filter(|(_, peer)| peer.heartbeat_at.reached(now) && !peer.heartbeat_under_way)
            .map(|(id, peer)| {
                let factor = if peer.data_centre == *own { 1 } else { REMOTE_FACTOR };
                peer.heartbeat_at = now + every * factor;
                peer.heartbeat_under_way = true;
                id.clone()
            })
            .collect();
        for peer in due {
            let beat = self.heartbeat(now);
            self.call_peer(
                &peer,
                PeerCall::Heartbeat(beat),
                HEARTBEAT_TIMEOUT,
                Pending::Heartbeat(peer.clone()),
            );
        }
    }

    /// What this instance says of itself.
    fn heartbeat(&self, now: MonoTime) -> v1::HeartbeatRequest {
        v1::HeartbeatRequest {
            instance: self.settings.me.to_string(),
            incarnation: self.settings.incarnation.0,
            data_centre: self.settings.data_centre.to_string(),
            address: self.settings.peer_address.to_string(),
            revision: self.config.revision().0,
            leaving: self.is_leaving(),
            log_reachable: self.log_reachable(now),
            digest: self.digest(now),
            grants: Vec::new(),
            sent_us: now.0,
        }
    }

    /// What this instance can take now; `None` where it holds no worker.
    pub(crate) fn digest(&self, now: MonoTime) -> Option<v1::Digest> {
        let digest = self.scheduler.pool.digest();
        if digest.workers == 0 || self.is_leaving() {
            return None;
        }
        let queued = self.scheduler.queued(Class::Urgent);
        Some(v1::Digest {
            free: Some(convert::amount(&digest.free)),
            largest: Some(convert::amount(&digest.largest)),
            queued_urgent: u32::try_from(queued).unwrap_or(u32::MAX),
            wait_ms: convert::millis(self.urgent_wait(now)),
            workers: digest.workers,
        })
    }

    /// Time that a quick request would wait here now.
    fn urgent_wait(&self, now: MonoTime) -> Duration {
        let spec = v1::JobSpec { class: Class::Urgent.to_string(), ..v1::JobSpec::default() };
        self.scheduler.estimate_wait(&convert::meta(&spec), now)
    }

    /// Answers a heartbeat with one of our own and with the grant that it asked for.
    pub(crate) fn on_heartbeat(
        &mut self,
        origin: PeerOrigin,
        beat: &v1::HeartbeatRequest,
        now: MonoTime,
    ) {
        self.members.heard(beat, now);
        self.pull_config(beat, now);
        let mut answer = self.heartbeat(now);
        let from = InstanceId::new(&beat.instance);
        if beat.data_centre == self.settings.data_centre.as_str() {
            let incarnation = Incarnation(beat.incarnation);
            let grant = self.holding.grants_for(&from, incarnation, beat.sent_us, now);
            answer.grants.extend(grant);
        }
        self.reply_peer(origin, Ok(PeerReply::Heartbeat(answer)));
    }

    /// A heartbeat was answered, or not.
    pub(crate) fn on_heartbeat_done(
        &mut self,
        peer: &InstanceId,
        result: Result<PeerReply, CallFailure>,
        now: MonoTime,
    ) {
        if let Some(peer) = self.members.get_mut(peer) {
            peer.heartbeat_under_way = false;
        }
        let Ok(PeerReply::Heartbeat(beat)) = result else {
            self.suspect(peer, now);
            return;
        };
        self.members.heard(&beat, now);
        self.pull_config(&beat, now);
        for grant in &beat.grants {
            self.holding.on_grant(peer, Incarnation(beat.incarnation), grant, now);
        }
    }

    /// A peer has not answered a heartbeat: nothing more is forwarded to it until it is heard, and
    /// the quick requests that wait for its answer are tried elsewhere.
    ///
    /// Without this a request that went to a holder which died silently waits for its deadline.
    fn suspect(&mut self, peer: &InstanceId, now: MonoTime) {
        let Some(known) = self.members.get_mut(peer) else { return };
        known.suspect = true;
        let forwards: Vec<(RequestId, TaskId)> = self
            .calls
            .values()
            .filter_map(|call| match call {
                Pending::Forward { request, task, holder } if holder == peer => {
                    Some((*request, *task))
                }
                _ => None,
            })
            .collect();
        for (request, task) in forwards {
            let failure = retry::Failure::ConnectionLost;
            let end = quick_requests::unanswered(
                Verdict::MayHaveRun,
                failure,
                "the holder does not answer",
            );
            self.attempt_ended(request, task, end, now);
        }
    }

    /// Fetches the configuration of a peer that has a newer one. A member that is cut from the log
    /// but not from its peers learns of changes this way. One that reads the log gets a change from
    /// there in milliseconds, so it asks for the whole configuration only if that fails to come.
    fn pull_config(&mut self, beat: &v1::HeartbeatRequest, now: MonoTime) {
        if Revision(beat.revision) <= self.config.revision() {
            return;
        }
        let behind_since = *self.behind_since.get_or_insert(now);
        let log_may_bring_it =
            self.log_reachable(now) && now.since(behind_since) < CONFIG_FROM_LOG_WAIT;
        if log_may_bring_it || self.fetching_config {
            return;
        }
        self.fetching_config = true;
        let known_revision = self.config.revision().0;
        let request = PeerCall::FetchConfig(v1::FetchConfigRequest { known_revision });
        self.call_peer(
            &InstanceId::new(&beat.instance),
            request,
            FETCH_TIMEOUT,
            Pending::FetchConfig,
        );
    }

    /// Counts the peers that answer.
    pub(crate) fn count_peers(&mut self, now: MonoTime) {
        let silent = self.settings.silent;
        self.members.expire(silent * 20, now);
        let alive = self.members.iter().filter(|(_, peer)| peer.is_alive(silent, now)).count();
        counters::set(&self.counters.peers_alive, alive as u64);
    }
}
