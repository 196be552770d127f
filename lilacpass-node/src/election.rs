//! Who leads: follows the leader while it lives, and takes its place when it does not.
//!
//! Safety never rests on what is decided here: only one of several that take over at once can close
//! the log, and whoever did not is refused by the store and by the workers. This module decides only
//! that somebody leads soon, and that a leader that lives is left alone.

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

use crate::{clock, leader_handle, leader_loop, metrics, node::Node, peers, takeover};

/// Time between greetings to the leader.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// How long the leader may take to answer a greeting. A slow instance of an eighth of the ordinary
/// speed answers within 100 ms. One that takes longer is only watched, which costs a read.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a leader that is silent must go without renewal, so that a leader that merely can't be
/// reached from here is left alone. Renewals are 0.2 s apart, and may be late by a tenth of a second
/// where the processor of the leader is shared out by tenths. What the store takes is added.
const UNRESPONSIVE_RENEWAL_WAIT: Duration = Duration::from_millis(320);
/// The same where its address refuses connections: its process is most likely gone.
const REFUSED_RENEWAL_WAIT: Duration = Duration::from_millis(260);
/// The watch is longer by so many times what the store took to tell who leads: a renewal takes one
/// such time, and the next begins after it.
const STORE_LATENCY_FACTOR: u32 = 2;
/// How long another that has announced its take-over is given for it.
const CLAIM_WAIT: Duration = Duration::from_millis(1_300);
/// Spreads instances that notice the same loss at the same time.
const MAX_JITTER: Duration = Duration::from_millis(40);
/// How much longer an instance waits that is smaller than others: those notice the same loss and
/// announce their take-over meanwhile. A leader of 350 workers fills a quarter of a core; one with
/// an eighth places 200 tasks a second where 700 arrive, and falls behind for good.
const SMALL_INSTANCE_DELAY: Duration = Duration::from_millis(350);
/// An instance with less counts as small while nobody has told it of others.
const SMALL_CPU_MILLIS: u32 = 250;
/// Greetings in a row in which a leader says that the store does not answer it, before an instance
/// that the store does answer takes over.
const CUT_OFF_HEARTBEATS: u32 = 3;
/// How long the store may take for a call here.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// How long the store may take to note an announcement: a slow one takes 0.8 s. Given up sooner, it was noted
/// all the same, and kept everybody waiting for a take-over that nobody made.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How fast the store must answer an instance that is asked to take over. One that is slow for all
/// is no reason to change the leader.
const PROMOTE_STORE_TIMEOUT: Duration = Duration::from_millis(150);
/// How many peers, drawn at random, are asked who leads before the store is tried again. Each that does
/// not answer takes the time of a greeting; forty of them would take ten seconds.
const PEER_SAMPLE_SIZE: usize = 4;
/// Pause after a store call that failed.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Key of the record by which an instance announces that it is taking over.
const CLAIM_KEY: &str = "claim";

/// What a greeting showed.
enum HeartbeatResult {
    Leads { store_reachable: bool },
    OtherLeader,
    NotLeading,
    ConnectionRefused,
    Unresponsive,
}

