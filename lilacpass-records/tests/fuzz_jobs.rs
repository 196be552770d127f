//! Random histories of jobs by several writers, against a simple oracle.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use bolero::TypeGenerator;
use common::{accepted, attempt, cancelled, ended, given_up, record, spec};
use lilacpass_core::{
    MonoTime, Verdict,
    ids::{AttemptNo, JobId, Offset, TaskId},
};
use lilacpass_records::{Folded, Job, Jobs, JobsOptions, State, jobs::AfterTask};
use lilacpass_schema::v1::{self, TaskOutcome, job_record::Body};

/// Histories tried in a plain run.
const HISTORIES: u64 = 400;
const JOBS: u8 = 12;
const MAX_STEPS: usize = 150;

/// One step of the history; `roll` says what it does, the rest are details that it may use.
#[derive(Clone, Debug, TypeGenerator)]
struct Op {
    roll: u8,
    /// Picks among the jobs that the step suits; a step with an odd `stray` among all.
    job: u8,
    stray: u8,
    detail: u8,
    outcome: u8,
    holder: u8,
    epoch: u8,
}

#[derive(Clone, Debug)]
enum Entry {
    Job(String, Box<v1::JobRecord>),
    Part(v1::JobsSnapshot),
}

/// What the oracle knows of one job; made from the records that counted alone.
#[derive(Debug, Default)]
struct Life {
    once: bool,
    open: BTreeMap<u32, (String, u64)>,
    attempts: BTreeSet<u64>,
    ends: Vec<(u64, TaskOutcome)>,
    end: Option<(Verdict, bool)>,
}

struct World {
    log: Vec<Entry>,
    /// Folds everything from the beginning.
    first: Jobs,
    /// Is replaced now and then.
    second: Jobs,
    lives: BTreeMap<JobId, Life>,
    snapshot: Option<(usize, Vec<v1::JobsSnapshot>)>,
    pending: Option<(u8, usize, Vec<v1::JobsSnapshot>)>,
}

fn options() -> JobsOptions {
    JobsOptions { max_attempts: 2, max_ended: 2, max_result_bytes: 8, ..JobsOptions::default() }
}

/// The clock of the first member; that of the second has another rate and start.
fn clock(offset: usize) -> MonoTime {
    MonoTime(offset as u64)
}

fn fold(jobs: &mut Jobs, offset: usize, entry: &Entry, now: MonoTime) -> Result<Folded, usize> {
    match entry {
        Entry::Job(id, record) => Ok(jobs.fold(Offset(offset as u64), id, record, now)),
        Entry::Part(part) => Err(jobs.fold_snapshot(part)),
    }
}

impl World {
    fn new() -> Self {
        Self {
            log: Vec::new(),
            first: Jobs::new(options()),
            second: Jobs::new(options()),
            lives: BTreeMap::new(),
            snapshot: None,
            pending: None,
        }
    }

    fn step(&mut self, op: &Op) {
        match op.roll {
            236..246 => self.take_snapshot(op.detail % 64, op.stray % 8),
            246.. => self.restart(),
            _ => {
                if let Some((id, record)) = self.entry(op) {
                    self.append(Entry::Job(id, Box::new(record)));
                }
            }
        }
        self.write_pending();
        self.check();
    }

    /// The record that a step appends, if any, with its id.
    fn entry(&self, op: &Op) -> Option<(String, v1::JobRecord)> {
        let (job, body) = match op.roll {
            0..40 => (JobId(u128::from(op.job % JOBS)), accept(op)),
            40..100 => self.attempt(op)?,
            100..204 => self.task_end(op)?,
            204..210 => (self.pick(op, |job| job.ended().is_none())?.id(), cancelled()),
            210..214 => (self.pick(op, |job| job.ended().is_none())?.id(), given_up()),
            _ => return self.again(op.detail % 32, op.stray.is_multiple_of(2)),
        };
        Some((format!("r{}", self.log.len()), record(job, body)))
    }

    /// A job that the step suits, or now and then any job.
    fn pick(&self, op: &Op, suits: impl Fn(&Job) -> bool) -> Option<&Job> {
        let any = op.stray % 16 == 1;
        let candidates: Vec<_> = self.first.iter().filter(|job| any || suits(job)).collect();
        candidates.get(usize::from(op.job) % candidates.len().max(1)).copied()
    }

    /// Mostly the attempt that is due, sometimes the one before or after it.
    fn attempt(&self, op: &Op) -> Option<(JobId, Body)> {
        let job = self.pick(op, |job| job.next_attempt().is_some())?;
        let due = job.next_attempt().or(job.attempt().map(|a| a.number)).map_or(1, |n| n.0);
        let number = match op.detail % 16 {
            0 => due + 1,
            1 => due - 1,
            _ => due,
        };
        let holder = holder_name(op.holder);
        Some((job.id(), attempt(number, job.spec().tasks, &holder, u64::from(op.epoch % 4))))
    }

