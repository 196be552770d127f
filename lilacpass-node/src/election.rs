//! Leader election: follows the current leader and takes over when it fails.
//!
//! Safety does not depend on this module. Of several instances that take over at the same time, only one can append the
//! record that fences the log, and the store and the workers reject all others. This module only ensures that there is
//! a leader soon, and that a working leader is not replaced.

use std::{pin::pin, rc::Rc, time::Duration};

use lilacpass_core::Verdict;
use lilacpass_lead::event::Record;
use lilacpass_platform::{
    Error,
    store::{self, AppendCondition, AppendOutcome, NewestPage, ReadOutcome, StoredRecord},
};
use lilacpass_schema::v1;
use prost::Message;
use rand::{RngExt, seq::IteratorRandom};
use tokio::time::{self, Instant};

use crate::{
    clock, leader_handle,
    leader_loop::startup,
    members::{self, Largest},
    metrics,
    node::Node,
    peers::heartbeats,
    stated_admission::StatedAdmission,
    takeover,
};

/// Interval between heartbeats to the leader while this instance tries to take over from it, and pause before an instance
/// that is about to stop looks for the leader again.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// How long to wait for the response to a heartbeat. An instance that runs at an eighth of the usual speed responds
/// within 100 ms. A slower one is not replaced at once: its renewals are observed first, which costs one read of the
/// store.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long an unresponsive leader must go without a renewal before it is replaced, so that a leader that is merely
/// unreachable from this instance stays in place. Renewals are 0.2 s apart, and can be a tenth of a second late where
/// the leader's CPU time is allotted in slices of a tenth of a second. The latency of the store is added.
const UNRESPONSIVE_RENEWAL_WAIT: Duration = Duration::from_millis(320);
/// As [`UNRESPONSIVE_RENEWAL_WAIT`], but for a leader whose address refuses connections: its process is most likely
/// gone.
const REFUSED_RENEWAL_WAIT: Duration = Duration::from_millis(260);
/// The wait for a renewal is extended by this many times the latency of the store, as measured when the leader record
/// was read. A renewal takes one such latency, and the next one starts only after it.
const STORE_LATENCY_FACTOR: u32 = 2;
/// How long to wait for another instance that has announced a take-over.
const CLAIM_WAIT: Duration = Duration::from_millis(1_300);
/// Upper bound of the random delay that separates instances that notice the same failure at the same time, if there are
/// at most [`CANDIDATES_PER_MAX_JITTER`] that could lead.
const MAX_JITTER: Duration = Duration::from_millis(40);
const CANDIDATES_PER_MAX_JITTER: u32 = 8;
/// Additional wait of an instance that is smaller than others. The larger ones notice the same failure, and announce
/// their take-over meanwhile. The leader of 350 workers uses a quarter of a core. With an eighth of a core it places
/// 200 tasks a second while 700 arrive, and never catches up.
const SMALL_INSTANCE_DELAY: Duration = Duration::from_millis(350);
/// CPU limit, in thousandths of a core, below which an instance counts as small before the leader has reported the size
/// of the other instances.
const SMALL_CPU_MILLIS: u32 = 250;
/// Number of consecutive heartbeats in which the leader must report that it cannot reach the store before an instance
/// that can reach it takes over.
const CUT_OFF_HEARTBEATS: u32 = 3;
/// Timeout of a store call in this module.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout for storing the announcement of a take-over. Storing it takes a slow store 0.8 s. With a shorter timeout,
/// announcements were stored after their senders had given them up, and every instance waited for a take-over that
/// never came.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long to wait for the announcement of a take-over to be stored before the jobs are read. It usually takes 10 ms.
/// Reading the jobs of a large cell takes tenths of a second, and the responses fill the link of the store.
const CLAIM_HEAD_START: Duration = Duration::from_millis(50);
/// Store timeout of an instance that is asked to take over from a leader that is not about to stop. A store that is
/// slow for every instance is no reason to change the leader.
const PROMOTE_STORE_TIMEOUT: Duration = Duration::from_millis(150);
/// Number of randomly chosen peers that are asked for the leader before the store is tried again. Each unresponsive
/// peer costs [`HEARTBEAT_TIMEOUT`]; forty of them would take ten seconds.
const PEER_SAMPLE_SIZE: usize = 4;
/// Pause after a failed store call.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Key of the record by which an instance announces that it is taking over.
const CLAIM_KEY: &str = "claim";

