//! The stand-ins over their protocol: faults, lost answers, waiting, connections.

use std::{net::SocketAddr, time::Duration};

use lilacpass_core::size::PerSecond;
use lilacpass_schema::v1::{
    self, instance_list_client::InstanceListClient, log_client::LogClient,
    platform_control_client::PlatformControlClient, worker_client::WorkerClient,
    worker_control_server::WorkerControl,
};
use lilacpass_standin::{
    platform::{INSTANCE_METADATA, Platform, PlatformOptions},
    shim::{Mode, Shim},
    worker_host::WorkerHost,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::oneshot,
    time,
};
use tonic::{Code, Request, transport::Channel};

/// Generous: passed only where something hangs that must not.
const LONG: Duration = Duration::from_secs(20);
/// A call that is expected to hang is given up after this.
const SHORT: Duration = Duration::from_millis(300);

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn channel(address: SocketAddr) -> Channel {
    let endpoint = Channel::from_shared(format!("http://{address}")).unwrap();
    endpoint.connect().await.unwrap()
}

async fn platform(options: PlatformOptions) -> Channel {
    let listener = TcpListener::bind(loopback()).await.unwrap();
    let (listening, address) = oneshot::channel();
    tokio::spawn(Platform::new(options).serve(listener, |a| listening.send(a).unwrap()));
    channel(address.await.unwrap()).await
}

fn append(text: &str) -> v1::AppendRequest {
    v1::AppendRequest { stream: "s".to_owned(), records: vec![text.as_bytes().to_vec()] }
}

fn read(from_offset: u64, wait: Duration) -> v1::ReadRequest {
    let wait_ms = u64::try_from(wait.as_millis()).unwrap();
    v1::ReadRequest { stream: "s".to_owned(), from_offset, max_records: 10, wait_ms }
}

#[tokio::test]
async fn an_append_whose_answer_is_lost_takes_effect() {
    let channel = platform(PlatformOptions::default()).await;
    let mut control = PlatformControlClient::new(channel.clone());
    let mut log = LogClient::new(channel);
    let fault = v1::PlatformFault { lose_answer_permille: 1000, ..Default::default() };
    control.set_fault(fault).await.unwrap();
    assert!(time::timeout(SHORT, log.append(append("a"))).await.is_err());
    let answer = log.read(read(0, Duration::ZERO)).await.unwrap().into_inner();
    assert_eq!(answer.records, vec![b"a".to_vec()]);
}

#[tokio::test]
async fn records_beyond_retention_are_gone() {
    let options = PlatformOptions { retention_records: 2, ..Default::default() };
    let mut log = LogClient::new(platform(options).await);
    for (offset, text) in ["a", "b", "c"].into_iter().enumerate() {
        let answer = log.append(append(text)).await.unwrap().into_inner();
        assert_eq!(answer.first_offset, offset as u64);
    }
    let answer = log.read(read(0, Duration::ZERO)).await.unwrap().into_inner();
    assert_eq!((answer.first_offset, answer.oldest_offset, answer.tail_offset), (1, 1, 3));
    assert_eq!(answer.records, vec![b"b".to_vec(), b"c".to_vec()]);
}

#[tokio::test]
async fn a_read_at_the_tail_waits_for_the_next_record() {
    let channel = platform(PlatformOptions::default()).await;
    let mut reader = LogClient::new(channel.clone());
    let reading = tokio::spawn(async move { reader.read(read(0, LONG)).await });
    LogClient::new(channel).append(append("a")).await.unwrap();
    let answer = time::timeout(LONG, reading).await.unwrap().unwrap().unwrap().into_inner();
    assert_eq!(answer.records.len(), 1);
}

#[tokio::test]
async fn appends_over_the_rate_are_refused_without_effect() {
    let options = PlatformOptions { appends: PerSecond(1), ..Default::default() };
    let mut log = LogClient::new(platform(options).await);
    log.append(append("a")).await.unwrap();
    let refused = log.append(append("b")).await.unwrap_err();
    assert_eq!(refused.code(), Code::ResourceExhausted);
    let answer = log.read(read(0, Duration::ZERO)).await.unwrap().into_inner();
    assert_eq!(answer.tail_offset, 1);
}

