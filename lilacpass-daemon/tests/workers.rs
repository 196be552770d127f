//! Calls to workers: what is sent, what is not, and the verdict of each failure.

mod common;

use std::{io::ErrorKind, sync::Arc, time::Duration};

use common::{
    links,
    worker::{FakeWorker, Forwarder, echo},
};
use lilacpass_control::event::{CallFailure, FailureKind, WorkerCall, WorkerReply};
use lilacpass_core::{MonoTime, Verdict, ids::WorkerId};
use lilacpass_daemon::{
    clock::Clock,
    link::{
        gate::Gate,
        stream::{GuardedStream, StreamState},
    },
    workers::{WorkerDone, WorkerOrder, Workers},
};
use lilacpass_schema::v1;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const LATER: MonoTime = MonoTime(u64::MAX);

/// Deadline of calls that get no answer; long enough for a connection on a busy machine.
const SHORT: Duration = Duration::from_secs(1);

fn run(payload: &str) -> WorkerCall {
    let task = v1::TaskKey { job_id: "0".repeat(32), attempt: 1, index: 0 };
    WorkerCall::Run(v1::RunRequest {
        task: Some(task),
        payload: payload.to_owned(),
        ..v1::RunRequest::default()
    })
}

fn order(address: std::net::SocketAddr, request: WorkerCall, timeout: Duration) -> WorkerOrder {
    let to = WorkerId::new("hal-a-01");
    WorkerOrder { to, address, request, timeout, not_after: LATER }
}

fn failure(done: WorkerDone) -> CallFailure {
    done.result.expect_err("the call fails")
}

#[tokio::test]
async fn a_quick_request_gets_its_answer() {
    let (_, address) = FakeWorker::start(echo).await;
    let workers = Workers::new(links());
    let done = workers.call(order(address, run("page"), common::PATIENCE)).await;
    let Ok(WorkerReply::Run(answer)) = done.result else { panic!("{done:?}") };
    assert_eq!(answer.result, "page");
}

/// This process is paused with a start decided but not sent. Its lease ends, another entry
/// instance takes the worker over and fills it. When this process goes on, the start must not
/// leave: the worker would be given more than it has.
#[tokio::test]
async fn a_lapsed_permit_sends_nothing() {
    let (worker, address) = FakeWorker::start(echo).await;
    let options = links();
    let clock = options.clock;
    let workers = Workers::new(options);
    while clock.now() <= MonoTime(1) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let lapsed =
        WorkerOrder { not_after: MonoTime(1), ..order(address, run(""), common::PATIENCE) };
    let failure = failure(workers.call(lapsed).await);
    assert_eq!((failure.kind, failure.verdict), (FailureKind::PermitLapsed, Verdict::NotRun));
    assert_eq!(worker.calls(), 0);
}