/// Outcome of a heartbeat.
enum HeartbeatResult {
    /// The instance leads. `store_reachable` is its own report.
    Leads { store_reachable: bool },
    /// It does not lead, and named a leader with a newer epoch.
    OtherLeader,
    /// It does not lead and knows no newer leader.
    NotLeading,
    /// It was certainly not reached, for example because its address refuses connections.
    ConnectionRefused,
    /// The heartbeat failed in any other way.
    Unresponsive,
}

/// Follows the leader, or takes over when it has failed, for as long as the process runs.
pub async fn run(node: Rc<Node>) {
    let mut cut_off_heartbeats = 0;
    loop {
        if node.leads() {
            leader_handle::wait_until_ended(&node).await;
            continue;
        }
        let view = node.leader.borrow().clone();
        let Some(address) = view.address else {
            campaign(&node, Duration::ZERO).await;
            continue;
        };
        match send_heartbeat(&node, &address, view.epoch).await {
            HeartbeatResult::Leads { store_reachable } => {
                cut_off_heartbeats = if store_reachable { 0 } else { cut_off_heartbeats + 1 };
                if cut_off_heartbeats >= CUT_OFF_HEARTBEATS && node.store_reachable() {
                    log::info!(leader = address.as_str(); "leader cannot reach the store");
                    campaign_with_heartbeats(&node, &address, view.epoch).await;
                }
                let mut leaving = node.leaving.subscribe();
                let interval = Duration::from_millis(node.heartbeat_interval_ms.get());
                tokio::select! {
                    () = time::sleep(interval) => {}
                    () = node.leader_doubted.notified() => {}
                    _ = leaving.changed() => {}
                }
            }
            HeartbeatResult::OtherLeader => {}
            HeartbeatResult::NotLeading => campaign(&node, Duration::ZERO).await,
            HeartbeatResult::ConnectionRefused => campaign(&node, REFUSED_RENEWAL_WAIT).await,
            HeartbeatResult::Unresponsive => campaign(&node, UNRESPONSIVE_RENEWAL_WAIT).await,
        }
    }
}

/// Tries to take over from a leader that cannot reach the store, and sends it heartbeats meanwhile.
///
/// If the store is unavailable to all instances, the attempt lasts a second or two. Without heartbeats, clients that
/// query the state of their jobs during that time are told that there is no leader, although the leader is alive and
/// knows the state.
async fn campaign_with_heartbeats(node: &Rc<Node>, address: &str, epoch: u64) {
    let mut campaign = pin!(campaign(node, REFUSED_RENEWAL_WAIT));
    loop {
        tokio::select! {
            () = &mut campaign => return,
            () = time::sleep(HEARTBEAT_INTERVAL) => {}
        }
        // The heartbeat has updated the node. `run` acts on the result of its own next heartbeat.
        let _result = send_heartbeat(node, address, epoch).await;
    }
}

