//! Finds runs that stand still or are far too slow.
//!
//! Load pattern: some workers hang, others work at a fraction of their speed, while they answer as
//! ever. What runs there is done sooner if it starts again elsewhere. The worker's own figure for
//! the share of the work that is done shows it long before the end is overdue.

/// Shortest time without progress that counts: two waiting looks.
const STALL_MS: u64 = 1_700;
/// The same as a share of the estimated time, in percent: a long run takes long for one percent.
const STALL_PERCENT: u64 = 15;
/// Shortest time over which a pace is judged.
const JUDGED_MS: u64 = 500;
/// A worker is slow if runs there take so many times as long as runs of the same step elsewhere.
/// Tasks of a step are alike; a share of them takes up to twice as long as the others.
const SLOW_TIMES: f64 = 3.0;
/// The same for a worker of which only one job can be compared.
const ALONE_SLOW_TIMES: f64 = 4.5;

/// Whether a worker works at a fraction of the usual speed. `times` tells for each job that runs
/// there and elsewhere how many times as long it takes there.
///
/// Estimates of callers are no measure for this: they are off by more than a slow worker is slow.
pub fn is_slow_worker(times: &[f64]) -> bool {
    match times {
        [] => false,
        [alone] => *alone > ALONE_SLOW_TIMES,
        several => several.iter().all(|times| *times > SLOW_TIMES),
    }
}

/// How many times as long a run of `total_ms` takes as those of its step elsewhere; none where there
/// are too few to tell.
pub fn times_as_long(total_ms: u64, elsewhere_ms: &mut [u64]) -> Option<f64> {
    const FEWEST: usize = 2;
    if elsewhere_ms.len() < FEWEST {
        return None;
    }
    elsewhere_ms.sort_unstable();
    let median_ms = elsewhere_ms[elsewhere_ms.len() / 2];
    Some(total_ms as f64 / median_ms.max(1) as f64)
}

/// What was seen of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    began_ms: u64,
    began_percent: u32,
    percent: u32,
    changed_ms: u64,
}

impl Progress {
    /// A run that was first seen at `now_ms`.
    pub fn new(percent: u32, now_ms: u64) -> Self {
        Self { began_ms: now_ms, began_percent: percent, percent, changed_ms: now_ms }
    }

    /// Notes the share of the work that is done.
    pub fn update(&mut self, percent: u32, now_ms: u64) {
        if percent != self.percent {
            self.percent = percent;
            self.changed_ms = now_ms;
        }
    }

    /// Whether it has stood still for so long that it will not go on.
    pub fn is_stalled(&self, estimate_ms: u64, now_ms: u64) -> bool {
        let stalled_ms = now_ms.saturating_sub(self.changed_ms);
        stalled_ms > STALL_MS.max(estimate_ms * STALL_PERCENT / 100)
    }

    /// The time that the whole run will take at its pace, in ms; none before that can be told.
    pub fn estimated_total_ms(&self) -> Option<u64> {
        let worked_ms = self.changed_ms.saturating_sub(self.began_ms);
        if worked_ms < JUDGED_MS || self.percent <= self.began_percent {
            return None;
        }
        Some(worked_ms * 100 / u64::from(self.percent - self.began_percent))
    }

    /// The time in ms until the run is done at its pace; none before that can be told.
    pub fn estimated_remaining_ms(&self, now_ms: u64) -> Option<u64> {
        let left_ms = self.estimated_total_ms()? * u64::from(100 - self.percent.min(100)) / 100;
        Some(left_ms.saturating_sub(now_ms.saturating_sub(self.changed_ms)))
    }

    /// Whether most of the work is done, so that a new run would hardly be done sooner.
    pub fn is_nearly_done(&self) -> bool {
        const NEARLY_PERCENT: u32 = 75;
        self.percent >= NEARLY_PERCENT
    }
}