    /// Mostly the end of a task that runs, told by its holder.
    fn task_end(&self, op: &Op) -> Option<(JobId, Body)> {
        let job = self.pick(op, |job| job.attempt().is_some())?;
        let active = job.attempt()?;
        let number = active.number.0 - u64::from(op.detail.is_multiple_of(16));
        let index = u32::from(op.detail / 16 % 2);
        let outcome = TaskOutcome::try_from(i32::from(op.outcome % 8)).ok()?;
        let placed = active.placement(index).filter(|_| !op.epoch.is_multiple_of(4));
        let (holder, epoch) = placed.map_or_else(
            || (holder_name(op.holder), u64::from(op.epoch / 4 % 4)),
            |placement| (placement.holder.clone(), placement.epoch),
        );
        Some((job.id(), ended(number, index, outcome, &holder, epoch)))
    }

    fn again(&self, back: u8, same_id: bool) -> Option<(String, v1::JobRecord)> {
        let at = self.log.len().checked_sub(1 + usize::from(back))?;
        let Entry::Job(id, record) = &self.log[at] else { return None };
        let id = if same_id { id.clone() } else { format!("r{}", self.log.len()) };
        Some((id, v1::JobRecord::clone(record)))
    }

    /// Appends a record; both members fold it and must agree, and the oracle must allow it.
    fn append(&mut self, entry: Entry) {
        let offset = self.log.len();
        let folded = fold(&mut self.first, offset, &entry, clock(offset));
        let second = fold(&mut self.second, offset, &entry, MonoTime(1_000 - offset as u64 % 7));
        assert_eq!(folded, second, "members differ on {entry:?}");
        if let (Ok(folded), Entry::Job(_, record)) = (&folded, &entry) {
            self.allow(folded, record);
        }
        if folded.is_err() {
            self.lives.retain(|id, _| self.first.get(id).is_some());
        }
        self.log.push(entry);
    }

    fn allow(&mut self, folded: &Folded, record: &v1::JobRecord) {
        match (folded, record.body.as_ref().unwrap()) {
            (Folded::Accepted(id), Body::Accepted(accepted)) => {
                let spec = accepted.spec.as_ref().unwrap();
                let once = !spec.idempotent && !spec.standing;
                let before = self.lives.insert(*id, Life { once, ..Life::default() });
                assert!(before.is_none(), "a job was accepted twice");
            }
            (Folded::Attempted { job, attempt }, Body::Attempt(record)) => {
                self.lives.get_mut(job).unwrap().begin(*attempt, record);
            }
            (Folded::TaskEnded { task, then }, Body::TaskEnded(record)) => {
                self.lives.get_mut(&task.job).unwrap().end_task(*task, *then, record);
            }
            (Folded::JobEnded(id), _) => {
                assert!(self.lives[id].open.is_empty(), "ended while a task ran");
            }
            _ => {}
        }
    }

    fn take_snapshot(&mut self, expire_after: u8, lag: u8) {
        let mut writer = self.first.clone();
        writer.expire(clock(self.log.len()) + options().keep_ended - micros(expire_after));
        self.pending = Some((lag, self.log.len(), writer.snapshot(300)));
    }

    fn write_pending(&mut self) {
        match self.pending.take() {
            Some((0, covers, parts)) => {
                parts.iter().for_each(|part| self.append(Entry::Part(part.clone())));
                self.snapshot = Some((covers, parts));
            }
            Some((lag, covers, parts)) => self.pending = Some((lag - 1, covers, parts)),
            None => {}
        }
    }

    fn restart(&mut self) {
        let Some((covers, parts)) = &self.snapshot else { return };
        let at = Offset(*covers as u64);
        self.second = Jobs::restore(options(), parts, at, MonoTime(5)).unwrap();
        for (offset, entry) in self.log.iter().enumerate().skip(*covers) {
            let _ = fold(&mut self.second, offset, entry, MonoTime(9));
        }
    }

    fn check(&mut self) {
        for (id, life) in &mut self.lives {
            life.check(self.first.get(id).unwrap());
        }
        assert_eq!(self.first.len(), self.lives.len());
        check_index(&self.first);
        check_index(&self.second);
        check_alike(&self.first, &self.second);
    }
}

fn micros(n: u8) -> std::time::Duration {
    std::time::Duration::from_micros(u64::from(n))
}

/// Mostly repeats of the same request, sometimes another one under its key.
fn accept(op: &Op) -> Body {
    let flag = |bit: u8| op.detail & bit != 0;
    let spec = v1::JobSpec {
        tasks: 1 + u32::from(flag(1)),
        idempotent: flag(2),
        standing: op.detail % 16 >= 12,
        checkpointable: flag(16),
        ..spec()
    };
    accepted(spec, if op.stray.is_multiple_of(8) { "other" } else { "same" })
}

fn holder_name(holder: u8) -> String {
    format!("e{}", holder % 3)
}