/// The same pause, but between the hand-over of the call to the connection and the write to the
/// socket. The gate of the connection sees it at the write.
#[test]
fn a_permit_that_lapses_before_the_write_closes_the_gate() {
    let clock = Clock::start();
    let gate = Arc::new(Gate::new(clock));
    let near_end = clock.now() + SHORT;
    let mut far = gate.ticket(LATER);
    let mut near = gate.ticket(near_end);
    let mut late = gate.ticket(MonoTime(0));
    while clock.now() == MonoTime(0) {
        std::thread::yield_now();
    }
    assert!(far.let_out() && near.let_out() && !late.let_out());
    assert!(gate.check().is_ok());
    while clock.now() <= near_end {
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(gate.check().is_err());
    // Not written yet, so it still counts after the body is done with …
    drop(near);
    assert!(gate.check().is_err());
    // … and after a flush that may have begun before …
    assert!(gate.flushed());
    assert!(gate.check().is_err());
    // … until a second one says that everything is with the kernel.
    gate.flushed();
    assert!(gate.check().is_ok());
    drop(late);
    drop(far);
}

/// The same at the socket: after the pause not a byte reaches the worker, and the connection is
/// reset.
#[tokio::test]
async fn a_write_after_a_lapsed_permit_sends_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let tcp = TcpStream::connect(address).await.expect("connect");
    let (mut worker, _) = listener.accept().await.expect("accept");
    let options = links();
    let clock = options.clock;
    let state = Arc::new(StreamState::new(clock, options.bytes));
    let mut stream = GuardedStream::new(tcp, state.clone());
    let end = clock.now() + SHORT;
    let mut ticket = state.gate.ticket(end);
    assert!(ticket.let_out());
    while clock.now() <= end {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(stream.write_all(b"start").await.is_err());
    drop(stream);
    let mut arrived = Vec::new();
    let ended = worker.read_to_end(&mut arrived).await;
    assert!(ended.is_err_and(|error| error.kind() == ErrorKind::ConnectionReset));
    assert!(arrived.is_empty());
}

/// A connection is idle for longer than the permission of its last call. That call has left in
/// time, so the next one must find the connection alive.
#[tokio::test(flavor = "multi_thread")]
async fn an_old_permit_does_not_break_an_idle_connection() {
    const PERMIT: Duration = Duration::from_millis(200);
    let (_, address) = FakeWorker::start(echo).await;
    let forwarder = Forwarder::start(address).await;
    let options = links();
    let clock = options.clock;
    let workers = Workers::new(options);
    let warm = workers.call(order(forwarder.address, run(""), common::PATIENCE)).await;
    assert!(warm.result.is_ok());
    for _ in 0..5 {
        let not_after = clock.now() + PERMIT;
        let call = order(forwarder.address, run("x"), common::PATIENCE);
        let done = workers.call(WorkerOrder { not_after, ..call }).await;
        // On a machine that pauses the test itself, a lapsed permit is right.
        let lapsed = |failure: &CallFailure| failure.kind == FailureKind::PermitLapsed;
        assert!(done.result.is_ok() || done.result.is_err_and(|failure| lapsed(&failure)));
        tokio::time::sleep(PERMIT * 2).await;
    }
    assert_eq!(forwarder.connections(), 1);
}

#[tokio::test]
async fn a_refused_connection_is_not_run() {
    let workers = Workers::new(links());
    let done = workers.call(order(common::closed_address(), run(""), common::PATIENCE)).await;
    let failure = failure(done);
    assert_eq!((failure.kind, failure.verdict), (FailureKind::Connect, Verdict::NotRun));
}

#[tokio::test]
async fn a_call_without_answer_may_have_run() {
    let (worker, address) = FakeWorker::start(|_| None).await;
    let workers = Workers::new(links());
    let done = workers.call(order(address, run(""), SHORT)).await;
    let failure = failure(done);
    assert_eq!((failure.kind, failure.verdict), (FailureKind::Timeout, Verdict::MayHaveRun));
    assert_eq!(worker.calls(), 1);
}

/// A worker sends the answer of another task. Passed on, a shopkeeper would get the report of
/// another shop.
#[tokio::test]
async fn an_answer_of_another_task_is_dropped() {
    let (_, address) = FakeWorker::start(|mut request| {
        request.task.as_mut()?.attempt = 2;
        echo(request)
    })
    .await;
    let workers = Workers::new(links());
    let failure = failure(workers.call(order(address, run("x"), common::PATIENCE)).await);
    assert_eq!((failure.kind, failure.verdict), (FailureKind::Broken, Verdict::MayHaveRun));
    assert_eq!(workers.stats().answers_broken.load(std::sync::atomic::Ordering::SeqCst), 1);
}

#[tokio::test]
async fn a_cut_answer_is_dropped() {
    let (_, address) = FakeWorker::start(|request| {
        let mut answer = echo(request)?.ok()?;
        answer.result.pop();
        Some(Ok(answer))
    })
    .await;
    let workers = Workers::new(links());
    let failure = failure(workers.call(order(address, run("report"), common::PATIENCE)).await);
    assert_eq!((failure.kind, failure.verdict), (FailureKind::Broken, Verdict::MayHaveRun));
}

/// Something between both ends loses track of an open connection: bytes vanish, nothing fails,
/// while new connections work. Without replacement every later request to this worker would wait
/// for its deadline and fail.
#[tokio::test]
async fn a_silent_connection_is_replaced() {
    let (_, address) = FakeWorker::start(echo).await;
    let forwarder = Forwarder::start(address).await;
    let workers = Workers::new(links());
    let first = workers.call(order(forwarder.address, run("a"), common::PATIENCE)).await;
    assert!(first.result.is_ok());
    forwarder.silence();
    let silent = order(forwarder.address, run("b"), SHORT);
    assert_eq!(failure(workers.call(silent).await).verdict, Verdict::MayHaveRun);
    let next = workers.call(order(forwarder.address, run("c"), common::PATIENCE)).await;
    assert!(next.result.is_ok(), "{next:?}");
    assert_eq!(forwarder.connections(), 2);
}

/// The network to a worker is cut while a start is under way. Without a reset the kernel would
/// deliver the start once the cut has healed, when another entry instance holds the worker.
#[tokio::test]
async fn a_start_without_answer_resets_its_connection() {
    let (worker, address) = FakeWorker::start(|_| None).await;
    let workers = Workers::new(links());
    let start = WorkerCall::Start(v1::StartTaskRequest::default());
    let start = workers.call(order(address, start, SHORT));
    // A quick request on the same connection ends with it.
    let quick = workers.call(order(address, run(""), common::PATIENCE));
    let (start, quick) = tokio::join!(start, quick);
    assert_eq!(failure(start).verdict, Verdict::MayHaveRun);
    let quick = failure(quick);
    assert_eq!((quick.kind, quick.verdict), (FailureKind::Broken, Verdict::MayHaveRun));
    assert_eq!(worker.calls(), 2);
}

/// The connection goes silent while a call waits for longer than the ping interval: the missing
/// ping answer ends the call long before its own deadline.
#[tokio::test]
async fn a_missing_ping_answer_ends_the_call() {
    let (_, address) = FakeWorker::start(|_| None).await;
    let forwarder = Forwarder::start(address).await;
    let mut options = links();
    options.ping = Duration::from_millis(100);
    options.ping_timeout = options.ping;
    let workers = Workers::new(options);
    let call = workers.call(order(forwarder.address, run(""), common::PATIENCE * 10));
    let silence = async {
        tokio::time::sleep(SHORT).await;
        forwarder.silence();
    };
    let ended = tokio::time::timeout(common::PATIENCE, async { tokio::join!(call, silence).0 });
    let failure = failure(ended.await.expect("ends by the ping"));
    assert_eq!((failure.kind, failure.verdict), (FailureKind::Broken, Verdict::MayHaveRun));
}
