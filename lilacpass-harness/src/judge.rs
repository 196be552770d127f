//! Judges the eight promises of lilacpass by the records of stand-in workers and callers.

use std::{
    collections::{HashMap, HashSet},
    fmt,
};

use lilacpass_core::Verdict;
use lilacpass_schema::v1::{self, TaskOutcome};

use crate::{
    ledger::{Disturbance, EntryKey, JobNote, Leaving, Notes, RequestEnd, RevisionNote},
    spans::{Span, Spans},
};

/// A worker that is leaving may still get work for this long.
pub const LEAVING_GRACE_MS: u64 = 2000;
/// An accepted change may take this long until it is in force.
pub const IN_FORCE_LIMIT_MS: u64 = 5000;
/// A request counts as in flight where it was sent at least this long before a planned stop.
const IN_FLIGHT_MARGIN_MS: u64 = 50;
/// Violations that are printed of one promise.
const MAX_SHOWN: usize = 5;

/// What a run left behind.
#[derive(Debug)]
pub struct Evidence<'a> {
    /// What callers and operators saw.
    pub notes: &'a Notes,
    /// What the workers counted.
    pub counts: &'a v1::WorkerCounts,
    /// The runs of `counts`, by piece of work.
    pub spans: &'a Spans,
    /// Teams in the configuration that each entry instance shows at the end; traces of changes.
    pub final_traces: &'a HashMap<String, HashSet<String>>,
}

/// The finding on one promise.
#[derive(Clone, Debug, Default)]
pub struct Finding {
    /// Short name of the promise.
    pub promise: &'static str,
    /// Number of single checks.
    pub checks: usize,
    /// What contradicts it.
    pub violations: Vec<String>,
}

impl Finding {
    fn new(promise: &'static str) -> Self {
        Self { promise, ..Self::default() }
    }

    fn check(&mut self, holds: bool, violation: impl FnOnce() -> String) {
        self.checks += 1;
        if !holds {
            self.violations.push(violation());
        }
    }

    /// Whether nothing contradicts it.
    pub fn holds(&self) -> bool {
        self.violations.is_empty()
    }

    /// Whether it was put to the test and nothing contradicts it. A run in which a fault did not come
    /// about proves nothing of the promise that the fault would have tested.
    pub fn is_shown(&self) -> bool {
        self.checks > 0 && self.holds()
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { promise, checks, violations } = self;
        if self.is_shown() {
            return write!(f, "promise {promise}: held checks={checks}");
        }
        if self.holds() {
            return write!(f, "promise {promise}: NOT CHECKED");
        }
        let shown = violations.iter().take(MAX_SHOWN).cloned().collect::<Vec<_>>().join("; ");
        write!(f, "promise {promise}: BROKEN checks={checks} broken={}: {shown}", violations.len())
    }
}

/// Judges all promises, in the order of the brief.
pub fn judge(evidence: &Evidence<'_>) -> Vec<Finding> {
    vec![
        capacity(evidence),
        one_place(evidence),
        own_answer(evidence),
        not_run(evidence),
        at_most_once(evidence),
        leaving(evidence),
        planned_stop(evidence),
        in_force(evidence),
    ]
}

/// No worker is given more than it has.
pub fn capacity(evidence: &Evidence<'_>) -> Finding {
    let mut finding = Finding::new("capacity");
    for worker in &evidence.counts.workers {
        finding.check(worker.over_capacity == 0, || {
            format!("{} over capacity {} times", worker.worker, worker.over_capacity)
        });
    }
    finding.checks += evidence.spans.count();
    finding
}

/// No task of a job runs in two places at once.
pub fn one_place(evidence: &Evidence<'_>) -> Finding {
    let mut finding = Finding::new("one-place");
    for id in evidence.notes.jobs.keys() {
        for (index, runs) in Spans::by_index(evidence.spans.of(id)) {
            let overlap = first_overlap(&runs);
            finding.check(overlap.is_none(), || {
                let (a, b) = overlap.unwrap_or((runs[0], runs[0]));
                format!("{id}[{index}] {} and {}", show(a), show(b))
            });
        }
    }
    finding
}