/// Sends a heartbeat to the presumed leader and updates the node from the response.
async fn send_heartbeat(node: &Rc<Node>, address: &str, epoch: u64) -> HeartbeatResult {
    if address == node.peer_address() {
        // An earlier incarnation of this instance led.
        return HeartbeatResult::NotLeading;
    }
    let result = heartbeats::send(node, address, HEARTBEAT_TIMEOUT).await;
    node.metrics.heartbeat(metrics::outcome(&result));
    log_reachability(node, address, &result);
    match result {
        Ok(reply) if reply.leads => {
            node.last_leader_response_ms.set(clock::now().steady_ms);
            node.cut_off.set(false);
            node.leader_store_reachable.set(reply.store_reachable);
            node.follow(reply.epoch, address);
            let largest = Largest { cpu_millis: reply.most_cpu_millis, count: reply.candidates };
            node.largest.set(largest);
            let interval_ms = u64::from(reply.heartbeat_interval_ms);
            node.forward_slots.set_limit(reply.max_forwards);
            node.stated_admission.set(StatedAdmission::decode(&reply));
            node.heartbeat_interval_ms.set(interval_ms.max(members::MIN_HEARTBEAT_INTERVAL_MS));
            node.known_members.borrow_mut().update(reply.peers_revision, reply.peers);
            HeartbeatResult::Leads { store_reachable: reply.store_reachable }
        }
        Ok(reply) if reply.epoch > epoch && !reply.leader_address.is_empty() => {
            node.follow(reply.epoch, &reply.leader_address);
            HeartbeatResult::OtherLeader
        }
        Ok(_) => HeartbeatResult::NotLeading,
        Err(Error::Call(Verdict::NotRun, _)) => HeartbeatResult::ConnectionRefused,
        Err(_) => HeartbeatResult::Unresponsive,
    }
}

/// Logs when the leader stops responding to heartbeats, and when it responds again.
fn log_reachability<T>(node: &Node, address: &str, result: &Result<T, Error>) {
    let is_unresponsive = result.is_err();
    if node.leader_unresponsive.replace(is_unresponsive) == is_unresponsive {
        return;
    }
    match result {
        Ok(_) => log::info!(leader = address; "leader responds to heartbeats again"),
        Err(err) => log::info!(leader = address, error:% = err; "heartbeat to the leader failed"),
    }
}

/// Takes over unless a new record is written in the leader partition within `renewal_wait`, which is zero if no renewal
/// is expected. The wait is extended for a slow store, after the announcement of another instance, and if this instance
/// is small.
async fn campaign(node: &Rc<Node>, renewal_wait: Duration) {
    let partition = takeover::lead_partition();
    let requested_at = Instant::now();
    let page = match node.store.newest(&partition, None, STORE_TIMEOUT).await {
        Ok(page) => page,
        Err(err) => {
            log::info!(error:% = err; "reading the leader record failed");
            node.cut_off.set(true);
            ask_peers_for_leader(node).await;
            time::sleep(STORE_RETRY_PAUSE).await;
            return;
        }
    };
    node.record_store_response();
    let known = node.leader.borrow().clone();
    let lead = newest_lead_record(&page.records);
    if let Some(lead) = &lead
        && (lead.epoch > known.epoch || known.address.is_none())
    {
        node.follow(lead.epoch, &lead.address);
        return;
    }
    if node.is_leaving() {
        time::sleep(HEARTBEAT_INTERVAL).await;
        return;
    }
    let store_latency = requested_at.elapsed();
    let renewal_wait = if lead.is_some() && !renewal_wait.is_zero() {
        renewal_wait + store_latency * STORE_LATENCY_FACTOR
    } else {
        Duration::ZERO
    };
    let renewal_wait =
        if claimed_by_other(node, &page) { renewal_wait.max(CLAIM_WAIT) } else { renewal_wait };
    let renewal_wait = renewal_wait + small_instance_delay(node) + jitter(node);
    let read = node.store.read(&partition, page.end, renewal_wait, STORE_TIMEOUT);
    let written = wait_for_records(read, renewal_wait).await;
    if !written.is_empty() {
        node.record_store_response();
        if let Some(lead) = newest_lead_record(&written) {
            node.follow(lead.epoch, &lead.address);
        }
        return;
    }
    let leader_changed = node.leads() || *node.leader.borrow() != known;
    if !leader_changed {
        claim_and_take_over(node, page.end, lead).await;
    }
}

/// A random delay that separates instances that notice the same failure at the same time. An announcement is seen by the
/// others within some milliseconds. The more instances there are, the longer the time over which they are spread, so
/// that only a few announce a take-over until then; the first of them does so as soon as with few instances.
fn jitter(node: &Node) -> Duration {
    let candidates = node.largest.get().count.max(CANDIDATES_PER_MAX_JITTER);
    let max_jitter = MAX_JITTER * candidates / CANDIDATES_PER_MAX_JITTER;
    max_jitter.mul_f64(rand::rng().random())
}