/// Follows or leads as long as the process runs.
pub async fn run(node: Rc<Node>) {
    let mut store_failures = 0;
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
                store_failures = if store_reachable { 0 } else { store_failures + 1 };
                if store_failures >= CUT_OFF_HEARTBEATS && node.store_reachable() {
                    log::info!(leader = address.as_str(); "the store does not answer the leader");
                    campaign_with_heartbeats(&node, &address, view.epoch).await;
                }
                let mut leaving = node.leaving.subscribe();
                tokio::select! {
                    () = time::sleep(HEARTBEAT_INTERVAL) => {}
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

/// Tries to take over from a leader that the store does not answer, and greets it meanwhile.
///
/// Where the store answers nobody, the try lasts for a second or two. Without the greetings, callers who ask
/// for the state of their jobs in that time are told that there is no leader, though it lives and knows.
async fn campaign_with_heartbeats(node: &Rc<Node>, address: &str, epoch: u64) {
    let mut campaign = pin!(campaign(node, REFUSED_RENEWAL_WAIT));
    loop {
        tokio::select! {
            () = &mut campaign => return,
            () = time::sleep(HEARTBEAT_INTERVAL) => {}
        }
        // What it shows is noted; the next greeting after this acts on it.
        let _result = send_heartbeat(node, address, epoch).await;
    }
}

async fn send_heartbeat(node: &Rc<Node>, address: &str, epoch: u64) -> HeartbeatResult {
    if address == node.peer_address() {
        // A former life of this instance led.
        return HeartbeatResult::NotLeading;
    }
    let result = peers::send_heartbeat(node, address, HEARTBEAT_TIMEOUT).await;
    node.metrics.heartbeat(metrics::outcome(&result));
    log_reachability(node, address, &result);
    match result {
        Ok(reply) if reply.leads => {
            node.last_leader_response_ms.set(clock::now().steady_ms);
            node.cut_off.set(false);
            node.leader_store_reachable.set(reply.store_reachable);
            node.follow(reply.epoch, address);
            node.max_cpu_millis.set(reply.most_cpu_millis);
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

/// Writes a line when greetings begin to go unanswered, and one when they are answered again.
fn log_reachability<T>(node: &Node, address: &str, result: &Result<T, Error>) {
    let is_unresponsive = result.is_err();
    if node.leader_unresponsive.replace(is_unresponsive) == is_unresponsive {
        return;
    }
    match result {
        Ok(_) => log::info!(leader = address; "greetings are answered again"),
        Err(err) => log::info!(leader = address, error:% = err; "greeting is not answered"),
    }
}

/// Takes over if the leader is not renewed for `watch`.
async fn campaign(node: &Rc<Node>, renewal_wait: Duration) {
    let partition = takeover::lead_partition();
    let requested_at = Instant::now();
    let page = match node.store.newest(&partition, None, STORE_TIMEOUT).await {
        Ok(page) => page,
        Err(err) => {
            log::info!(error:% = err; "leader can't be looked up");
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
    let jitter = MAX_JITTER.mul_f64(rand::rng().random());
    let renewal_wait = renewal_wait + small_instance_delay(node) + jitter;
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
        claim_and_take_over(node, page.end).await;
    }
}

/// How much longer this instance leaves the lead to larger ones.
fn small_instance_delay(node: &Node) -> Duration {
    let max_cpu_millis = match node.max_cpu_millis.get() {
        0 => SMALL_CPU_MILLIS,
        known => known,
    };
    if node.settings.cpu_millis < max_cpu_millis { SMALL_INSTANCE_DELAY } else { Duration::ZERO }
}

/// Takes over at the word of the former leader, if the store answers this instance: at once, or
/// where the former leader is leaving, at all.
pub async fn take_over_on_request(node: &Rc<Node>, former_is_leaving: bool) {
    if node.leads() || node.is_leaving() {
        return;
    }
    let partition = takeover::lead_partition();
    let timeout = if former_is_leaving { STORE_TIMEOUT } else { PROMOTE_STORE_TIMEOUT };
    let page = match node.store.newest(&partition, None, timeout).await {
        Ok(page) => page,
        Err(err) => {
            log::info!(error:% = err; "asked to take over, but the store does not answer");
            return;
        }
    };
    log::info!("asked to take over");
    // Keeps others, who see the former leader give up before the new one is known, from taking over
    // from the new one at once. A renewal in between makes this fail, which does no harm.
    let node = node.clone();
    // Goes on if the connection to the former leader ends meanwhile.
    let taking_over = tokio::task::spawn_local(async move {
        let (_, snapshot) = tokio::join!(claim(&node, page.end), takeover::read_snapshot(&node));
        take_over(&node, snapshot).await;
    });
    if let Err(err) = taking_over.await {
        log::error!(error:% = err; "take-over was broken off");
    }
}

/// Announces a take-over, and takes over if nobody else has written since `end`.
async fn claim_and_take_over(node: &Rc<Node>, end: u64) {
    let (claimed, snapshot) = tokio::join!(claim(node, end), takeover::read_snapshot(node));
    if claimed {
        take_over(node, snapshot).await;
    }
}

async fn take_over(node: &Rc<Node>, snapshot: Option<takeover::Snapshot>) {
    let Some(snapshot) = snapshot else { return };
    if node.leads() || node.taking_over.replace(true) {
        return;
    }
    if let Some(leadership) = takeover::complete(node, snapshot).await {
        leader_loop::start(node, leadership);
    }
    node.taking_over.set(false);
}

/// Announces a take-over, only if nothing was written since the look at the leader: neither a
/// renewal nor another's announcement.
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
            log::info!(error:% = err; "take-over can't be announced");
            time::sleep(STORE_RETRY_PAUSE).await;
            false
        }
    }
}

/// Waits for `watch`, but no longer than until `read`, which waits for new records, brings some. Returns
/// those.
///
/// Instances that see another's announcement must not sleep out the time that is given to it: when all
/// instances had lost power, seven of nine learned of the new leader 1.2 s after it had taken over, and
/// refused their callers until then.
pub async fn wait_for_records(
    read: impl Future<Output = Result<ReadOutcome, Error>>,
    max_wait: Duration,
) -> Vec<StoredRecord> {
    let end = Instant::now() + max_wait;
    let records = match time::timeout_at(end, read).await {
        Ok(Ok(ReadOutcome::Records { records, .. })) => records,
        Ok(Ok(ReadOutcome::Gone)) | Err(_) => Vec::new(),
        Ok(Err(err)) => {
            log::info!(error:% = err; "records of the leader can't be read");
            Vec::new()
        }
    };
    if records.is_empty() {
        time::sleep_until(end).await;
    }
    records
}

fn newest_lead_record(records: &[StoredRecord]) -> Option<v1::LeadRecord> {
    let is_lead = |placed: &&StoredRecord| placed.record.key == takeover::LEAD_KEY;
    let placed = records.iter().filter(is_lead).max_by_key(|placed| placed.offset)?;
    v1::LeadRecord::decode(placed.record.value.as_slice())
        .inspect_err(|err| log::warn!(error:% = err; "record of the leader is passed over"))
        .ok()
}

/// Whether another has announced its take-over since the leader last wrote.
fn claimed_by_other(node: &Node, page: &NewestPage) -> bool {
    let offset = |key: &str| {
        page.records.iter().find(|placed| placed.record.key == key).map(|placed| placed.offset)
    };
    let own = node.settings.instance.as_bytes();
    let by_other = page
        .records
        .iter()
        .any(|placed| placed.record.key == CLAIM_KEY && placed.record.value != own);
    by_other && offset(CLAIM_KEY) > offset(takeover::LEAD_KEY)
}

/// Asks other instances who leads, for one that the store does not answer.
async fn ask_peers_for_leader(node: &Rc<Node>) {
    let own_address = node.peer_address();
    let peers = {
        let known = node.known_members.borrow();
        let others = known.addresses.iter().filter(|address| **address != own_address).cloned();
        others.sample(&mut rand::rng(), PEER_SAMPLE_SIZE)
    };
    let epoch = node.leader.borrow().epoch;
    for address in &peers {
        match peers::send_heartbeat(node, address, HEARTBEAT_TIMEOUT).await {
            Ok(reply) if reply.epoch > epoch && !reply.leader_address.is_empty() => {
                node.follow(reply.epoch, &reply.leader_address);
                return;
            }
            Ok(_) => {}
            Err(err) => log::debug!(peer = address.as_str(), error:% = err; "peer does not answer"),
        }
    }
}
