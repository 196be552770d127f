//! Counts of the sample run and its last line.

use std::fmt;

use lilacpass_core::Verdict;
use lilacpass_schema::v1::TaskOutcome;

use crate::{
    judge::{self, Evidence},
    ledger::{JobKind, JobNote, Notes, QuickNote, RequestEnd},
    load::QuickTally,
    spans::{Span, Spans},
};

/// Watchers that must run; the first is a submitted job, the others are in the configuration.
pub(super) const WATCHERS: u32 = 3;
/// Tasks of a gang.
pub(super) const GANG_TASKS: u32 = 12;

/// Counts of the sample run.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    quick: QuickTally,
    long: Part,
    gang: Part,
    watchers: Part,
    doubled: usize,
    lost: usize,
    over_capacity: u64,
    /// What else went wrong.
    faults: Vec<String>,
}

/// So many of so many.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Part {
    pub(super) good: u32,
    all: u32,
}

impl Part {
    fn plus(self, other: Self) -> Self {
        Self { good: self.good + other.good, all: self.all + other.all }
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.good, self.all)
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { quick, long, gang, watchers, doubled, lost, over_capacity, faults: _ } = self;
        write!(
            f,
            "try: quick={}/{} long={long} gang={gang} watchers={watchers} doubled={doubled} \
             lost={lost} over_capacity={over_capacity}",
            quick.answered, quick.asked
        )
    }
}

impl Summary {
    /// Counts what a run left behind; `faults` went wrong besides.
    pub(super) fn count(
        evidence: &Evidence<'_>,
        quick: QuickTally,
        mut faults: Vec<String>,
    ) -> Self {
        let Evidence { notes, counts, spans, .. } = *evidence;
        let findings = judge::judge(evidence);
        let broken = findings.iter().filter(|finding| !finding.holds());
        faults.extend(broken.map(ToString::to_string));
        faults.extend(bad_jobs(notes, spans));
        faults.extend(unanswered_alerts(notes, spans));
        let doubled = [judge::one_place(evidence), judge::at_most_once(evidence)];
        let violations: usize = doubled.iter().map(|finding| finding.violations.len()).sum();
        Self {
            quick,
            long: part(notes, JobKind::Long, |id| has_succeeded(spans.of(id))),
            gang: part(notes, JobKind::Gang, |id| ran_together(spans.of(id))),
            watchers: watchers_running(spans),
            doubled: violations + doubled_watchers(spans),
            lost: notes.jobs.values().filter(|job| is_lost(job)).count(),
            over_capacity: counts.workers.iter().map(|worker| worker.over_capacity).sum(),
            faults,
        }
    }

    /// Whether all of it holds.
    pub fn is_good(&self) -> bool {
        let all = |part: Part| part.good == part.all;
        self.quick.answered == self.quick.asked
            && all(self.long)
            && all(self.gang)
            && all(self.watchers)
            && self.doubled == 0
            && self.lost == 0
            && self.over_capacity == 0
            && self.faults.is_empty()
    }

    /// The same with the name of the deployment before each fault.
    pub(super) fn named(mut self, name: &str) -> Self {
        self.faults.iter_mut().for_each(|fault| fault.insert_str(0, &format!("{name}: ")));
        self
    }

    /// What went wrong besides the counts.
    pub fn faults(&self) -> &[String] {
        &self.faults
    }

    /// Adds another deployment.
    pub(super) fn plus(mut self, other: Self) -> Self {
        self.quick.asked += other.quick.asked;
        self.quick.answered += other.quick.answered;
        self.long = self.long.plus(other.long);
        self.gang = self.gang.plus(other.gang);
        self.watchers = self.watchers.plus(other.watchers);
        self.doubled += other.doubled;
        self.lost += other.lost;
        self.over_capacity += other.over_capacity;
        self.faults.extend(other.faults);
        self
    }
}

/// Watchers of which exactly one copy runs.
pub(super) fn watchers_running(spans: &Spans) -> Part {
    let runs_once = |number: &u32| {
        let runs = spans.of(&watcher_id(*number));
        runs.iter().filter(|run| run.ended_unix_ms.is_none()).count() == 1
    };
    Part { good: count((0..WATCHERS).filter(runs_once).count()), all: WATCHERS }
}

/// Payload id of a watcher.
pub(super) fn watcher_id(number: u32) -> String {
    format!("watcher-{number}")
}

/// Jobs of a kind, and how many of them ended well for the caller and on the workers.
fn part(notes: &Notes, kind: JobKind, ran_well: impl Fn(&str) -> bool) -> Part {
    let jobs = || notes.jobs.iter().filter(move |(_, job)| job.kind == kind);
    let good = jobs().filter(|(id, job)| ended_well(job) && ran_well(id)).count();
    Part { good: count(good), all: count(jobs().count()) }
}

fn ended_well(job: &JobNote) -> bool {
    job.end.as_ref().is_some_and(|end| end.state == "succeeded")
}

fn is_lost(job: &JobNote) -> bool {
    job.kind != JobKind::Watcher && job.job_id.is_some() && job.end.is_none()
}

fn has_succeeded(runs: &[Span]) -> bool {
    runs.iter().any(|run| run.outcome == TaskOutcome::Succeeded)
}

/// Whether all tasks of the last attempt succeeded and ran at one moment.
fn ran_together(runs: &[Span]) -> bool {
    let last = runs.iter().map(|run| run.attempt).max();
    let runs: Vec<_> = runs.iter().filter(|run| Some(run.attempt) == last).collect();
    let all_succeeded = runs.iter().all(|run| run.outcome == TaskOutcome::Succeeded);
    let last_start = runs.iter().map(|run| run.started_unix_ms).max();
    let first_end = runs.iter().filter_map(|run| run.ended_unix_ms).min();
    runs.len() == GANG_TASKS as usize && all_succeeded && last_start < first_end
}

/// Standing work from the configuration has no note of a caller; its runs are compared here.
fn doubled_watchers(spans: &Spans) -> usize {
    let is_doubled = |number: &u32| {
        let runs = spans.of(&watcher_id(*number));
        runs.iter().enumerate().any(|(i, a)| runs[i + 1..].iter().any(|b| a.overlaps(b)))
    };
    (1..WATCHERS).filter(is_doubled).count()
}

fn bad_jobs(notes: &Notes, spans: &Spans) -> Vec<String> {
    let is_bad =
        |job: &JobNote| matches!(job.kind, JobKind::Long | JobKind::Gang) && !ended_well(job);
    let bad = notes.jobs.iter().filter(|(_, job)| is_bad(job));
    bad.map(|(id, job)| format!("{id} ended as {:?}, runs: {}", job.end, show(spans.of(id))))
        .collect()
}

fn unanswered_alerts(notes: &Notes, spans: &Spans) -> Vec<String> {
    let is_bad = |quick: &&QuickNote| {
        !quick.idempotent
            && !matches!(
                quick.end,
                RequestEnd::Answered(_) | RequestEnd::Refused(Verdict::NotRun, _)
            )
    };
    let bad = notes.quick.iter().filter(is_bad);
    bad.map(|q| format!("{} ended as {:?}, runs: {}", q.id, q.end, show(spans.of(&q.id)))).collect()
}

fn show(runs: &[Span]) -> String {
    runs.iter().map(judge::show).collect::<Vec<_>>().join(", ")
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