/// How long this instance waits for larger ones to take over first.
fn small_instance_delay(node: &Node) -> Duration {
    let max_cpu_millis = match node.largest.get().cpu_millis {
        0 => SMALL_CPU_MILLIS,
        known => known,
    };
    if node.settings.cpu_millis < max_cpu_millis { SMALL_INSTANCE_DELAY } else { Duration::ZERO }
}

/// Takes over at the request of the leader. A leader that is about to stop is replaced if the store responds to this
/// instance within [`STORE_TIMEOUT`], any other only if it responds within [`PROMOTE_STORE_TIMEOUT`]. A leader that has
/// been replaced since it sent the request is not: an instance that stood still reads the request seconds late.
pub async fn take_over_on_request(node: &Rc<Node>, request: &v1::PeerHello) {
    if node.leads() || node.is_leaving() || is_outdated(request, node.leader.borrow().epoch) {
        return;
    }
    let partition = takeover::lead_partition();
    let timeout = if request.leaving { STORE_TIMEOUT } else { PROMOTE_STORE_TIMEOUT };
    let page = match node.store.newest(&partition, None, timeout).await {
        Ok(page) => page,
        Err(err) => {
            log::info!(error:% = err; "take-over was requested, but the store does not respond");
            return;
        }
    };
    let former = newest_lead_record(&page.records);
    if is_outdated(request, former.as_ref().map_or(0, |lead| lead.epoch)) {
        return;
    }
    log::info!("take-over requested");
    // Other instances see the former leader resign before the new one is known. The announcement keeps them from taking
    // over from the new leader at once. It is not stored if the former leader has written a renewal since. That is
    // harmless: the take-over goes on without it.
    let node = node.clone();
    // A separate task completes even if the connection to the former leader is closed.
    let taking_over = tokio::task::spawn_local(async move {
        let (_, snapshot) = tokio::join!(claim(&node, page.end), takeover::read_snapshot(&node));
        take_over(&node, snapshot, former).await;
    });
    if let Err(err) = taking_over.await {
        log::error!(error:% = err; "take-over task failed");
    }
}

/// Whether the leader that asked this instance to take over has been replaced by that of `newest_epoch`.
fn is_outdated(request: &v1::PeerHello, newest_epoch: u64) -> bool {
    let led_epoch = request.led_epoch;
    let is_outdated = led_epoch != 0 && led_epoch < newest_epoch;
    if is_outdated {
        log::info!(led_epoch, newest_epoch; "ignoring a request to take over from a former leader");
    }
    is_outdated
}

/// Announces a take-over, and takes over unless another record was written after `end`.
///
/// Of all instances that announce a take-over at the same time, only the one whose announcement is stored reads the
/// jobs. If the store is slow, the jobs are read meanwhile.
async fn claim_and_take_over(node: &Rc<Node>, end: u64, former: Option<v1::LeadRecord>) {
    let mut claim = pin!(claim(node, end));
    let (claimed, snapshot) = match time::timeout(CLAIM_HEAD_START, &mut claim).await {
        Ok(false) => return,
        Ok(true) => (true, takeover::read_snapshot(node).await),
        Err(_) => tokio::join!(claim, takeover::read_snapshot(node)),
    };
    if claimed {
        take_over(node, snapshot, former).await;
    }
}

/// Completes a take-over from the jobs that were read, and starts leading if it succeeds.
async fn take_over(
    node: &Rc<Node>,
    snapshot: Option<takeover::Snapshot>,
    former: Option<v1::LeadRecord>,
) {
    let Some(snapshot) = snapshot else { return };
    if node.leads() || node.taking_over.replace(true) {
        return;
    }
    if let Some(leadership) = takeover::complete(node, snapshot, former).await {
        startup::start(node, leadership);
    }
    node.taking_over.set(false);
}

