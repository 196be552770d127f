//! The adapter to the log service: what each failure of an append means, and reading through
//! outages.

mod common;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, mpsc},
    time::Duration,
};

use common::{links, wait_for};
use lilacpass_control::{
    Event,
    event::{CallFailure, CallId, FailureKind, ReadRecord, Stream},
};
use lilacpass_core::{
    Verdict,
    ids::{DataCentreId, InstanceId, Offset},
};
use lilacpass_daemon::{
    control,
    platform::{AppendOrder, Platform, PlatformOptions, remote},
};
use lilacpass_records::codec;
use lilacpass_schema::v1::{
    self,
    log_server::{Log, LogServer},
};
use tokio::net::TcpListener;
use tonic::{Request, Response, Status, transport::server::TcpIncoming};

/// What the fake log service does with the next calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Mode {
    #[default]
    Up,
    Down,
    Refusing,
    /// Appends, then never answers.
    AnswerLost,
}

#[derive(Clone, Default)]
struct FakeLog {
    state: Arc<Mutex<LogState>>,
}

#[derive(Default)]
struct LogState {
    mode: Mode,
    records: Vec<Vec<u8>>,
    callers: Vec<String>,
    oldest: usize,
}

const CONFIG: &str = "cell/config";

impl FakeLog {
    async fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let server = tonic::transport::Server::builder()
            .add_service(LogServer::new(self.clone()))
            .serve_with_incoming(TcpIncoming::from(listener));
        tokio::spawn(server);
        address
    }

    fn set(&self, mode: Mode) {
        self.state.lock().expect("lock").mode = mode;
    }
}

#[tonic::async_trait]
impl Log for FakeLog {
    async fn append(
        &self,
        request: Request<v1::AppendRequest>,
    ) -> Result<Response<v1::AppendAnswer>, Status> {
        let caller = request.metadata().get(remote::INSTANCE_METADATA).cloned();
        let answer = {
            let mut state = self.state.lock().expect("lock");
            let caller = caller.and_then(|name| name.to_str().ok().map(str::to_owned));
            state.callers.extend(caller);
            match state.mode {
                Mode::Up | Mode::AnswerLost => {
                    let first_offset = state.records.len() as u64;
                    state.records.extend(request.into_inner().records);
                    (state.mode == Mode::Up).then_some(Ok(v1::AppendAnswer { first_offset }))
                }
                Mode::Down => Some(Err(Status::unavailable("down"))),
                Mode::Refusing => Some(Err(Status::resource_exhausted("too many appends"))),
            }
        };
        match answer {
            Some(answer) => answer.map(Response::new),
            None => std::future::pending().await,
        }
    }

    async fn read(
        &self,
        request: Request<v1::ReadRequest>,
    ) -> Result<Response<v1::ReadAnswer>, Status> {
        let request = request.into_inner();
        tokio::time::sleep(Duration::from_millis(20)).await;
        let state = self.state.lock().expect("lock");
        if state.mode == Mode::Down {
            return Err(Status::unavailable("down"));
        }
        let records = if request.stream == CONFIG { &state.records[..] } else { &[] };
        let first = (request.from_offset as usize).max(state.oldest).min(records.len());
        Ok(Response::new(v1::ReadAnswer {
            first_offset: first as u64,
            records: records[first..].to_vec(),
            tail_offset: records.len() as u64,
            oldest_offset: state.oldest as u64,
        }))
    }
}

/// A platform adapter; tells all events that it makes.
fn start(log_addresses: Vec<SocketAddr>) -> (Platform, mpsc::Receiver<Event>) {
    let options = PlatformOptions {
        me: InstanceId::new("entry-1"),
        data_centre: DataCentreId::new("hal-a"),
        list_addresses: vec![common::closed_address()],
        log_addresses,
        call_timeout: Duration::from_secs(2),
        list_interval: Duration::from_secs(60),
        stream_prefix: "cell".to_owned(),
        link: links(),
    };
    let (sink, queue) = control::queue();
    let platform = Platform::start(&options, &sink);
    let (sender, events) = mpsc::channel();
    std::thread::spawn(move || {
        while let Some(event) = queue.next(common::PATIENCE) {
            if sender.send(event).is_err() {
                return;
            }
        }
    });
    (platform, events)
}

fn append(platform: &Platform, call: u64, record_id: &str) {
    let audit = v1::record::Body::Audit(v1::AuditEntry::default());
    let record_id = record_id.to_owned();
    let record = v1::Record { record_id, body: Some(audit), ..v1::Record::default() };
    platform.append(Stream::Config, AppendOrder { call: CallId(call), records: vec![record] });
}

async fn appended(events: mpsc::Receiver<Event>) -> Result<Offset, CallFailure> {
    match wait_for(events, |event| matches!(event, Event::Appended { .. })).await.0 {
        Event::Appended { result, .. } => result,
        other => panic!("{other:?}"),
    }
}

