//! Take-over: reads all jobs, then fences the former leader off from the log.

use std::{collections::HashMap, rc::Rc, time::Duration};

use lilacpass_jobs::{Job, JobKey, record};
use lilacpass_lead::{Now, event::Record};
use lilacpass_platform::store::{
    self, AppendCondition, AppendOutcome, Partition, ReadOutcome, StoredRecord, Writer,
};
use lilacpass_schema::v1;
use prost::Message;
use rand::RngExt;
use tokio::time::{self, Instant};

use crate::{clock, former_leaders::FormerLeaders, leader_loop::startup, node::Node};

/// Key of the record that names the leader.
pub const LEAD_KEY: &str = "lead";
/// Timeout of one store call during a take-over. The store's slowest responses take 0.6 s.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long calls of a take-over may keep failing before the take-over is abandoned. Until then this instance does not
/// notice that another one has taken over.
const MAX_FAILURE_TIME: Duration = Duration::from_secs(2);
/// Pause before a failed call is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Result of a successful take-over.
#[derive(Debug)]
pub struct NewLeadership {
    /// Epoch of the new leadership.
    pub epoch: u64,
    /// Sequence number of the append that fenced the log; the leader's appends continue from it. The first renewal in
    /// the leader partition uses the same number.
    pub sequence: u64,
    /// All jobs, as read from the log.
    pub jobs: Vec<Job>,
    /// The last record of the former leader that was read, which may have been replaced since; `None` if there is none.
    pub former: Option<v1::LeadRecord>,
    /// The record with which the last leader before this one took over; `None` if there was none.
    pub last: Option<v1::LeadRecord>,
}

/// The partition that holds the jobs.
pub fn jobs_partition() -> Partition {
    Partition::own_topic("jobs", 0)
}

/// The partition that holds the leader records and the announcements of take-overs.
pub fn lead_partition() -> Partition {
    Partition::own_topic("lead", 0)
}

/// The record that announces this instance as the leader.
pub fn lead_record(node: &Node, epoch: u64, former: &FormerLeaders, now: Now) -> v1::LeadRecord {
    v1::LeadRecord {
        epoch,
        instance: node.settings.instance.clone(),
        address: node.peer_address(),
        former_leaders: former.to_records(now.steady_ms),
        names_former_leaders: true,
        ..Default::default()
    }
}

/// Encodes a leader record for the store.
pub fn encode_lead_record(lead: &v1::LeadRecord) -> Record {
    Record { key: LEAD_KEY.to_owned(), value: lead.encode_to_vec() }
}

/// All jobs up to an offset of the log.
#[derive(Debug)]
pub struct Snapshot {
    records: JobRecords,
    /// The offset: where the partition ended when the first page was read.
    end: u64,
    /// When the read started.
    start: Instant,
}

/// Reads all jobs. Returns `None` if the store keeps failing.
///
/// Reading changes nothing, so it runs concurrently with the announcement of the take-over. A slow store takes 0.7 s
/// for each of the two.
pub async fn read_snapshot(node: &Rc<Node>) -> Option<Snapshot> {
    let start = Instant::now();
    let mut records = JobRecords::default();
    let mut retries = RetryWindow::new(start);
    let end = read_all(node, &jobs_partition(), &mut records, &mut retries).await?;
    Some(Snapshot { records, end, start })
}

