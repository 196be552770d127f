//! Encoding of jobs as records of a keyed log. Each job has one record for its plan, which is written once, and one
//! for its state.

use lilacpass_schema::v1;
use prost::Message;

use crate::{
    crashes::{Crash, Crashes},
    end::Suspicion,
    error::{Error, Result},
    failure::{Cause, Failure},
    ids::{JobKey, StepName, TaskName, WorkerName},
    job::{Job, Outcome},
    task::{Run, RunHost, Task},
};

const PLAN_PREFIX: char = 'p';
const STATE_PREFIX: char = 's';
/// Maximum length of the state of a job. The store accepts records of up to 262,144 bytes, including the key.
const MAX_STATE_BYTES: usize = 262_000;
/// Maximum length of the tasks of a job, with all that is never left out, up to which more runs are assigned. The ends
/// of runs, and crashes that are known later, add some bytes to tasks that have no run any more. Without the names of
/// data centres, which are left out last, the state is shorter by more than that.
pub(crate) const MAX_ASSIGNED_STATE_BYTES: usize = 256_000;
/// Maximum length of the numbers of occurrence, step and index and of `done` in an encoded task.
const TASK_NAME_LEN: usize = 10;
/// Length of an assigned run with its task, if the names of its worker and data centre are not unusually long.
pub(crate) const USUAL_RUN_LEN: usize = 120;
/// Minimum length that is assumed for a run. More than what its end adds to its task.
const MIN_RUN_LEN: usize = 20;

/// The parsed key of a record of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Key {
    /// Key of the plan of a job.
    Plan(JobKey),
    /// Key of the state of a job.
    State(JobKey),
}

/// Returns the key of the plan of a job.
pub fn plan_key(job: JobKey) -> String {
    format!("{PLAN_PREFIX}{job}")
}

/// Returns the key of the state of a job.
pub fn state_key(job: JobKey) -> String {
    format!("{STATE_PREFIX}{job}")
}

/// Parses the key of a record. Returns `None` if the record does not belong to a job.
pub fn parse_key(key: &str) -> Option<Key> {
    let job = key.get(1..)?.parse().ok()?;
    match key.chars().next()? {
        PLAN_PREFIX => Some(Key::Plan(job)),
        STATE_PREFIX => Some(Key::State(job)),
        _ => None,
    }
}

/// Encodes the plan of a job.
pub fn encode_plan(job: &Job) -> Vec<u8> {
    v1::PlanRecord {
        plan: Some(job.plan.clone()),
        queue: Some(job.queue.clone()),
        accepted_ms: job.accepted_ms,
        account: job.account.clone(),
        beyond_share: job.is_beyond_share,
    }
    .encode_to_vec()
}

/// Encodes the state of a job. A state that would be too long for the store loses its long checkpoints, then the
/// addresses of workers, then the names of crashed workers, and then the data centres of workers, until it fits.
pub fn encode_state(job: &Job) -> Vec<u8> {
    encode_state_counted(job).0
}

/// As [`encode_state`], also returns the number of tasks that were encoded. The others have not changed since they were.
pub fn encode_state_counted(job: &Job) -> (Vec<u8>, usize) {
    match encode_open_state(job) {
        Some((bytes, encoded)) if bytes.len() <= MAX_STATE_BYTES => (bytes, encoded),
        Some(_) | None => (encode_any_state(job), job.tasks().count()),
    }
}

/// Encodes the state of an open job from its encoded tasks, of which only those that have changed are encoded anew.
/// Returns it with their number, or `None` if the job is not open.
fn encode_open_state(job: &Job) -> Option<(Vec<u8>, usize)> {
    if job.outcome != Outcome::Open {
        return None;
    }
    let mut bytes = Vec::new();
    let mut encoded = 0;
    for name in job.step_names() {
        let step = job.step(name)?;
        for (index, task) in (0..).zip(step.tasks()) {
            if !task.is_untouched() {
                // The encoding of a repeated field is that of its entries, one after the other.
                bytes.extend_from_slice(step.encoded(index, |task| {
                    encoded += 1;
                    let tasks = vec![encode_task(name.task(index), task)];
                    v1::StateRecord { tasks, ..Default::default() }.encode_to_vec()
                })?);
            }
        }
    }
    let rest = v1::StateRecord { not_begun: !job.has_started, ..Default::default() };
    bytes.extend(rest.encode_to_vec());
    Some((bytes, encoded))
}

fn encode_any_state(job: &Job) -> Vec<u8> {
    let mut tasks = Vec::new();
    for step in job.step_names() {
        for name in job.task_names(step) {
            let Some(task) = job.task(name) else { continue };
            if !task.is_untouched() {
                tasks.push(encode_task(name, task));
            }
        }
    }
    let outcome = match job.outcome {
        Outcome::Open => 0,
        Outcome::Completed => 1,
        Outcome::Failed => 2,
        Outcome::Cancelled => 3,
    };
    let failure = job.failure.as_ref().map(encode_failure);
    let (ended_ms, not_begun) = (job.ended_ms, !job.has_started);
    let mut record = v1::StateRecord { outcome, tasks, ended_ms, not_begun, failure };
    let bytes = record.encode_to_vec();
    if bytes.len() <= MAX_STATE_BYTES {
        return bytes;
    }
    drop_long_checkpoints(&mut record);
    if record.encoded_len() > MAX_STATE_BYTES {
        drop_addresses(&mut record);
    }
    if record.encoded_len() > MAX_STATE_BYTES {
        drop_crashed_workers(&mut record);
    }
    if record.encoded_len() > MAX_STATE_BYTES {
        drop_data_centres(&mut record);
    }
    record.encode_to_vec()
}