fn config_record(event: &Event) -> bool {
    matches!(event, Event::Read { stream: Stream::Config, records, .. } if !records.is_empty())
}

fn ids(event: Event) -> Vec<(u64, String)> {
    let Event::Read { records, .. } = event else { panic!("{event:?}") };
    let id = |record| match record {
        ReadRecord::Good(record) => record.record_id,
        ReadRecord::Bad(_) => "bad".to_owned(),
    };
    records.into_iter().map(|(offset, record)| (offset.0, id(record))).collect()
}

#[tokio::test]
async fn an_appended_record_is_read_back_with_its_offset_and_date() {
    let log = FakeLog::default();
    let (platform, events) = start(vec![log.start().await]);
    append(&platform, 1, "r1");
    let (read, events) = wait_for(events, config_record).await;
    let Event::Read { ref records, .. } = read else { panic!("{read:?}") };
    let ReadRecord::Good(record) = &records[0].1 else { panic!("{records:?}") };
    assert!(record.written_unix_ms > 0);
    assert_eq!(ids(read), [(0, "r1".to_owned())]);
    append(&platform, 2, "r2");
    assert_eq!(appended(events).await, Ok(Offset(1)));
    let callers = log.state.lock().expect("lock").callers.clone();
    assert_eq!(callers, ["entry-1", "entry-1"]);
}

#[tokio::test]
async fn an_append_over_the_rate_is_not_run() {
    let log = FakeLog::default();
    log.set(Mode::Refusing);
    let (platform, events) = start(vec![log.start().await]);
    append(&platform, 1, "r1");
    let failure = appended(events).await.expect_err("refused");
    assert_eq!((failure.kind, failure.verdict), (FailureKind::Refused, Verdict::NotRun));
}

/// The log service takes a record and its answer is lost. Whoever took that for "not appended"
/// would append it again, and a sweep could be accepted twice.
#[tokio::test]
async fn an_append_whose_answer_is_lost_may_have_run() {
    let log = FakeLog::default();
    log.set(Mode::AnswerLost);
    let (platform, events) = start(vec![log.start().await]);
    append(&platform, 1, "r1");
    let failure = appended(events).await.expect_err("no answer");
    assert_eq!((failure.kind, failure.verdict), (FailureKind::Timeout, Verdict::MayHaveRun));
    assert_eq!(log.state.lock().expect("lock").records.len(), 1);
}

/// A status that says "unavailable" does not say whether the record was written before.
#[tokio::test]
async fn an_append_that_finds_the_log_down_may_have_run() {
    let log = FakeLog::default();
    log.set(Mode::Down);
    let (platform, events) = start(vec![log.start().await]);
    append(&platform, 1, "r1");
    let failure = appended(events).await.expect_err("down");
    assert_eq!(failure.verdict, Verdict::MayHaveRun);
}

#[tokio::test]
async fn an_append_without_connection_is_not_run() {
    let (platform, events) = start(vec![common::closed_address()]);
    append(&platform, 1, "r1");
    let failure = appended(events).await.expect_err("nobody listens");
    assert_eq!((failure.kind, failure.verdict), (FailureKind::Connect, Verdict::NotRun));
}

#[tokio::test]
async fn a_second_address_takes_over_where_the_first_is_dead() {
    let log = FakeLog::default();
    let (platform, events) = start(vec![common::closed_address(), log.start().await]);
    append(&platform, 1, "r1");
    assert_eq!(appended(events).await, Ok(Offset(0)));
}

/// The log service is down for a while: readers say so, and go on where they were when it is
/// back. Records that don't decode come through as bad, in their place, and hold nothing up.
#[tokio::test]
async fn reading_goes_on_after_an_outage_and_past_a_bad_record() {
    let log = FakeLog::default();
    log.set(Mode::Down);
    let (_platform, events) = start(vec![log.start().await]);
    let failed = |event: &Event| matches!(event, Event::ReadFailed { stream: Stream::Config });
    let (_, events) = wait_for(events, failed).await;
    {
        let mut state = log.state.lock().expect("lock");
        let audit = v1::record::Body::Audit(v1::AuditEntry::default());
        let record_id = "r1".to_owned();
        let good = v1::Record { record_id, body: Some(audit), ..v1::Record::default() };
        let good = codec::encode(&good);
        state.records = vec![good.clone(), b"foreign".to_vec(), good];
        // The first record is no longer kept.
        state.oldest = 1;
        state.mode = Mode::Up;
    }
    let (read, _) = wait_for(events, config_record).await;
    let Event::Read { oldest, tail, .. } = read else { panic!("{read:?}") };
    assert_eq!((oldest, tail), (Offset(1), Offset(3)));
    assert_eq!(ids(read), [(1, "bad".to_owned()), (2, "r1".to_owned())]);
}
