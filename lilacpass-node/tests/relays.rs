//! Relayed orders, with real processes on the stand-in for the platform.
//!
//! The instances are configured with a thousandth of a core, so that the leader of even a small cell has its orders
//! relayed.

mod cluster;

use std::time::Duration;

use bytes::Bytes;
use cluster::Cluster;
use http::{Method, StatusCode};
use lilacpass_jobs::JobKey;
use lilacpass_platform::client::{Call, Client};
use lilacpass_platform_standin::load::{QUEUES, SubmitOutcome};
use lilacpass_schema::v1;
use prost::Message;
use rustix::process::Signal;
use serde_json::Value;
use tokio::time::{self, Instant};

const FIRST_PORT: u16 = 24_500;
const CPU_SHARES: [f64; 3] = [0.001; 3];
/// Maximum number of checks of a condition, after which the test fails, and the interval between checks.
const MAX_POLLS: u32 = 300;
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long a job may take. It may have to wait for leases of up to twelve seconds to expire.
const JOB_TIMEOUT: Duration = Duration::from_secs(40);

async fn call(
    address: &str,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Option<(StatusCode, Bytes)> {
    let timeout = Duration::from_secs(4);
    let body = Bytes::from(body);
    let call = Call { address, method, path, headers: &[], body, timeout };
    let response = Client::default().call(&call).await.ok()?;
    Some((response.status, response.body))
}

/// The leader, and the relays as it reports them to operators; `None` if no instance leads.
async fn leader_and_relays(cluster: &Cluster) -> Option<(usize, Vec<String>)> {
    for (leader, instance) in cluster.instances.iter().enumerate() {
        let response =
            call(&instance.peer_address, Method::GET, "/operator/status", Vec::new()).await;
        let Some((StatusCode::OK, body)) = response else { continue };
        let status: Value = serde_json::from_slice(&body).expect("a status");
        let relays = status["relays"].as_array().expect("a list");
        let address = |relay: &Value| relay["address"].as_str().unwrap_or_default().to_owned();
        return Some((leader, relays.iter().map(address).collect()));
    }
    None
}

/// Waits until `count` instances relay orders. Returns the leader and the relays as indices.
async fn wait_for_relays(cluster: &Cluster, count: usize) -> (usize, Vec<usize>) {
    let addresses = cluster.peer_addresses();
    let mut seen = None;
    for _ in 0..MAX_POLLS {
        seen = leader_and_relays(cluster).await;
        if let Some((leader, relays)) = &seen
            && relays.len() == count
        {
            let index = |relay| addresses.iter().position(|address| address == relay);
            return (*leader, relays.iter().filter_map(index).collect());
        }
        time::sleep(POLL_INTERVAL).await;
    }
    panic!("the leader and its relays are {seen:?}");
}

fn job() -> v1::WorkPlan {
    let step = v1::WorkStep {
        count: 4,
        cpu_milli: 1_000,
        memory_mb: 10,
        estimate_ms: 400,
        ..Default::default()
    };
    let later = v1::WorkStep { after: vec![0], ..step.clone() };
    v1::WorkPlan { payload: "job".to_owned(), steps: vec![step, later], ..Default::default() }
}

async fn submit_jobs(cluster: &Cluster, jobs: usize) -> Vec<JobKey> {
    let mut keys = Vec::new();
    for _ in 0..jobs {
        let (key, outcome) = cluster.callers.submit(QUEUES[1], job()).await;
        assert_eq!(outcome, SubmitOutcome::Accepted);
        keys.push(key);
    }
    keys
}

/// Waits until all jobs are complete, and checks what the workers observed.
async fn wait_until_done(cluster: &Cluster, jobs: &[JobKey]) {
    let end = Instant::now() + JOB_TIMEOUT;
    for &job in jobs {
        let state = cluster.callers.wait_for(QUEUES[1], job, &["completed", "failed"], end).await;
        assert_eq!(state, "completed");
    }
    let checker = cluster.cell.checker.borrow();
    assert!(checker.is_clean(), "{checker:?}");
}

fn start(cluster: &mut Cluster) {
    cluster.instances.iter_mut().for_each(|instance| instance.start().expect("started"));
}

#[test]
fn jobs_complete_through_relays() {
    cluster::run(FIRST_PORT, &CPU_SHARES, async |mut cluster| {
        start(&mut cluster);
        wait_for_relays(&cluster, 2).await;
        let jobs = submit_jobs(&cluster, 5).await;
        wait_until_done(&cluster, &jobs).await;
    });
}

/// Guards against losing or repeating tasks when an instance that relays orders loses power. Tasks whose starts it had
/// accepted waited for leases that were never granted, or ran twice, since the leader sends the starts again.
#[test]
fn losing_a_relay_neither_loses_nor_repeats_tasks() {
    cluster::run(FIRST_PORT + 50, &CPU_SHARES, async |mut cluster| {
        start(&mut cluster);
        let (_, relays) = wait_for_relays(&cluster, 2).await;
        let mut jobs = submit_jobs(&cluster, 4).await;
        cluster.instances[relays[0]].kill().expect("killed");
        jobs.extend(submit_jobs(&cluster, 4).await);
        wait_until_done(&cluster, &jobs).await;
    });
}

/// Guards against repeating tasks when a relay is suspended for two seconds with accepted orders, and executes them
/// when it resumes. Meanwhile the leader has abandoned them and assigned the tasks to other workers.
#[test]
fn a_relay_that_resumes_with_old_orders_repeats_no_task() {
    cluster::run(FIRST_PORT + 100, &CPU_SHARES, async |mut cluster| {
        start(&mut cluster);
        let (_, relays) = wait_for_relays(&cluster, 2).await;
        let mut jobs = submit_jobs(&cluster, 4).await;
        cluster.instances[relays[0]].signal(Signal::STOP).expect("stopped");
        time::sleep(Duration::from_secs(2)).await;
        cluster.instances[relays[0]].signal(Signal::CONT).expect("continued");
        jobs.extend(submit_jobs(&cluster, 4).await);
        wait_until_done(&cluster, &jobs).await;
    });
}

/// Guards against running tasks twice when the leader is lost while its relays have orders in progress: those must not
/// run concurrently with what its successor starts.
#[test]
fn relays_of_a_lost_leader_follow_its_successor() {
    cluster::run(FIRST_PORT + 150, &CPU_SHARES, async |mut cluster| {
        start(&mut cluster);
        let (leader, _) = wait_for_relays(&cluster, 2).await;
        let mut jobs = submit_jobs(&cluster, 4).await;
        cluster.instances[leader].kill().expect("killed");
        wait_for_relays(&cluster, 1).await;
        jobs.extend(submit_jobs(&cluster, 4).await);
        wait_until_done(&cluster, &jobs).await;
    });
}

/// Guards against a relay that abandons its orders in progress at a planned stop.
#[test]
fn a_stopping_relay_completes_accepted_orders() {
    cluster::run(FIRST_PORT + 200, &CPU_SHARES, async |mut cluster| {
        start(&mut cluster);
        let (_, relays) = wait_for_relays(&cluster, 2).await;
        let mut jobs = submit_jobs(&cluster, 4).await;
        cluster.instances[relays[0]].signal(Signal::TERM).expect("signalled");
        wait_for_relays(&cluster, 1).await;
        jobs.extend(submit_jobs(&cluster, 4).await);
        wait_until_done(&cluster, &jobs).await;
    });
}

/// Guards against a limit on messages that is too small for the hundreds of long starts that are sent at once after an
/// outage of the store. The relay rejected the message as too long and was not used for seconds, and the leader sent
/// all orders itself just when it had most to do.
#[test]
fn a_message_with_many_long_starts_is_accepted() {
    const STARTS: u64 = 500;
    const MAX_PAYLOAD_BYTES: usize = 4_000;
    cluster::run(FIRST_PORT + 300, &CPU_SHARES[..1], async |mut cluster| {
        start(&mut cluster);
        wait_for_relays(&cluster, 0).await;
        let order = |number: u64| v1::RelayedOrder {
            number,
            // No process listens there.
            address: "127.0.0.1:1".to_owned(),
            start: Some(v1::RelayedStart {
                run: Some(v1::RelayedRun { job: number, run: 1, ..Default::default() }),
                payload: number as u32,
                ..Default::default()
            }),
            ..Default::default()
        };
        let orders = v1::PeerOrders {
            epoch: u64::MAX,
            leader_address: "127.0.0.1:1".to_owned(),
            payloads: (0..STARTS).map(|_| "x".repeat(MAX_PAYLOAD_BYTES)).collect(),
            orders: (0..STARTS).map(order).collect(),
        };
        let address = &cluster.instances[0].peer_address;
        let response = call(address, Method::POST, "/peer/orders", orders.encode_to_vec()).await;
        assert_eq!(response.map(|(status, _)| status), Some(StatusCode::OK));
    });
}

/// Orders and outcomes that are damaged, incomplete, of another epoch, or that no instance asked for are rejected or
/// ignored, and jobs still complete.
#[test]
fn foreign_and_damaged_relay_messages_are_harmless() {
    cluster::run(FIRST_PORT + 250, &CPU_SHARES, async |mut cluster| {
        start(&mut cluster);
        let (leader, relays) = wait_for_relays(&cluster, 2).await;
        let (leader, relay) = (
            cluster.instances[leader].peer_address.clone(),
            cluster.instances[relays[0]].peer_address.clone(),
        );
        let post = async |address: &str, path: &str, message: Vec<u8>| {
            call(address, Method::POST, path, message).await.expect("a response").0
        };
        let orders = v1::PeerOrders {
            orders: vec![v1::RelayedOrder {
                number: 1,
                fence_step: u64::MAX,
                ..Default::default()
            }],
            ..Default::default()
        };
        let refused = post(&relay, "/peer/orders", orders.encode_to_vec()).await;
        assert_eq!(refused, StatusCode::CONFLICT, "orders of a past epoch");
        let orders = v1::PeerOrders { epoch: u64::MAX, ..orders };
        let accepted = post(&relay, "/peer/orders", orders.encode_to_vec()).await;
        assert_eq!(accepted, StatusCode::OK, "an order without content is ignored");
        let damaged = post(&relay, "/peer/orders", vec![0xff; 40]).await;
        assert_eq!(damaged, StatusCode::BAD_REQUEST);
        let outcomes = v1::PeerOutcomes {
            outcomes: vec![v1::RelayedOutcome { number: 1, ..Default::default() }],
            ..Default::default()
        };
        let refused = post(&leader, "/peer/outcomes", outcomes.encode_to_vec()).await;
        assert_eq!(refused, StatusCode::CONFLICT, "outcomes of another epoch");
        assert_eq!(post(&leader, "/peer/outcomes", vec![0xff; 40]).await, StatusCode::BAD_REQUEST);
        let jobs = submit_jobs(&cluster, 3).await;
        wait_until_done(&cluster, &jobs).await;
    });
}