#[tokio::test]
async fn an_instance_that_is_cut_off_gets_no_answer_and_others_do() {
    let channel = platform(PlatformOptions::default()).await;
    let mut control = PlatformControlClient::new(channel.clone());
    let cut = v1::PlatformFault { cut_instances: vec!["e1".to_owned()], ..Default::default() };
    control.set_fault(cut).await.unwrap();
    let mut log = LogClient::new(channel);
    let from = |name: &'static str| {
        let mut request = Request::new(append(name));
        request.metadata_mut().insert(INSTANCE_METADATA, name.parse().unwrap());
        request
    };
    assert!(time::timeout(SHORT, log.append(from("e1"))).await.is_err());
    log.append(from("e2")).await.unwrap();
    let answer = log.read(read(0, Duration::ZERO)).await.unwrap().into_inner();
    assert_eq!(answer.records, vec![b"e2".to_vec()]);
}

#[tokio::test]
async fn readers_of_a_data_centre_see_the_address_meant_for_them() {
    let channel =
        platform(PlatformOptions { list_lag: Duration::ZERO, ..Default::default() }).await;
    let mut control = PlatformControlClient::new(channel.clone());
    for (name, data_centre) in [("e1", "hal-a"), ("e2", "hal-b")] {
        let instance = v1::Instance {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            address: format!("{name}:1"),
            ..Default::default()
        };
        control.put_instance(instance).await.unwrap();
    }
    let view = v1::AddressView {
        viewer_data_centre: "hal-b".to_owned(),
        name: "e1".to_owned(),
        address: "forwarder:1".to_owned(),
    };
    control.put_address_view(view).await.unwrap();
    let mut list = InstanceListClient::new(channel);
    for (viewer, expected) in [("e1", ["e1:1", "e2:1"]), ("e2", ["forwarder:1", "e2:1"])] {
        let mut request = Request::new(v1::ListInstancesRequest {});
        request.metadata_mut().insert(INSTANCE_METADATA, viewer.parse().unwrap());
        let seen = list.list(request).await.unwrap().into_inner().instances;
        let addresses: Vec<_> = seen.iter().map(|i| i.address.as_str()).collect();
        assert_eq!(addresses, expected);
    }
}

async fn one_worker(connections: u64) -> (WorkerHost, SocketAddr) {
    let spec = v1::WorkerSpec {
        name: "w".to_owned(),
        cpu_milli: 8000,
        memory_mib: 1024,
        slots: 8,
        connections,
        ..Default::default()
    };
    let (host, workers) = WorkerHost::start(loopback().ip(), &[spec], 1).await.unwrap();
    (host, workers[0].address)
}

async fn set_fault(host: &WorkerHost, fault: v1::WorkerFault) {
    WorkerControl::set_fault(host, Request::new(fault)).await.unwrap();
}

async fn counts(host: &WorkerHost) -> v1::WorkerCounts {
    host.counts(Request::new(v1::WorkerCountsRequest {})).await.unwrap().into_inner()
}

fn run(job: &str) -> v1::RunRequest {
    let task = v1::TaskKey { job_id: job.to_owned(), attempt: 1, index: 0 };
    let payload = format!("id={job} run=20ms");
    v1::RunRequest { task: Some(task), payload, remaining_ms: 10_000, ..Default::default() }
}

#[tokio::test]
async fn a_quick_request_gets_its_own_whole_result() {
    let (_host, address) = one_worker(64).await;
    let mut worker = WorkerClient::new(channel(address).await);
    let answer = worker.run(run("q")).await.unwrap().into_inner();
    assert_eq!((answer.result.as_str(), answer.result_bytes), ("q|ok|", 5));
    assert_eq!(answer.verdict(), v1::Verdict::Ran);
}

#[tokio::test]
async fn connections_over_the_limit_are_refused_and_counted() {
    let (host, address) = one_worker(1).await;
    let mut first = WorkerClient::new(channel(address).await);
    first.run(run("q")).await.unwrap();
    let mut second = TcpStream::connect(address).await.unwrap();
    let closed = time::timeout(LONG, second.read(&mut [0; 1])).await.unwrap();
    assert!(matches!(closed, Ok(0) | Err(_)));
    let count = counts(&host).await.workers.remove(0);
    assert_eq!((count.connections_most, count.connections_refused), (1, 1));
}