impl Life {
    fn begin(&mut self, number: AttemptNo, record: &v1::JobAttempt) {
        assert!(self.open.is_empty(), "two attempts are active at once");
        assert!(self.end.is_none(), "an ended job was attempted");
        assert!(self.attempts.insert(number.0), "an attempt ran twice");
        let resumes =
            |o: &TaskOutcome| matches!(o, TaskOutcome::NotStarted | TaskOutcome::Checkpointed);
        let may_repeat = self.ends.iter().any(|(_, outcome)| !resumes(outcome));
        assert!(!(self.once && may_repeat), "work that runs once may run twice");
        let open = record.placements.iter().map(|p| (p.index, (p.holder.clone(), p.epoch)));
        self.open = open.collect();
    }

    fn end_task(&mut self, task: TaskId, then: AfterTask, record: &v1::TaskEnded) {
        let (holder, epoch) = self.open.remove(&task.index).expect("the task was not running");
        assert_eq!(self.attempts.last(), Some(&task.attempt.0), "an old attempt ended");
        let later = record.epoch > epoch;
        assert!(later || (record.epoch == epoch && record.holder == holder), "a deposed holder");
        assert_eq!(then == AfterTask::Running, !self.open.is_empty());
        self.ends.push((record.attempt, record.outcome()));
    }

    fn check(&mut self, job: &Job) {
        let end = job.ended().map(|ended| (ended.verdict, ended.succeeded));
        assert!(self.end.is_none() || self.end == end, "an ended job changed");
        self.end = end;
        let running: Vec<_> = job.running().map(|(task, _)| task.index).collect();
        assert!(running.iter().eq(self.open.keys()));
        let last = self.attempts.last();
        let started = self.ends.iter().any(|(_, outcome)| *outcome != TaskOutcome::NotStarted);
        match job.state() {
            State::Active(attempt) => {
                assert!(!running.is_empty() && last == Some(&attempt.number.0));
            }
            State::Waiting { next_attempt } => {
                assert_eq!(last.copied().unwrap_or(0) + 1, next_attempt.0);
            }
            State::Ended(ended) if ended.succeeded => {
                let own = self.ends.iter().filter(|(number, _)| Some(number) == last);
                assert!(own.clone().all(|(_, outcome)| *outcome == TaskOutcome::Succeeded));
                assert_eq!(own.count(), ended.results.len(), "a result is missing");
                assert!(ended.results.iter().all(|result| result.starts_with("result-")));
            }
            State::Ended(ended) if started => assert_ne!(ended.verdict, Verdict::NotRun),
            State::Ended(ended) => assert_eq!(ended.verdict, Verdict::NotRun),
        }
    }
}

/// The lookups say what a walk over all jobs says.
fn check_index(jobs: &Jobs) {
    let all = |f: &dyn Fn(&Job) -> bool| -> BTreeSet<_> {
        jobs.iter().filter(|job| f(job)).map(Job::id).collect()
    };
    assert_eq!(
        jobs.waiting().map(Job::id).collect::<BTreeSet<_>>(),
        all(&|j| j.next_attempt().is_some())
    );
    assert_eq!(
        jobs.active().map(|(id, _)| id).collect::<BTreeSet<_>>(),
        all(&|j| j.attempt().is_some())
    );
    for worker in ["w0", "w1"].map(lilacpass_core::ids::WorkerId::new) {
        let here: BTreeSet<_> = jobs.placements_on(&worker).map(|(task, ..)| task).collect();
        let running = jobs.iter().flat_map(Job::running);
        assert_eq!(here, running.filter(|(_, on)| *on == worker).map(|(task, _)| task).collect());
    }
    let slots = jobs.iter().map(|job| job.running().count() as u64).sum::<u64>();
    assert_eq!(jobs.team_usage().values().map(|usage| usage.slots.0).sum::<u64>(), slots);
}

/// Two members have the same state. Of a job that is about to be forgotten, a restored member
/// knows only how it ended.
fn check_alike(first: &Jobs, second: &Jobs) {
    assert_eq!(first.len(), second.len());
    let (ours, theirs) =
        (first.snapshot(usize::MAX).remove(0), second.snapshot(usize::MAX).remove(0));
    assert_eq!(ours.seen_ids, theirs.seen_ids);
    for (ours, theirs) in ours.jobs.iter().zip(&theirs.jobs) {
        if theirs.forget {
            let digest = |job: &v1::SnapshotJob| job.accepted.clone().map(|a| a.body_digest);
            assert_eq!((&ours.job_id, digest(ours)), (&theirs.job_id, digest(theirs)));
            assert_eq!((&ours.ended, ours.ended_offset), (&theirs.ended, theirs.ended_offset));
        } else {
            assert_eq!(ours, theirs);
        }
    }
}

#[test]
fn any_history_keeps_the_promises_and_all_members_agree() {
    lilacpass_fuzz::check_lists::<Op>(HISTORIES, 1..=MAX_STEPS, |ops| {
        let mut world = World::new();
        ops.iter().for_each(|op| world.step(op));
    });
}