/// Completes a take-over from a snapshot. `former` is the newest leader record that was read. Returns `None` if another
/// instance was faster or the store keeps failing.
pub async fn complete(
    node: &Rc<Node>,
    snapshot: Snapshot,
    former: Option<v1::LeadRecord>,
) -> Option<NewLeadership> {
    let Snapshot { mut records, mut end, start } = snapshot;
    let partition = jobs_partition();
    let sequence = random_first_sequence();
    let mut retries = RetryWindow::new(Instant::now());
    loop {
        // Offsets never decrease, so an epoch derived from the end of the log is higher than all earlier ones.
        let epoch = end + 1;
        let writer = Writer { epoch, sequence };
        let last = records.last_leader();
        let now = clock::now();
        let options = startup::options(node);
        let former_leaders = FormerLeaders::new(options, last.as_ref(), former.as_ref(), now);
        let record = lead_record(node, epoch, &former_leaders, now);
        match append_leader_record(node, &partition, end, writer, record, &mut retries).await? {
            AppendOutcome::Stored { .. } => {
                let took_ms = start.elapsed().as_millis() as u64;
                let jobs = records.into_jobs();
                log::info!(epoch, jobs = jobs.len(), took_ms; "took over");
                return Some(NewLeadership { epoch, sequence, jobs, former, last });
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

/// A random sequence number for the first append under a new epoch.
///
/// Two instances that read up to the same end choose the same epoch. If their first appends also had the same sequence
/// number, the store would treat the second as a repetition of the first and confirm it to both. Both instances would
/// then lead, and start each task twice. With different numbers the second append is rejected.
fn random_first_sequence() -> u64 {
    const MAX: u64 = 1 << 40;
    rand::rng().random_range(0..MAX)
}

/// Appends the record after which the store rejects all appends of the former leader. The append succeeds only if the
/// partition still ends at `end`, so that none of the former leader's records is missed.
async fn append_leader_record(
    node: &Rc<Node>,
    partition: &Partition,
    end: u64,
    writer: Writer,
    record: v1::LeadRecord,
    retries: &mut RetryWindow,
) -> Option<AppendOutcome> {
    let condition = AppendCondition { expected_end: Some(end), writer: Some(writer) };
    let record = encode_lead_record(&record);
    let encoded = store::encode_records(&[record]).ok()?;
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

/// Tracks how long store calls have been failing without a successful one in between.
///
/// When the time was counted from the start of the take-over instead, a single failure late in a long read discarded
/// everything read so far. An instance with a thin link, which needs longer than [`MAX_FAILURE_TIME`] to read all jobs,
/// never finished.
struct RetryWindow {
    last_success: Instant,
    failing_since: Option<Instant>,
}

impl RetryWindow {
    fn new(started: Instant) -> Self {
        Self { last_success: started, failing_since: None }
    }

    /// Starts over after a successful call.
    fn record_success(&mut self) {
        *self = Self::new(Instant::now());
    }

    /// Pauses after a failed call. Returns `None` if calls have been failing for longer than [`MAX_FAILURE_TIME`].
    async fn wait_before_retry(
        &mut self,
        call: &str,
        err: &lilacpass_platform::Error,
    ) -> Option<()> {
        log::info!(what = call, error:% = err; "store call during a take-over failed");
        let now = Instant::now();
        // A long response may have been arriving until it broke off. Of the time before the first failure, no more than
        // one [`CALL_TIMEOUT`] therefore counts as time without success.
        let earliest = now.checked_sub(CALL_TIMEOUT).unwrap_or(self.last_success);
        let failing_since = *self.failing_since.get_or_insert(earliest.max(self.last_success));
        if now - failing_since > MAX_FAILURE_TIME {
            return None;
        }
        time::sleep(RETRY_PAUSE).await;
        Some(())
    }
}

/// Newest plan and newest state of each job, as their offset in the partition and their encoding.
#[derive(Debug, Default)]
struct JobRecords {
    plans: HashMap<JobKey, (u64, Vec<u8>)>,
    states: HashMap<JobKey, (u64, Vec<u8>)>,
    /// Where the partition ended when the first page was read; `None` until then. Later records were written since the
    /// read started.
    end_at_start: Option<u64>,
    /// Whether another instance has taken over since the read started.
    other_leader_seen: bool,
    /// The newest leader record, as its offset and its encoding.
    leader: Option<(u64, Vec<u8>)>,
}

impl JobRecords {
    /// Keeps the newest record of each key.
    fn insert(&mut self, stored: StoredRecord) {
        let StoredRecord { offset, record: read } = stored;
        if read.key == LEAD_KEY {
            // The record of the former leader may be read again, if the store has deleted its history meanwhile.
            self.other_leader_seen |= self.end_at_start.is_some_and(|end| offset >= end);
            if self.leader.as_ref().is_none_or(|(known, _)| *known < offset) {
                self.leader = Some((offset, read.value));
            }
            return;
        }
        let (map, key) = match record::parse_key(&read.key) {
            Some(record::Key::Plan(key)) => (&mut self.plans, key),
            Some(record::Key::State(key)) => (&mut self.states, key),
            None => {
                log::warn!(key = read.key.as_str(), offset; "ignoring a record with an unknown key");
                return;
            }
        };
        let newer = map.get(&key).is_none_or(|(known, _)| *known < offset);
        if newer {
            map.insert(key, (offset, read.value));
        }
    }

    /// The record with which the last leader took over; `None` if there was none. One that can't be decoded counts as that
    /// of an earlier version, which tells nothing.
    fn last_leader(&self) -> Option<v1::LeadRecord> {
        let (_, record) = self.leader.as_ref()?;
        Some(v1::LeadRecord::decode(record.as_slice()).unwrap_or_default())
    }

    /// Decodes the jobs, skipping deleted and undecodable ones.
    fn into_jobs(self) -> Vec<Job> {
        let mut jobs = Vec::with_capacity(self.plans.len());
        for (key, (_, plan)) in &self.plans {
            if plan.is_empty() {
                continue;
            }
            let state = self.states.get(key).map(|(_, state)| state.as_slice());
            match record::decode(*key, plan, state) {
                Ok(job) => jobs.push(job),
                Err(err) => log::error!(job:% = key, error:% = err; "ignoring an undecodable job"),
            }
        }
        jobs
    }
}

/// Reads the newest record of each key. Pages are not a consistent snapshot, so this returns where the partition ended
/// at the first page; later records are read from there.
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
        job_records.end_at_start = job_records.end_at_start.or(end);
        after = page.records.last().map(|stored| stored.record.key.clone());
        page.records.into_iter().for_each(|stored| job_records.insert(stored));
        if !page.more || after.is_none() {
            return end;
        }
    }
}

/// Reads from `from` to the end of the partition, and returns that end.
async fn read_tail(
    node: &Rc<Node>,
    partition: &Partition,
    job_records: &mut JobRecords,
    from: u64,
    retries: &mut RetryWindow,
) -> Option<u64> {
    let mut next = from;
    loop {
        match node.store.read(partition, next, Duration::ZERO, CALL_TIMEOUT).await {
            Ok(ReadOutcome::Records { records, end }) => {
                retries.record_success();
                let read = records.len() as u64;
                records.into_iter().for_each(|stored| job_records.insert(stored));
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
