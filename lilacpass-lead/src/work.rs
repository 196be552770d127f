//! Counts what the leader goes through when it decides, so that tests can bound how its work grows with the cell.
//!
//! Counts do not depend on the machine or its load. A benchmark shows that the leader is slow only if somebody runs it
//! on a quiet machine; a test of the counts fails wherever it runs.

use std::cell::Cell;

/// A part of the leader's decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Lookups in the index of free capacity.
    CapacityIndex,
    /// Which waiting steps a round examines.
    StepSelection,
    /// The choice of workers for the tasks of a step, and of a job's data centre.
    Placement,
    /// The search for workers to name in a call for advice.
    AdviceSearch,
    /// The search for runs to preempt.
    Preemption,
    /// The search for capacity to reserve in advance.
    Reservation,
    /// Reviews of all workers, runs or jobs that come with time alone.
    Review,
    /// Changes of the state of jobs: which steps wait, and the records to be stored.
    JobUpdate,
}

impl Part {
    /// All parts.
    pub const ALL: [Self; 8] = [
        Self::CapacityIndex,
        Self::StepSelection,
        Self::Placement,
        Self::AdviceSearch,
        Self::Preemption,
        Self::Reservation,
        Self::Review,
        Self::JobUpdate,
    ];

    /// Returns the name of the part as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::CapacityIndex => "capacity-index",
            Self::StepSelection => "step-selection",
            Self::Placement => "placement",
            Self::AdviceSearch => "advice-search",
            Self::Preemption => "preemption",
            Self::Reservation => "reservation",
            Self::Review => "review",
            Self::JobUpdate => "job-update",
        }
    }
}

/// Numbers of items that each part has gone through. An item is a worker, a run, a ticket, a waiting step, a task or a
/// job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Visits([u64; Part::ALL.len()]);

impl Visits {
    /// Returns the number of items that a part has gone through.
    pub fn of(&self, part: Part) -> u64 {
        self.0[part as usize]
    }

    /// Sets the number of items that a part has gone through.
    pub fn with(mut self, part: Part, items: u64) -> Self {
        self.0[part as usize] = items;
        self
    }

    /// Returns the number of items that all parts have gone through.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }
}

/// Counts [`Visits`]. Searches count too, and they only read the leader's state.
#[derive(Debug, Default)]
pub struct VisitCounter([Cell<u64>; Part::ALL.len()]);

impl VisitCounter {
    /// Counts `items` for a part.
    pub fn add(&self, part: Part, items: usize) {
        let count = &self.0[part as usize];
        count.set(count.get() + items as u64);
    }

    /// Returns the counts so far.
    pub fn read(&self) -> Visits {
        let mut visits = Visits::default();
        for (total, count) in visits.0.iter_mut().zip(&self.0) {
            *total = count.get();
        }
        visits
    }
}

/// Work spent on decisions since the leader took over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulingWork {
    /// Steps for which workers with free capacity, or workers to request advice about, were searched for.
    pub steps_examined: u64,
    /// Waiting steps that got another rank.
    pub steps_moved: u64,
    /// Workers examined in reviews of data centres.
    pub workers_reviewed: u64,
    /// Searches for workers to name in a call for advice.
    pub advice_searches: u64,
    /// Searches of these that found no worker.
    pub empty_advice_searches: u64,
    /// Start orders that were sent.
    pub starts: u64,
    /// Items gone through, by part.
    pub visits: Visits,
}

impl SchedulingWork {
    /// Returns the work done since an earlier reading.
    pub fn since(&self, earlier: &Self) -> Self {
        let mut visits = self.visits;
        visits.0.iter_mut().zip(&earlier.visits.0).for_each(|(count, before)| *count -= before);
        Self {
            steps_examined: self.steps_examined - earlier.steps_examined,
            steps_moved: self.steps_moved - earlier.steps_moved,
            workers_reviewed: self.workers_reviewed - earlier.workers_reviewed,
            advice_searches: self.advice_searches - earlier.advice_searches,
            empty_advice_searches: self.empty_advice_searches - earlier.empty_advice_searches,
            starts: self.starts - earlier.starts,
            visits,
        }
    }
}