/// Announces a take-over, provided that the partition still ends at `end`: neither a renewal nor another instance's
/// announcement was written since the leader record was read. Returns whether the announcement was stored.
async fn claim(node: &Rc<Node>, end: u64) -> bool {
    let value = node.settings.instance.clone().into_bytes();
    let record = Record { key: CLAIM_KEY.to_owned(), value };
    let Ok(records) = store::encode_records(&[record]) else { return false };
    let condition = AppendCondition { expected_end: Some(end), writer: None };
    let partition = takeover::lead_partition();
    match node.store.append(&partition, condition, &records, CLAIM_TIMEOUT).await {
        Ok(AppendOutcome::Stored { .. }) => true,
        Ok(
            AppendOutcome::Elsewhere { .. } | AppendOutcome::Fenced | AppendOutcome::OutOfSequence,
        ) => false,
        Err(err) => {
            log::info!(error:% = err; "announcing the take-over failed");
            time::sleep(STORE_RETRY_PAUSE).await;
            false
        }
    }
}

/// Waits for up to `max_wait` for `read` to return new records, and returns them as soon as it does. If there are none,
/// it waits for the whole time even if `read` ends early, so that two instances do not take over from each other.
///
/// Instances that see another's announcement must not sleep for the whole [`CLAIM_WAIT`]. After a power failure of all
/// instances, seven of nine noticed the new leader only 1.2 s after it had taken over, and refused their clients'
/// requests until then.
pub async fn wait_for_records(
    read: impl Future<Output = Result<ReadOutcome, Error>>,
    max_wait: Duration,
) -> Vec<StoredRecord> {
    let end = Instant::now() + max_wait;
    let records = match time::timeout_at(end, read).await {
        Ok(Ok(ReadOutcome::Records { records, .. })) => records,
        Ok(Ok(ReadOutcome::Gone)) | Err(_) => Vec::new(),
        Ok(Err(err)) => {
            log::info!(error:% = err; "reading new leader records failed");
            Vec::new()
        }
    };
    if records.is_empty() {
        time::sleep_until(end).await;
    }
    records
}

/// Decodes the newest leader record; `None` if there is none or it cannot be decoded.
fn newest_lead_record(records: &[StoredRecord]) -> Option<v1::LeadRecord> {
    let is_lead = |stored: &&StoredRecord| stored.record.key == takeover::LEAD_KEY;
    let stored = records.iter().filter(is_lead).max_by_key(|stored| stored.offset)?;
    v1::LeadRecord::decode(stored.record.value.as_slice())
        .inspect_err(|err| log::warn!(error:% = err; "ignoring an undecodable leader record"))
        .ok()
}

/// Whether another instance has announced a take-over since the leader last wrote.
fn claimed_by_other(node: &Node, page: &NewestPage) -> bool {
    let offset = |key: &str| {
        page.records.iter().find(|stored| stored.record.key == key).map(|stored| stored.offset)
    };
    let own = node.settings.instance.as_bytes();
    let by_other = page
        .records
        .iter()
        .any(|stored| stored.record.key == CLAIM_KEY && stored.record.value != own);
    by_other && offset(CLAIM_KEY) > offset(takeover::LEAD_KEY)
}

/// Asks other instances who leads while the store does not respond.
async fn ask_peers_for_leader(node: &Rc<Node>) {
    let own_address = node.peer_address();
    let peers = {
        let known = node.known_members.borrow();
        let others = known.addresses.iter().filter(|address| **address != own_address).cloned();
        others.sample(&mut rand::rng(), PEER_SAMPLE_SIZE)
    };
    let epoch = node.leader.borrow().epoch;
    for address in &peers {
        match heartbeats::send(node, address, HEARTBEAT_TIMEOUT).await {
            Ok(reply) if reply.epoch > epoch && !reply.leader_address.is_empty() => {
                node.follow(reply.epoch, &reply.leader_address);
                return;
            }
            Ok(_) => {}
            Err(err) => log::debug!(peer = address.as_str(), error:% = err; "peer did not respond"),
        }
    }
}