/// An answer is the caller's own and whole.
pub fn own_answer(evidence: &Evidence<'_>) -> Finding {
    let mut finding = Finding::new("own-answer");
    for quick in &evidence.notes.quick {
        if let RequestEnd::Answered(result) = &quick.end {
            finding.check(*result == quick.expected, || {
                format!("{} got {result:?} instead of {:?}", quick.id, quick.expected)
            });
        }
    }
    for (id, job) in &evidence.notes.jobs {
        let Some(end) = job.end.as_ref().filter(|end| end.state == "succeeded") else {
            continue;
        };
        let whole =
            end.result == job.expected || job.tasks > 1 && end.result.contains(&job.expected);
        finding.check(whole, || format!("{id} got {:?} instead of {:?}", end.result, job.expected));
    }
    finding
}

/// What was said not to have run did not run.
pub fn not_run(evidence: &Evidence<'_>) -> Finding {
    let mut finding = Finding::new("not-run");
    for quick in &evidence.notes.quick {
        if let RequestEnd::Refused(Verdict::NotRun, detail) = &quick.end {
            let runs = evidence.spans.of(&quick.id);
            finding
                .check(runs.is_empty(), || format!("{} ({detail}) {}", quick.id, show(&runs[0])));
        }
    }
    for (id, _) in evidence.notes.jobs.iter().filter(|(_, job)| was_said_not_to_run(job)) {
        let runs = evidence.spans.of(id);
        finding.check(runs.is_empty(), || format!("job {id} {}", show(&runs[0])));
    }
    finding
}

/// Non-idempotent work is started at most once; resuming from a checkpoint is the same execution.
pub fn at_most_once(evidence: &Evidence<'_>) -> Finding {
    let mut finding = Finding::new("at-most-once");
    let quick = evidence.notes.quick.iter().filter(|quick| !quick.idempotent).map(|q| &q.id);
    let jobs = evidence.notes.jobs.iter().filter(|(_, job)| !job.idempotent).map(|(id, _)| id);
    for id in quick.chain(jobs) {
        for (index, runs) in Spans::by_index(evidence.spans.of(id)) {
            let executions =
                1 + runs.windows(2).filter(|w| w[0].outcome != TaskOutcome::Checkpointed).count();
            finding.check(executions == 1, || {
                let runs: Vec<_> = runs.iter().map(|run| show(run)).collect();
                format!("{id}[{index}] executed {executions} times: {}", runs.join(", "))
            });
        }
    }
    finding
}

/// A leaving worker gets nothing new after a few seconds.
pub fn leaving(evidence: &Evidence<'_>) -> Finding {
    let mut finding = Finding::new("leaving");
    for leaving in &evidence.notes.leavings {
        let known_from = match leaving.told_by_worker {
            true => leaving.from_unix_ms,
            false => after_disturbances(evidence.notes, leaving),
        };
        let quiet = known_from + LEAVING_GRACE_MS..leaving.until_unix_ms;
        let late = evidence
            .spans
            .iter()
            .flat_map(|(id, runs)| runs.iter().map(move |run| (id, run)))
            .find(|(_, run)| run.worker == leaving.worker && quiet.contains(&run.started_unix_ms));
        finding.check(late.is_none(), || {
            let (id, run) = late.unzip();
            let after = run.map_or(0, |run| run.started_unix_ms - leaving.from_unix_ms);
            format!("{} got {} after {after} ms", leaving.worker, id.unwrap_or_default())
        });
    }
    finding
}

/// A planned stop cuts off no request in flight.
pub fn planned_stop(evidence: &Evidence<'_>) -> Finding {
    let mut finding = Finding::new("planned-stop");
    for stop in &evidence.notes.stops {
        let name = &stop.entry.name;
        finding.check(stop.failure.is_none(), || {
            format!("{name} did not end well: {}", stop.failure.clone().unwrap_or_default())
        });
        let in_flight = evidence.notes.calls.iter().filter(|call| {
            call.entry == stop.entry
                && call.sent_unix_ms + IN_FLIGHT_MARGIN_MS <= stop.at_unix_ms
                && call.ended_unix_ms >= stop.at_unix_ms
        });
        for call in in_flight {
            finding.check(call.broken.is_none(), || {
                let sent_before = stop.at_unix_ms - call.sent_unix_ms;
                let detail = call.broken.clone().unwrap_or_default();
                format!("{name} cut a request sent {sent_before} ms before its stop: {detail}")
            });
        }
    }
    finding
}

