//! Taking over: reads all jobs, then closes the log to the former leader.

use std::{collections::HashMap, rc::Rc, time::Duration};

use lilacpass_jobs::{Job, JobKey, record};
use lilacpass_lead::event::Record;
use lilacpass_platform::store::{
    self, AppendCondition, AppendOutcome, Partition, ReadOutcome, StoredRecord, Writer,
};
use lilacpass_schema::v1;
use prost::Message;
use rand::RngExt;
use tokio::time::{self, Instant};

use crate::node::Node;

/// Key of the record that names the leader.
pub const LEAD_KEY: &str = "lead";
/// How long the store may take for one call of a take-over. Its slowest answers take 0.6 s.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long calls of a take-over may go on failing, without an answer between, before it is given up.
/// Meanwhile this instance does not notice that another has taken over.
const MAX_FAILURE_TIME: Duration = Duration::from_secs(2);
/// Pause before a call that failed is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// What a take-over has won.
#[derive(Debug)]
pub struct NewLeadership {
    /// The new epoch.
    pub epoch: u64,
    /// Number of the append that closed the log; those of the leader follow it. The first renewal in the
    /// partition of the leader has the same number.
    pub sequence: u64,
    /// All jobs.
    pub jobs: Vec<Job>,
}

/// The partition that holds the jobs.
pub fn jobs_partition() -> Partition {
    Partition::own_topic("jobs", 0)
}

/// The partition in which leaders make themselves known.
pub fn lead_partition() -> Partition {
    Partition::own_topic("lead", 0)
}

/// The record by which this instance makes itself known as the leader.
pub fn lead_record(node: &Node, epoch: u64, renewal: u64) -> Record {
    let lead = v1::LeadRecord {
        epoch,
        instance: node.settings.instance.clone(),
        address: node.peer_address(),
        renewal,
    };
    Record { key: LEAD_KEY.to_owned(), value: lead.encode_to_vec() }
}

/// All jobs as they were read, up to a place in the log.
#[derive(Debug)]
pub struct Snapshot {
    records: JobRecords,
    end: u64,
    start: Instant,
}

/// Reads all jobs. None where the store does not let us.
///
/// Changes nothing, so it goes on beside the announcement of a take-over: a slow store takes 0.7 s for that,
/// and as long again for this.
pub async fn read_snapshot(node: &Rc<Node>) -> Option<Snapshot> {
    let start = Instant::now();
    let mut records = JobRecords::default();
    let mut retries = RetryWindow::new(start);
    let end = read_all(node, &jobs_partition(), &mut records, &mut retries).await?;
    Some(Snapshot { records, end, start })
}

/// Tries to take over with what was read. None where another was faster or the store does not let us.
pub async fn complete(node: &Rc<Node>, snapshot: Snapshot) -> Option<NewLeadership> {
    let Snapshot { mut records, mut end, start } = snapshot;
    let partition = jobs_partition();
    let sequence = random_first_sequence();
    let mut retries = RetryWindow::new(Instant::now());
    loop {
        // Offsets never go back, so an epoch made of the end is above all earlier ones.
        let epoch = end + 1;
        let writer = Writer { epoch, sequence };
        match append_leader_record(node, &partition, end, writer, &mut retries).await? {
            AppendOutcome::Stored { .. } => {
                let took_ms = start.elapsed().as_millis() as u64;
                let jobs = records.into_jobs();
                log::info!(epoch, jobs = jobs.len(), took_ms; "took over");
                return Some(NewLeadership { epoch, sequence, jobs });
            }
            AppendOutcome::Elsewhere { .. } => {}
            AppendOutcome::Fenced | AppendOutcome::OutOfSequence => return None,
        }
        end = read_tail(node, &partition, &mut records, end, &mut retries).await?;
        if records.other_leader_seen {
            log::info!("another instance took over first");
            return None;
        }
    }
}

/// A number for the first append under a new epoch, at random.
///
/// Two instances that read to the same end choose the same epoch. If their first appends had the
/// same number too, the store would take the second for a repetition of the first and tell both
/// that they had won: both would lead, and start each task twice. With unlike numbers the second
/// is refused.
fn random_first_sequence() -> u64 {
    const MAX: u64 = 1 << 40;
    rand::rng().random_range(0..MAX)
}

/// Appends the record after which the store refuses all of the former leader. Only if the partition
/// still ends where we have read to, so that nothing of its records is missed.
async fn append_leader_record(
    node: &Rc<Node>,
    partition: &Partition,
    end: u64,
    writer: Writer,
    retries: &mut RetryWindow,
) -> Option<AppendOutcome> {
    let condition = AppendCondition { expected_end: Some(end), writer: Some(writer) };
    let encoded = store::encode_records(&[lead_record(node, writer.epoch, 0)]).ok()?;
    loop {
        match node.store.append(partition, condition, &encoded, CALL_TIMEOUT).await {
            Ok(result) => {
                retries.record_success();
                return Some(result);
            }
            Err(err) => retries.wait_before_retry("take-over", &err).await?,
        }
    }
}

