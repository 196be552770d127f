//! Responses to clients of an instance that reaches neither the leader nor the store, with real processes on the
//! stand-in for the platform.

mod cluster;

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

use lilacpass_platform_standin::{
    cell::Faults,
    load::{HOST, QUEUES, SubmitOutcome},
};
use lilacpass_schema::v1;
use tokio::{task, time};

const FIRST_PORT: u16 = 22_850;
/// Maximum number of checks of a condition, after which the test fails, and the interval between checks.
const MAX_POLLS: u32 = 300;
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Requests the number of pending jobs over a new connection, and returns the head of the response.
fn request_pending(address: &str) -> String {
    get(address, &format!("/{}/", QUEUES[0].name))
}

/// Sends a GET request over a new connection, and returns the head of the response.
fn get(address: &str, path: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address) else { return String::new() };
    let head = format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Deadline-Ms: 3000\r\n\r\n");
    let timeout = Some(Duration::from_secs(10));
    stream.set_read_timeout(timeout).expect("a timeout");
    stream.write_all(head.as_bytes()).expect("sent");
    let mut bytes = [0; 1_024];
    let read = stream.read(&mut bytes).expect("a response");
    String::from_utf8_lossy(&bytes[..read]).to_lowercase()
}

/// Guards against refusing the clients of a data centre for as long as it is cut off, although other data centres could
/// serve them: their connections stayed open, and the load balancer redirects only new connections.
#[test]
fn a_refused_client_is_disconnected_if_there_is_no_leader() {
    cluster::run(FIRST_PORT, &[1.0, 1.0], async |mut cluster| {
        cluster.instances.iter_mut().for_each(|instance| instance.start().expect("started"));
        for instance in &cluster.instances {
            let is_open =
                |head: &str| head.contains(" 200 ") && !head.contains("connection: close");
            wait_for(&instance.callers_address, is_open).await;
        }
        let leader = cluster.callers.leader(&cluster.peer_addresses()).await.expect("one leads");
        cluster.cell.faults.replace(Faults { store_down: true, ..Faults::default() });
        cluster.instances[leader].kill().expect("killed");
        let is_disconnected =
            |head: &str| head.contains(" 503 ") && head.contains("connection: close");
        wait_for(&cluster.instances[1 - leader].callers_address, is_disconnected).await;
    });
}

/// Guards against telling clients that query the state of their jobs that there is no leader while the store is
/// unresponsive to all instances. Instances that had received a response of the store shortly before tried to take
/// over. They sent the leader no heartbeats until their store calls had failed.
#[test]
fn job_states_are_served_while_the_store_is_unresponsive() {
    const REQUESTS: u32 = 60;
    cluster::run(FIRST_PORT + 50, &[1.0, 1.0], async |mut cluster| {
        cluster.instances.iter_mut().for_each(|instance| instance.start().expect("started"));
        let is_served = |head: &str| head.contains(" 200 ");
        for instance in &cluster.instances {
            wait_for(&instance.callers_address, is_served).await;
        }
        let (key, outcome) = cluster.callers.submit(QUEUES[0], long_running_job()).await;
        assert_eq!(outcome, SubmitOutcome::Accepted);
        let leader = cluster.callers.leader(&cluster.peer_addresses()).await.expect("one leads");
        let follower = cluster.instances[1 - leader].callers_address.clone();
        cluster.cell.faults.replace(Faults { store_slow_ms: 60_000, ..Faults::default() });
        let mut refused = 0;
        for _ in 0..REQUESTS {
            let to = follower.clone();
            let path = format!("/{}/{key}", QUEUES[0].name);
            let head = task::spawn_blocking(move || get(&to, &path)).await.expect("a result");
            refused += u32::from(!is_served(&head));
            time::sleep(POLL_INTERVAL).await;
        }
        assert!(refused * 10 <= REQUESTS, "{refused} of {REQUESTS} requests were refused");
    });
}

/// A job that runs for as long as the test.
fn long_running_job() -> v1::WorkPlan {
    let step = v1::WorkStep {
        count: 1,
        cpu_milli: 1_000,
        memory_mb: 10,
        lasting: true,
        ..Default::default()
    };
    v1::WorkPlan { payload: "watch".to_owned(), steps: vec![step], ..Default::default() }
}

/// Repeats the request until the head of the response is as expected.
async fn wait_for(address: &str, is_expected: impl Fn(&str) -> bool) {
    let mut head = String::new();
    for _ in 0..MAX_POLLS {
        let to = address.to_owned();
        head = task::spawn_blocking(move || request_pending(&to)).await.expect("a result");
        if is_expected(&head) {
            return;
        }
        time::sleep(POLL_INTERVAL).await;
    }
    panic!("the response is {head:?}");
}