/// An accepted change is in force everywhere within seconds and never reverts.
pub fn in_force(evidence: &Evidence<'_>) -> Finding {
    let mut finding = Finding::new("in-force");
    let notes = evidence.notes;
    never_back(notes, &mut finding);
    for reading in &notes.revisions {
        let newest_due = notes
            .changes
            .iter()
            .filter(|change| change.revision > reading.revision)
            .find(|change| is_overdue(notes, change.accepted_unix_ms, reading));
        finding.check(newest_due.is_none(), || {
            let change = newest_due.map_or((0, 0), |c| (c.revision, c.accepted_unix_ms));
            format!(
                "{} still at {} {} ms after {} was accepted",
                reading.entry.name,
                reading.revision,
                reading.sent_unix_ms - change.1,
                change.0
            )
        });
    }
    let mut seen = HashSet::new();
    for change in &notes.changes {
        let is_new = seen.insert(change.revision);
        finding.check(is_new, || {
            format!("two operators were told that {} is theirs", change.revision)
        });
        for (entry, traces) in evidence.final_traces {
            finding.check(traces.contains(&change.trace), || {
                format!("{entry} has lost {} of revision {}", change.trace, change.revision)
            });
        }
    }
    finding
}

fn never_back(notes: &Notes, finding: &mut Finding) {
    let mut last: HashMap<&EntryKey, &RevisionNote> = HashMap::new();
    for reading in &notes.revisions {
        if let Some(before) = last.insert(&reading.entry, reading) {
            finding.check(before.revision <= reading.revision, || {
                let name = &reading.entry.name;
                format!("{name} went back from {} to {}", before.revision, reading.revision)
            });
        }
    }
}

/// Whether the reader had to have a change that was accepted at `accepted_unix_ms`.
fn is_overdue(notes: &Notes, accepted_unix_ms: u64, reading: &RevisionNote) -> bool {
    let disturbed_until = |disturbance: &&Disturbance| {
        disturbance.entry == reading.entry.name
            && disturbance.from_unix_ms <= reading.sent_unix_ms
            && disturbance.until_unix_ms >= accepted_unix_ms
    };
    let counted_from = notes
        .disturbances
        .iter()
        .filter(disturbed_until)
        .map(|disturbance| disturbance.until_unix_ms)
        .fold(accepted_unix_ms, u64::max);
    reading.sent_unix_ms > counted_from + IN_FORCE_LIMIT_MS
}

/// From when every holder could know of a drain: after the disturbances that it fell into.
fn after_disturbances(notes: &Notes, leaving: &Leaving) -> u64 {
    notes
        .disturbances
        .iter()
        .filter(|d| {
            d.from_unix_ms <= leaving.until_unix_ms && d.until_unix_ms >= leaving.from_unix_ms
        })
        .map(|disturbance| disturbance.until_unix_ms)
        .fold(leaving.from_unix_ms, u64::max)
}

/// Whether every submission was refused as not run, or its end says so.
fn was_said_not_to_run(job: &JobNote) -> bool {
    let refused = job.job_id.is_none() && !job.may_be_accepted;
    let ended = job.end.as_ref().is_some_and(|end| end.verdict == Verdict::NotRun.as_str());
    refused || ended
}

fn first_overlap<'a>(runs: &[&'a Span]) -> Option<(&'a Span, &'a Span)> {
    let pairs = runs.iter().enumerate().flat_map(|(i, a)| runs[i + 1..].iter().map(|b| (*a, *b)));
    pairs.into_iter().find(|(a, b)| a.overlaps(b))
}

/// A run for people.
pub fn show(run: &Span) -> String {
    let ended = run
        .ended_unix_ms
        .map_or("running".to_owned(), |ended| format!("{} {}", ended, run.outcome.as_str_name()));
    format!("attempt {} on {} {}..{ended}", run.attempt, run.worker, run.started_unix_ms)
}