// Something between the two ends has lost track of an open connection: calls on it are never
// answered, while a new connection works at once.
#[tokio::test]
async fn an_open_connection_goes_silent_for_good_and_a_new_one_works() {
    let (host, address) = one_worker(64).await;
    let mut old = WorkerClient::new(channel(address).await);
    old.run(run("a")).await.unwrap();
    let fault = v1::WorkerFault { silence_open_connections: true, ..Default::default() };
    set_fault(&host, fault).await;
    assert!(time::timeout(SHORT, old.run(run("b"))).await.is_err());
    let mut new = WorkerClient::new(channel(address).await);
    new.run(run("c")).await.unwrap();
    let payloads: Vec<_> = counts(&host).await.tasks.into_iter().map(|t| t.payload).collect();
    assert_eq!(payloads, ["id=a run=20ms", "id=c run=20ms"]);
}

#[tokio::test]
async fn a_run_whose_answer_is_lost_took_effect() {
    let (host, address) = one_worker(64).await;
    let mut worker = WorkerClient::new(channel(address).await);
    let fault = v1::WorkerFault { lose_answer_permille: 1000, ..Default::default() };
    set_fault(&host, fault).await;
    assert!(time::timeout(SHORT, worker.run(run("a"))).await.is_err());
    assert!(time::timeout(LONG, worker.run(run("b"))).await.unwrap().is_err());
    assert_eq!(counts(&host).await.tasks.len(), 2);
}

#[tokio::test]
async fn a_dead_worker_refuses_connections_until_it_is_back() {
    let (host, address) = one_worker(64).await;
    let mut worker = WorkerClient::new(channel(address).await);
    worker.run(run("a")).await.unwrap();
    set_fault(&host, v1::WorkerFault { dead: true, ..Default::default() }).await;
    assert!(time::timeout(LONG, worker.run(run("b"))).await.unwrap().is_err());
    set_fault(&host, v1::WorkerFault::default()).await;
    let mut back = Channel::from_shared(format!("http://{address}")).unwrap().connect().await;
    while back.is_err() {
        back = Channel::from_shared(format!("http://{address}")).unwrap().connect().await;
    }
    WorkerClient::new(back.unwrap()).run(run("c")).await.unwrap();
}

#[tokio::test]
async fn a_report_waits_for_news_of_tasks() {
    let (_host, address) = one_worker(64).await;
    let channel = channel(address).await;
    let mut worker = WorkerClient::new(channel.clone());
    let known_version =
        worker.report(v1::ReportRequest::default()).await.unwrap().into_inner().version;
    let wait = v1::ReportRequest { known_version, wait_ms: 20_000, ..Default::default() };
    let waiting = tokio::spawn(async move { worker.report(wait).await });
    let task = v1::TaskKey { job_id: "t".to_owned(), attempt: 1, index: 0 };
    let start = v1::StartTaskRequest {
        task: Some(task.clone()),
        payload: "id=t run=10s".to_owned(),
        lease_ms: 10_000,
        ..Default::default()
    };
    WorkerClient::new(channel).start(start).await.unwrap();
    let report = time::timeout(LONG, waiting).await.unwrap().unwrap().unwrap().into_inner();
    assert_eq!(report.tasks[0].task, Some(task));
}

#[tokio::test]
async fn a_cut_forwarder_drops_connections_and_heals() {
    let echo = TcpListener::bind(loopback()).await.unwrap();
    let to = echo.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = echo.accept().await {
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                tokio::io::copy(&mut reader, &mut writer).await
            });
        }
    });
    let shim = Shim::start(loopback(), to).await.unwrap();
    let mut stream = TcpStream::connect(shim.address).await.unwrap();
    let mut buffer = [0; 1];
    stream.write_all(b"a").await.unwrap();
    stream.read_exact(&mut buffer).await.unwrap();
    shim.set_mode(Mode::Freeze);
    stream.write_all(b"b").await.unwrap();
    assert!(time::timeout(SHORT, stream.read(&mut buffer)).await.is_err());
    shim.set_mode(Mode::Cut);
    let closed = time::timeout(LONG, stream.read(&mut buffer)).await.unwrap();
    assert!(matches!(closed, Ok(0) | Err(_)));
    shim.set_mode(Mode::Pass);
    let mut stream = TcpStream::connect(shim.address).await.unwrap();
    stream.write_all(b"c").await.unwrap();
    stream.read_exact(&mut buffer).await.unwrap();
    assert_eq!(&buffer, b"c");
}