/// Clears the checkpoints that are longer than an equal share of the available bytes. The store refuses a record that
/// is too long, and the append that contains it would be retried forever and block all later appends.
fn drop_long_checkpoints(record: &mut v1::StateRecord) {
    let checkpoint_bytes: usize = record.tasks.iter().map(|task| task.checkpoint.len()).sum();
    let other_bytes = record.encoded_len() - checkpoint_bytes;
    let max_bytes = MAX_STATE_BYTES.saturating_sub(other_bytes) / record.tasks.len().max(1);
    for task in &mut record.tasks {
        if task.checkpoint.len() > max_bytes {
            task.checkpoint.clear();
        }
    }
}

/// Clears the names of crashed workers, but keeps the crashes themselves.
fn drop_crashed_workers(record: &mut v1::StateRecord) {
    let crashes = record.tasks.iter_mut().filter_map(|task| task.crashes.as_mut());
    crashes.flat_map(|crashes| &mut crashes.unexplained).for_each(|crash| {
        crash.worker.clear();
        crash.worker_started_ms = None;
    });
}

/// Clears the addresses of workers. A new leader can't call a worker without an address until it is registered, and
/// waits for the leases on it instead.
fn drop_addresses(record: &mut v1::StateRecord) {
    let runs = record.tasks.iter_mut().flat_map(|task| &mut task.runs);
    runs.for_each(|run| run.address.clear());
}

/// Clears the data centres of workers. A new leader uses them to tell lost data centres from lost workers.
fn drop_data_centres(record: &mut v1::StateRecord) {
    let runs = record.tasks.iter_mut().flat_map(|task| &mut task.runs);
    runs.for_each(|run| run.data_centre.clear());
}

/// Returns at least the length of an encoded task without checkpoint, addresses and names of crashed workers.
pub(crate) fn min_task_len(task: &Task) -> usize {
    if task.is_untouched() {
        return 0;
    }
    let numbers = [task.last_run, task.failed, task.failed_run];
    let numbers: usize = numbers.into_iter().map(number_len).sum();
    let runs = task.runs.iter();
    let runs: usize =
        runs.map(|run| run_len(run.number, &run.host.worker, &run.host.data_centre)).sum();
    message_len(TASK_NAME_LEN + numbers + crashes_len(&task.crashes) + runs)
}

/// Returns at least by how much the assignment of a run makes the state of its job longer.
pub(crate) fn max_assignment_len(number: u32, worker: &WorkerName, data_centre: &str) -> usize {
    let task_len = message_len(TASK_NAME_LEN + number_len(number) + 2 * number_len(0));
    task_len + run_len(number, worker, data_centre)
}

/// Returns how many tasks of a job may run at the same time on workers whose names are as long as this one's, beside
/// `other_tasks` of the job that are done.
pub fn max_running_tasks(worker: &WorkerName, data_centre: &str, other_tasks: u64) -> u64 {
    let done_task_len = message_len(TASK_NAME_LEN + 3 * number_len(0));
    let available_bytes =
        MAX_ASSIGNED_STATE_BYTES.saturating_sub(other_tasks as usize * done_task_len);
    (available_bytes / max_assignment_len(1, worker, data_centre)) as u64
}

fn run_len(number: u32, worker: &WorkerName, data_centre: &str) -> usize {
    let started_len = worker.started_ms().map_or(0, |ms| 1 + varint_len(ms));
    let names_len = message_len(worker.id().len()) + message_len(data_centre.len());
    message_len(number_len(number) + names_len + started_len).max(MIN_RUN_LEN)
}

fn crashes_len(crashes: &Crashes) -> usize {
    if *crashes == Crashes::default() {
        return 0;
    }
    let crash_len = message_len(number_len(v1::CrashSuspicion::Only as u32));
    let unexplained_len = crashes.unexplained.len() * crash_len;
    message_len(number_len(crashes.known) + number_len(crashes.last_run) + unexplained_len)
}

/// Length of a field with a number.
fn number_len(number: u32) -> usize {
    1 + varint_len(u64::from(number))
}

/// Length of a field with a message or a text of `len` bytes.
fn message_len(len: usize) -> usize {
    1 + varint_len(len as u64) + len
}

fn varint_len(value: u64) -> usize {
    prost::encoding::encoded_len_varint(value)
}

fn encode_crashes(crashes: &Crashes) -> v1::CrashesRecord {
    let unexplained = crashes.unexplained.iter().map(encode_crash).collect();
    v1::CrashesRecord { known: crashes.known, unexplained, last_run: crashes.last_run }
}

