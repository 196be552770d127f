//! Messages of other instances that are damaged, or come from a version that validates less.

mod cluster;

use std::{sync::Mutex, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};
use lilacpass_platform::client::{Call, Client};
use lilacpass_schema::v1;
use prost::Message;

const FIRST_PORT: u16 = 22_900;
/// Number of damaged messages that are sent.
const SEEDS: u64 = 400;
/// Timeout for a response. The leader responds within milliseconds; the rest is for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A change to a message: kind of change, position, and byte.
type Damage = (u8, u16, u8);

/// Valid messages between the leader and other instances, with their paths.
fn valid() -> Vec<(&'static str, Vec<u8>)> {
    let queue = v1::QueuePolicy { name: "quick".to_owned(), attempts: 3, ..Default::default() };
    let step = v1::WorkStep { count: 2, cpu_milli: 100, memory_mb: 10, ..Default::default() };
    let later = v1::WorkStep { after: vec![0], ..step.clone() };
    let plan =
        v1::WorkPlan { payload: "do".to_owned(), steps: vec![step, later], ..Default::default() };
    let work = |op: v1::WorkOp| {
        let mut work = v1::PeerWork { job: 7, ..Default::default() };
        work.set_op(op);
        work.queue = Some(queue.clone());
        work.plan = Some(plan.clone());
        ("/peer/work", work.encode_to_vec())
    };
    let advise = v1::PeerAdvise {
        step: "5c0e7a21d94b36f8.0.1".to_owned(),
        workers: vec!["i-1".to_owned()],
        timeout_ms: 50,
    };
    vec![
        work(v1::WorkOp::WorkSubmit),
        work(v1::WorkOp::WorkState),
        work(v1::WorkOp::WorkCancel),
        work(v1::WorkOp::WorkPending),
        ("/peer/advise", advise.encode_to_vec()),
    ]
}

fn damaged(valid: &[u8], damages: &[Damage]) -> Vec<u8> {
    let mut bytes = valid.to_vec();
    for &(kind, position, byte) in damages {
        let at = usize::from(position) % (bytes.len() + 1);
        match kind % 4 {
            0 if kind < 64 => bytes.truncate(at),
            1 => bytes.insert(at, byte),
            2 if at < bytes.len() => drop(bytes.remove(at)),
            _ if at < bytes.len() => bytes[at] = byte,
            _ => {}
        }
    }
    bytes
}

/// Damaged messages from fixed seeds.
fn messages() -> Vec<(&'static str, Vec<u8>)> {
    let valid = valid();
    let generated = Mutex::new(Vec::new());
    lilacpass_fuzz::check::<(u8, Vec<Damage>)>(SEEDS, 1 << 6, |(index, damages)| {
        let (path, bytes) = &valid[usize::from(*index) % valid.len()];
        generated.lock().expect("messages").push((*path, damaged(bytes, damages)));
    });
    generated.into_inner().expect("messages")
}

/// A job of four billion tasks, and one that names an earlier step a hundred thousand times.
fn oversized_messages() -> Vec<(&'static str, Vec<u8>)> {
    let submit = |job: u64, steps: Vec<v1::WorkStep>| {
        let plan = v1::WorkPlan { steps, ..Default::default() };
        let queue = Some(v1::QueuePolicy::default());
        (
            "/peer/work",
            v1::PeerWork { job, queue, plan: Some(plan), ..Default::default() }.encode_to_vec(),
        )
    };
    let many = v1::WorkStep { count: u32::MAX, ..Default::default() };
    let one = v1::WorkStep { count: 1, ..Default::default() };
    let often = v1::WorkStep { after: vec![0; 100_000], ..one.clone() };
    vec![submit(11, vec![many]), submit(12, vec![one, often])]
}

fn call<'a>(address: &'a str, path: &'a str, message: Vec<u8>) -> Call<'a> {
    let body = Bytes::from(message);
    Call { address, method: Method::POST, path, headers: &[], body, timeout: TIMEOUT }
}

/// Guards against a leader that crashes, or crashes again after each restart, because another instance sends a message
/// that this one cannot decode, or that its own version would have rejected.
#[test]
fn damaged_messages_are_answered_and_harmless() {
    cluster::run(FIRST_PORT, &[0.5], async |mut cluster| {
        cluster.instances[0].start().expect("started");
        cluster.wait_for_leader(&[0]).await;
        let client = Client::default();
        let address = cluster.instances[0].peer_address.clone();
        for (path, message) in messages().into_iter().chain(oversized_messages()) {
            let response = client.call(&call(&address, path, message.clone())).await;
            let status = response.map(|response| response.status);
            assert!(
                matches!(status, Ok(StatusCode::OK | StatusCode::BAD_REQUEST)),
                "{status:?} to {path} {message:?}"
            );
        }
        let (path, message) = oversized_messages().remove(0);
        let body = client.call(&call(&address, path, message)).await.expect("a response").body;
        let reply = v1::PeerWorkReply::decode(body).expect("a reply");
        assert_eq!(reply.outcome(), v1::WorkOutcome::WorkInvalid, "{}", reply.detail);
        assert!(!cluster.instances[0].has_ended().expect("a result"), "the instance has ended");
        cluster.wait_for_leader(&[0]).await;
    });
}
