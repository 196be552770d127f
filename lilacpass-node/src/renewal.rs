//! Renews the leader record on a thread of its own.
//!
//! Load pattern: hundreds of calls fail at once, or as many responses arrive, and the thread that does all other work
//! is busy for some tenths of a second. The followers look for the renewals in the store to tell a leader that is busy
//! from one that has failed, so a renewal must not wait until that work is done.
//!
//! A leader whose event loop no longer runs must be replaced. So the event loop reports its progress, and renewals end
//! some time after the last report.

use std::{
    io,
    rc::Rc,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use lilacpass_lead::{Event, event::Record};
use lilacpass_platform::{
    client::Client,
    store::{self, AppendCondition, AppendOutcome, Store, Writer},
};
use lilacpass_schema::v1;
use tokio::{
    runtime,
    sync::mpsc,
    task::LocalSet,
    time::{self, Instant},
};

use crate::{
    append::{self, AppendError, AttemptError},
    clock,
    leader_handle::Message,
    node::Node,
    takeover,
};

/// Interval between renewals of the leader record. Followers that cannot reach a leader wait about 0.3 s for a renewal,
/// and longer if the store is slow.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(200);
/// Renewals end this long after the last progress of the event loop, in milliseconds. A loop that is merely behind
/// handles a tick at least every second.
const MAX_STALL_MS: u64 = 2_000;
/// Stack size of the thread. Its futures are small.
const STACK_BYTES: usize = 256 * 1_024;

/// What the event loop shares with the thread.
#[derive(Debug)]
pub struct RenewalState {
    /// When the event loop last made progress, on the steady clock.
    progress_ms: AtomicU64,
    /// The record as of the next renewal.
    record: Mutex<v1::LeadRecord>,
}

impl RenewalState {
    /// The state of a leader that has just taken over.
    pub fn new(record: v1::LeadRecord, now_ms: u64) -> Arc<Self> {
        Arc::new(Self { progress_ms: AtomicU64::new(now_ms), record: Mutex::new(record) })
    }

    /// Records progress of the event loop.
    pub fn record_progress(&self, now_ms: u64) {
        self.progress_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Whether the event loop has made progress recently.
    pub fn is_progressing(&self, now_ms: u64) -> bool {
        now_ms < self.progress_ms.load(Ordering::Relaxed) + MAX_STALL_MS
    }

    /// Changes the record from the next renewal on.
    pub fn update_record(&self, update: impl FnOnce(&mut v1::LeadRecord)) {
        update(&mut self.record.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// The record of a renewal.
    fn encode(&self, renewal: u64) -> Record {
        let mut record = self.record.lock().unwrap_or_else(PoisonError::into_inner).clone();
        record.renewal = renewal;
        takeover::encode_lead_record(&record)
    }
}

/// What the thread reports to the event loop.
#[derive(Debug)]
enum Report {
    /// The outcome of one attempt to append a renewal, and how long it took.
    Attempt {
        writer: Writer,
        bytes: usize,
        result: Result<AppendOutcome, AttemptError>,
        took: Duration,
    },
    /// A renewal that was first sent at this time on the steady clock is stored.
    Renewed { sent_ms: u64 },
    /// Another instance has taken over.
    Deposed,
}

/// The renewals of one leadership.
struct Renewals {
    store: Store,
    state: Arc<RenewalState>,
    epoch: u64,
    first_sequence: u64,
    reports: mpsc::UnboundedSender<Report>,
}

/// Starts to renew the leader record, until the leader loop has ended.
pub fn start(
    node: &Rc<Node>,
    state: Arc<RenewalState>,
    epoch: u64,
    first_sequence: u64,
    messages: mpsc::UnboundedSender<Message>,
) -> io::Result<()> {
    let (reports, received) = mpsc::unbounded_channel();
    let store_address = node.settings.store_address.clone();
    thread::Builder::new().name("renewal".to_owned()).stack_size(STACK_BYTES).spawn(move || {
        let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(err) => {
                log::error!(error:% = err; "runtime for renewals cannot be started");
                return;
            }
        };
        // The client is not shared between threads, so the renewals have connections of their own.
        let store = Store::new(Client::default(), store_address);
        let renewals = Renewals { store, state, epoch, first_sequence, reports };
        LocalSet::new().block_on(&runtime, renewals.run());
    })?;
    tokio::task::spawn_local(forward_reports(node.clone(), received, messages));
    Ok(())
}

/// Passes the reports on to the event loop until that ends. The thread ends once its reports are no longer received.
async fn forward_reports(
    node: Rc<Node>,
    mut reports: mpsc::UnboundedReceiver<Report>,
    messages: mpsc::UnboundedSender<Message>,
) {
    loop {
        let report = tokio::select! {
            () = messages.closed() => return,
            report = reports.recv() => report,
        };
        let message = match report {
            None => return,
            Some(Report::Attempt { writer, bytes, result, took }) => {
                append::record_attempt(&node, writer, bytes, &result, took);
                continue;
            }
            Some(Report::Renewed { sent_ms }) => {
                Message::Event(Event::LeadershipConfirmed { sent_ms })
            }
            Some(Report::Deposed) => Message::Deposed,
        };
        if messages.send(message).is_err() {
            return;
        }
    }
}

impl Renewals {
    async fn run(self) {
        let partition = takeover::lead_partition();
        // The first renewal announces the new leader, and is written without delay.
        let mut renewal = 0;
        let mut latency = Duration::ZERO;
        while !self.reports.is_closed() {
            let sent_ms = clock::now().steady_ms;
            if !self.state.is_progressing(sent_ms) {
                time::sleep(RENEWAL_INTERVAL).await;
                continue;
            }
            let record = self.state.encode(renewal);
            let Ok(records) = store::encode_records(&[record]) else { return };
            let writer = Writer { epoch: self.epoch, sequence: self.first_sequence + renewal };
            let condition = AppendCondition { expected_end: None, writer: Some(writer) };
            let send = || async {
                let sent = Instant::now();
                let result = self
                    .store
                    .append(&partition, condition, &records, append::ATTEMPT_TIMEOUT)
                    .await;
                let took = sent.elapsed();
                let attempt = result.as_ref().copied().map_err(AttemptError::from);
                let bytes = records.len();
                let report = Report::Attempt { writer, bytes, result: attempt, took };
                // The event loop may have ended.
                let _stopped = self.reports.send(report);
                result
            };
            let started = Instant::now();
            let settled = append::send_until_settled(send, latency, Duration::ZERO);
            let settled = tokio::select! {
                settled = settled => settled,
                () = self.reports.closed() => return,
            };
            match settled {
                Ok(()) => {
                    latency = append::smoothed_latency(latency, started.elapsed());
                    renewal += 1;
                    let _stopped = self.reports.send(Report::Renewed { sent_ms });
                }
                Err(AppendError::Deposed) => {
                    let _stopped = self.reports.send(Report::Deposed);
                    return;
                }
                Err(AppendError::NotStored | AppendError::Rejected) => {}
            }
            time::sleep(RENEWAL_INTERVAL).await;
        }
    }
}