fn encode_crash(crash: &Crash) -> v1::CrashRecord {
    let suspicion = match crash.suspicion {
        Suspicion::Cleared | Suspicion::Present => v1::CrashSuspicion::Present,
        Suspicion::Suspect => v1::CrashSuspicion::Suspect,
        Suspicion::Only => v1::CrashSuspicion::Only,
    };
    v1::CrashRecord {
        worker: crash.worker.id().to_owned(),
        suspicion: suspicion.into(),
        worker_started_ms: crash.worker.started_ms(),
    }
}

fn decode_crashes(record: &v1::CrashesRecord) -> Crashes {
    let unexplained = record.unexplained.iter().map(decode_crash).collect();
    Crashes { known: record.known, unexplained, last_run: record.last_run }
}

fn decode_crash(record: &v1::CrashRecord) -> Crash {
    let suspicion = match record.suspicion() {
        v1::CrashSuspicion::Present => Suspicion::Present,
        v1::CrashSuspicion::Suspect => Suspicion::Suspect,
        v1::CrashSuspicion::Only => Suspicion::Only,
    };
    Crash { worker: WorkerName::new(&record.worker, record.worker_started_ms), suspicion }
}

fn encode_failure(failure: &Failure) -> v1::FailureRecord {
    let cause = match failure.cause {
        Cause::Attempts => v1::FailureCause::FailureAttempts,
        Cause::Crashes => v1::FailureCause::FailureCrashes,
    };
    let TaskName { step: StepName { occurrence, step, .. }, index } = failure.task;
    v1::FailureRecord { cause: cause.into(), occurrence, step, index, count: failure.count }
}

fn decode_failure(key: JobKey, record: &v1::FailureRecord) -> Failure {
    let cause = match record.cause() {
        v1::FailureCause::FailureAttempts => Cause::Attempts,
        v1::FailureCause::FailureCrashes => Cause::Crashes,
    };
    let step = StepName { job: key, occurrence: record.occurrence, step: record.step };
    Failure { task: step.task(record.index), cause, count: record.count }
}

fn encode_task(name: TaskName, task: &Task) -> v1::TaskRecord {
    v1::TaskRecord {
        occurrence: name.step.occurrence,
        step: name.step.step,
        index: name.index,
        done: task.done,
        last_run: task.last_run,
        failed: task.failed,
        failed_run: task.failed_run,
        crashes: (task.crashes != Crashes::default()).then(|| encode_crashes(&task.crashes)),
        checkpoint: task.checkpoint.clone(),
        runs: task
            .runs
            .iter()
            .map(|run| v1::RunRecord {
                run: run.number,
                worker: run.host.worker.id().to_owned(),
                data_centre: run.host.data_centre.to_string(),
                worker_started_ms: run.host.worker.started_ms(),
                address: run.host.address.to_string(),
            })
            .collect(),
    }
}

/// Decodes a job from its two records. A job without a state record has its initial state.
pub fn decode(key: JobKey, plan: &[u8], state: Option<&[u8]>) -> Result<Job> {
    let decode_error = |err: prost::DecodeError| Error::Record(format!("{key}: {err}"));
    let plan = v1::PlanRecord::decode(plan).map_err(decode_error)?;
    let work_plan = plan.plan.as_ref().ok_or_else(|| Error::Record(format!("{key}: no plan")))?;
    crate::plan::check(work_plan)?;
    let mut job = Job::new(key, plan);
    let Some(state) = state else { return Ok(job) };
    let state = v1::StateRecord::decode(state).map_err(decode_error)?;
    job.outcome = match state.outcome {
        0 => Outcome::Open,
        1 => Outcome::Completed,
        2 => Outcome::Failed,
        3 => Outcome::Cancelled,
        other => return Err(Error::Record(format!("{key}: outcome {other}"))),
    };
    job.ended_ms = state.ended_ms;
    job.failure = state.failure.as_ref().map(|failure| decode_failure(key, failure));
    for record in state.tasks {
        let step = StepName { job: key, occurrence: record.occurrence, step: record.step };
        let name = step.task(record.index);
        job.change_task(name, |task| *task = decode_task(record))
            .ok_or_else(|| Error::Record(format!("{name} is not in the plan of its job")))?;
    }
    if job.outcome != Outcome::Open {
        job.drop_encoded();
    }
    // Records of earlier versions lack `not_begun`; in these an assigned run counts as started.
    let was_assigned = job.tasks().any(|task| task.done || task.last_run > 0);
    job.has_started = was_assigned && !state.not_begun;
    Ok(job)
}

fn decode_task(record: v1::TaskRecord) -> Task {
    Task {
        done: record.done,
        last_run: record.last_run,
        failed: record.failed,
        failed_run: record.failed_run,
        crashes: record.crashes.as_ref().map(decode_crashes).unwrap_or_default(),
        checkpoint: record.checkpoint,
        runs: record
            .runs
            .iter()
            .map(|run| Run {
                number: run.run,
                host: RunHost::new(
                    WorkerName::new(&run.worker, run.worker_started_ms),
                    &run.data_centre,
                    &run.address,
                ),
            })
            .collect(),
    }
}
