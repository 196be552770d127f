//! Calls between entry instances: the key, refusals, and connections that go silent.

mod common;

use std::{net::SocketAddr, sync::mpsc, time::Duration};

use common::{links, worker::Forwarder};
use lilacpass_config::PeerKey;
use lilacpass_control::{
    Event,
    event::{FailureKind, PeerCall, PeerReply},
};
use lilacpass_core::Verdict;
use lilacpass_daemon::{
    control::{self, EventQueue},
    peers::{Peers, server::PeerService},
    replies::{Replies, ReplyIds},
};
use lilacpass_schema::v1;
use tokio::net::TcpListener;

const KEY: &str = "0123456789abcdef";

/// Deadline of calls that get no answer.
const SHORT: Duration = Duration::from_secs(1);

type Answers = fn(PeerCall) -> Option<Result<PeerReply, String>>;

/// Starts a server that answers by `answers`; tells each call that arrived.
async fn serve(key: Option<&str>, answers: Answers) -> (SocketAddr, mpsc::Receiver<PeerCall>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let (sink, queue) = control::queue();
    let replies = Replies::new(ReplyIds::default());
    let service = PeerService::new(sink, replies.clone(), key.map(PeerKey::new));
    tokio::spawn(service.serve(listener, std::future::pending()));
    let (seen, calls) = mpsc::channel();
    std::thread::spawn(move || {
        while let Some((reply, call)) = next_call(&queue) {
            if let Some(answer) = answers(call.clone()) {
                replies.answer(reply, answer);
            }
            if seen.send(call).is_err() {
                return;
            }
        }
    });
    (address, calls)
}

fn next_call(queue: &EventQueue) -> Option<(lilacpass_control::event::ReplyId, PeerCall)> {
    match queue.next(common::PATIENCE) {
        Some(Event::PeerRequest { reply, request }) => Some((reply, request)),
        _ => None,
    }
}

fn heartbeat() -> PeerCall {
    PeerCall::Heartbeat(v1::HeartbeatRequest::default())
}

fn alive(_: PeerCall) -> Option<Result<PeerReply, String>> {
    let answer = v1::HeartbeatRequest { revision: 7, ..v1::HeartbeatRequest::default() };
    Some(Ok(PeerReply::Heartbeat(answer)))
}

#[tokio::test]
async fn a_call_with_the_key_is_answered() {
    let (address, _calls) = serve(Some(KEY), alive).await;
    let peers = Peers::new(links(), Some(&PeerKey::new(KEY)));
    let reply = peers.call(address, heartbeat(), common::PATIENCE).await;
    let Ok(PeerReply::Heartbeat(answer)) = reply else { panic!("{reply:?}") };
    assert_eq!(answer.revision, 7);
}

#[tokio::test]
async fn a_call_with_a_wrong_key_or_none_has_no_effect() {
    let (address, calls) = serve(Some(KEY), alive).await;
    for key in [None, Some(PeerKey::new("0123456789abcdeX"))] {
        let peers = Peers::new(links(), key.as_ref());
        let failure = peers.call(address, heartbeat(), common::PATIENCE).await;
        let failure = failure.expect_err("refused");
        assert_eq!((failure.kind, failure.verdict), (FailureKind::Refused, Verdict::NotRun));
    }
    assert!(calls.try_recv().is_err());
}

#[tokio::test]
async fn loopback_needs_no_key_where_none_is_set() {
    let (address, _calls) = serve(None, alive).await;
    let peers = Peers::new(links(), None);
    assert!(peers.call(address, heartbeat(), common::PATIENCE).await.is_ok());
}

/// A holder refuses a forwarded request before it did anything. The entry that forwarded it may
/// then try elsewhere, also where the request must not run twice.
#[tokio::test]
async fn a_refusal_of_the_callee_is_not_run() {
    let (address, _calls) = serve(None, |_| Some(Err("not the holder".to_owned()))).await;
    let peers = Peers::new(links(), None);
    let forward = PeerCall::Forward(v1::ForwardRequest::default());
    let failure = peers.call(address, forward, common::PATIENCE).await.expect_err("refused");
    assert_eq!((failure.kind, failure.verdict), (FailureKind::Refused, Verdict::NotRun));
    assert_eq!(failure.detail, "not the holder");
}

#[tokio::test]
async fn a_refused_connection_is_not_run() {
    let peers = Peers::new(links(), None);
    let failure = peers.call(common::closed_address(), heartbeat(), common::PATIENCE).await;
    let failure = failure.expect_err("nobody listens");
    assert_eq!((failure.kind, failure.verdict), (FailureKind::Connect, Verdict::NotRun));
}

/// A peer takes a request and never answers. It may run there: the caller must not be told that
/// it did not.
#[tokio::test]
async fn a_call_without_answer_may_have_run() {
    let (address, calls) = serve(None, |_| None).await;
    let peers = Peers::new(links(), None);
    let failure = peers.call(address, heartbeat(), SHORT).await.expect_err("no answer");
    assert_eq!((failure.kind, failure.verdict), (FailureKind::Timeout, Verdict::MayHaveRun));
    assert!(calls.recv_timeout(common::PATIENCE).is_ok());
}

/// The connection between two entry instances goes silent while new ones work. After two calls
/// without answer in a row the next one goes over a new connection.
#[tokio::test]
async fn a_silent_connection_is_replaced_after_two_timeouts() {
    let (address, _calls) = serve(None, alive).await;
    let forwarder = Forwarder::start(address).await;
    let peers = Peers::new(links(), None);
    assert!(peers.call(forwarder.address, heartbeat(), common::PATIENCE).await.is_ok());
    forwarder.silence();
    for _ in 0..2 {
        assert_eq!(forwarder.connections(), 1);
        assert!(peers.call(forwarder.address, heartbeat(), SHORT).await.is_err());
    }
    assert!(peers.call(forwarder.address, heartbeat(), common::PATIENCE).await.is_ok());
    assert_eq!((forwarder.connections(), peers.replaced()), (2, 1));
}
