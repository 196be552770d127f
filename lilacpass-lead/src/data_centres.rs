//! Decides when the reachability of a data centre is reviewed.
//!
//! Load pattern: a data centre with a fifth of the workers is cut off. All of them fail within a second, and a review
//! goes through all workers of the cell. A review for each failure would cost the product of the two: seconds of a core
//! with 1,200 of 6,000 workers, during which the leader does nothing else.

use std::collections::HashMap;

use lilacpass_jobs::WorkerName;

/// A data centre is unresponsive if none of its workers has responded for this long, in ms. Sixteen idle workers
/// together answer twenty polls a second.
const UNRESPONSIVE_MS: u64 = 200;
/// Minimum time between two reviews of a data centre that was found unreachable, in ms.
const REVIEW_INTERVAL_MS: u64 = 100;

/// Number of responses that a data centre must owe before it is reviewed although no call has failed yet. Some workers
/// always respond late; so many of them do not without a common cause.
const MIN_MISSING_RESPONSES: u64 = 50;
/// Number of suspected workers that are polled as soon as their data centre is found unreachable.
const FIRST_CHECKS: usize = 32;
/// Number of suspected workers that are polled after each response of another one. Their number doubles with each round
/// trip if the data centre is reachable, and none is polled in vain if it is not.
const CHECKS_PER_RESPONSE: usize = 2;

/// What is known of a data centre as a whole.
#[derive(Debug, Default)]
struct DataCentre {
    /// When a worker there last responded, on the monotonic clock.
    last_response_ms: u64,
    /// From when it may be reviewed again, on the monotonic clock.
    next_review_ms: u64,
    /// Number of workers that respond, as of the last count.
    responsive_workers: u64,
    /// Suspected workers that have not been polled since the suspicion.
    unchecked: Vec<WorkerName>,
}

impl DataCentre {
    fn silence_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_response_ms)
    }

    /// Whether a worker has responded recently.
    fn is_responsive(&self, now_ms: u64) -> bool {
        self.silence_ms(now_ms) < UNRESPONSIVE_MS
    }

    fn take_unchecked(&mut self, count: usize) -> Vec<WorkerName> {
        self.unchecked.split_off(self.unchecked.len().saturating_sub(count))
    }
}

/// The data centres in which workers have responded or failed.
#[derive(Debug, Default)]
pub struct DataCentres {
    by_name: HashMap<String, DataCentre>,
}

impl DataCentres {
    /// Records a response of a worker.
    pub fn record_response(&mut self, data_centre: &str, now_ms: u64) {
        match self.by_name.get_mut(data_centre) {
            Some(known) => known.last_response_ms = now_ms,
            None => {
                let known = DataCentre { last_response_ms: now_ms, ..DataCentre::default() };
                self.by_name.insert(data_centre.to_owned(), known);
            }
        }
    }

    /// Whether a data centre in which a worker has failed is to be reviewed: none of its workers has responded recently,
    /// and it was not found unreachable just before.
    pub fn needs_review(&self, data_centre: &str, now_ms: u64) -> bool {
        self.may_review(data_centre, now_ms) && !self.is_responsive(data_centre, now_ms)
    }

    /// Whether a data centre was not found unreachable just before.
    pub fn may_review(&self, data_centre: &str, now_ms: u64) -> bool {
        self.by_name.get(data_centre).is_none_or(|known| now_ms >= known.next_review_ms)
    }

    /// Counts the workers that respond, given by the name of the data centre of each.
    pub fn count_workers<'a>(&mut self, data_centres: impl Iterator<Item = &'a str>) {
        self.by_name.values_mut().for_each(|known| known.responsive_workers = 0);
        for data_centre in data_centres {
            if let Some(known) = self.by_name.get_mut(data_centre) {
                known.responsive_workers += 1;
            }
        }
    }

    /// Data centres that have fallen silent although each of their workers should respond once in `interval_ms`, while
    /// another data centre responds. Calls to them have not failed yet.
    pub fn silent(&self, interval_ms: u64, now_ms: u64) -> Vec<String> {
        if self.by_name.values().all(|known| known.silence_ms(now_ms) >= UNRESPONSIVE_MS / 2) {
            // The leader itself is late or cut off.
            return Vec::new();
        }
        let is_silent = |known: &DataCentre| {
            let missing = known.responsive_workers * known.silence_ms(now_ms) / interval_ms;
            !known.is_responsive(now_ms)
                && missing >= MIN_MISSING_RESPONSES
                && now_ms >= known.next_review_ms
        };
        let silent = self.by_name.iter().filter(|(_, known)| is_silent(known));
        silent.map(|(name, _)| name.clone()).collect()
    }

    /// Whether a worker of a data centre has responded recently.
    pub fn is_responsive(&self, data_centre: &str, now_ms: u64) -> bool {
        self.by_name.get(data_centre).is_some_and(|known| known.is_responsive(now_ms))
    }

    /// Records that a review has found a data centre unreachable. Returns those of the suspected workers that are to be
    /// polled first.
    pub fn record_unreachable(
        &mut self,
        data_centre: &str,
        suspects: Vec<WorkerName>,
        now_ms: u64,
    ) -> Vec<WorkerName> {
        let known = self.by_name.entry(data_centre.to_owned()).or_default();
        known.next_review_ms = now_ms + REVIEW_INTERVAL_MS;
        known.unchecked = suspects;
        known.take_unchecked(FIRST_CHECKS)
    }

    /// Returns the suspected workers to poll after another one in the data centre has responded.
    pub fn next_checks(&mut self, data_centre: &str) -> Vec<WorkerName> {
        let known = self.by_name.get_mut(data_centre);
        known.map(|known| known.take_unchecked(CHECKS_PER_RESPONSE)).unwrap_or_default()
    }
}
