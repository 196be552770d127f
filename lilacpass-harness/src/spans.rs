//! Runs of tasks as the stand-in workers recorded them, grouped by piece of work.

use std::collections::HashMap;

use lilacpass_schema::v1::{self, TaskOutcome};
use lilacpass_standin::Payload;

/// One run of one task.
#[derive(Clone, Debug)]
pub struct Span {
    /// Worker that ran it.
    pub worker: String,
    /// Attempt that it belonged to.
    pub attempt: u64,
    /// Position of the task in its attempt.
    pub index: u32,
    /// Start, in milliseconds since 1970.
    pub started_unix_ms: u64,
    /// End; absent while it runs.
    pub ended_unix_ms: Option<u64>,
    /// How it ended.
    pub outcome: TaskOutcome,
    /// Whether it was a quick request.
    pub quick: bool,
}

impl Span {
    /// Whether both ran at some moment.
    pub fn overlaps(&self, other: &Self) -> bool {
        let ends_before =
            |a: &Self, b: &Self| a.ended_unix_ms.is_some_and(|ended| ended <= b.started_unix_ms);
        !ends_before(self, other) && !ends_before(other, self)
    }
}

/// All runs by payload id, each in the order of starts.
#[derive(Clone, Debug, Default)]
pub struct Spans(HashMap<String, Vec<Span>>);

impl Spans {
    /// Groups the runs that were counted.
    pub fn new(counts: &v1::WorkerCounts) -> Self {
        let mut spans: HashMap<String, Vec<Span>> = HashMap::new();
        for task in &counts.tasks {
            let key = task.task.clone().unwrap_or_default();
            spans.entry(Payload::parse(&task.payload).id).or_default().push(Span {
                worker: task.worker.clone(),
                attempt: key.attempt,
                index: key.index,
                started_unix_ms: task.started_unix_ms,
                ended_unix_ms: (task.ended_unix_ms > 0).then_some(task.ended_unix_ms),
                outcome: task.outcome(),
                quick: task.quick,
            });
        }
        spans.values_mut().for_each(|runs| runs.sort_by_key(|run| run.started_unix_ms));
        Self(spans)
    }

    /// The runs of one piece of work.
    pub fn of(&self, id: &str) -> &[Span] {
        self.0.get(id).map_or(&[], Vec::as_slice)
    }

    /// All pieces of work with their runs.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[Span])> {
        self.0.iter().map(|(id, runs)| (id.as_str(), runs.as_slice()))
    }

    /// Number of runs.
    pub fn count(&self) -> usize {
        self.0.values().map(Vec::len).sum()
    }

    /// Runs of one piece of work by task position.
    pub fn by_index(runs: &[Span]) -> HashMap<u32, Vec<&Span>> {
        let mut by_index: HashMap<u32, Vec<&Span>> = HashMap::new();
        runs.iter().for_each(|run| by_index.entry(run.index).or_default().push(run));
        by_index
    }
}