/// Calls that have failed since the last that was last_response.
///
/// Counted from the beginning of a take-over, a single refusal late in a long reading threw away all that was
/// read. An instance with a thin link, which needs longer than the patience for it, never got to its end.
struct RetryWindow {
    last_response: Instant,
    failing_since: Option<Instant>,
}

impl RetryWindow {
    fn new(started: Instant) -> Self {
        Self { last_response: started, failing_since: None }
    }

    /// A call was last_response.
    fn record_success(&mut self) {
        *self = Self::new(Instant::now());
    }

    /// A call has failed: waits before the next. None where they have been failing for too long.
    async fn wait_before_retry(
        &mut self,
        what: &str,
        err: &lilacpass_platform::Error,
    ) -> Option<()> {
        log::info!(what, error:% = err; "store call of a take-over failed");
        let now = Instant::now();
        // Of a long answer that broke off, what arrived before counts for no failure.
        let earliest = now.checked_sub(CALL_TIMEOUT).unwrap_or(self.last_response);
        let failing_since = *self.failing_since.get_or_insert(earliest.max(self.last_response));
        if now - failing_since > MAX_FAILURE_TIME {
            return None;
        }
        time::sleep(RETRY_PAUSE).await;
        Some(())
    }
}

/// Records of jobs as they are read.
#[derive(Debug, Default)]
struct JobRecords {
    plans: HashMap<JobKey, (u64, Vec<u8>)>,
    states: HashMap<JobKey, (u64, Vec<u8>)>,
    reading_tail: bool,
    other_leader_seen: bool,
}

impl JobRecords {
    /// Keeps the newest record of each key.
    fn insert(&mut self, placed: StoredRecord) {
        let StoredRecord { offset, record: read } = placed;
        if read.key == LEAD_KEY {
            self.other_leader_seen |= self.reading_tail;
            return;
        }
        let (map, key) = match record::parse_key(&read.key) {
            Some(record::Key::Plan(key)) => (&mut self.plans, key),
            Some(record::Key::State(key)) => (&mut self.states, key),
            None => {
                log::warn!(key = read.key.as_str(), offset; "record is passed over");
                return;
            }
        };
        let newer = map.get(&key).is_none_or(|(known, _)| *known < offset);
        if newer {
            map.insert(key, (offset, read.value));
        }
    }

    fn into_jobs(self) -> Vec<Job> {
        let mut jobs = Vec::with_capacity(self.plans.len());
        for (key, (_, plan)) in &self.plans {
            if plan.is_empty() {
                continue;
            }
            let state = self.states.get(key).map(|(_, state)| state.as_slice());
            match record::decode(*key, plan, state) {
                Ok(job) => jobs.push(job),
                Err(err) => log::error!(job:% = key, error:% = err; "job is passed over"),
            }
        }
        jobs
    }
}

/// Reads the newest record of each key. Returns where the partition ended at the first page, since
/// pages are no snapshot: what came later is read from there on.
async fn read_all(
    node: &Rc<Node>,
    partition: &Partition,
    job_records: &mut JobRecords,
    retries: &mut RetryWindow,
) -> Option<u64> {
    let mut end = None;
    let mut after: Option<String> = None;
    loop {
        let page = match node.store.newest(partition, after.as_deref(), CALL_TIMEOUT).await {
            Ok(page) => page,
            Err(err) => {
                retries.wait_before_retry("read", &err).await?;
                continue;
            }
        };
        retries.record_success();
        end = end.or(Some(page.end));
        after = page.records.last().map(|placed| placed.record.key.clone());
        page.records.into_iter().for_each(|placed| job_records.insert(placed));
        if !page.more || after.is_none() {
            return end;
        }
    }
}

/// Reads from `from` to the end. Returns the end.
async fn read_tail(
    node: &Rc<Node>,
    partition: &Partition,
    job_records: &mut JobRecords,
    from: u64,
    retries: &mut RetryWindow,
) -> Option<u64> {
    job_records.reading_tail = true;
    let mut next = from;
    loop {
        match node.store.read(partition, next, Duration::ZERO, CALL_TIMEOUT).await {
            Ok(ReadOutcome::Records { records, end }) => {
                retries.record_success();
                let read = records.len() as u64;
                records.into_iter().for_each(|placed| job_records.insert(placed));
                next += read;
                if next >= end || read == 0 {
                    return Some(end);
                }
            }
            Ok(ReadOutcome::Gone) => next = read_all(node, partition, job_records, retries).await?,
            Err(err) => retries.wait_before_retry("tail", &err).await?,
        }
    }
}
