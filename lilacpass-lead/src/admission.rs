//! Limits how many new jobs a leader accepts that has no processor time to spare.
//!
//! Load pattern: the leader has the time for half of the work. If it accepts all, every call takes some turns of a busy
//! event loop, every step waits in a queue, and each job is late although half of them could be in time. So a leader that
//! is late for longer than a short burst accepts a share of the new jobs, as large as it can bear.
//!
//! Which jobs these are follows from their keys. A client whose job was refused submits it again; if each attempt were
//! decided anew, most of the accepted jobs would be ones that were refused before and are late already. It also lets other
//! instances refuse the same jobs without asking the leader.

use lilacpass_core::rendezvous;
use lilacpass_jobs::JobKey;
use lilacpass_schema::v1;

use crate::event::Now;

/// Mean delay of ticks in ms from which the leader is late. Ticks are late by half a turn of the event loop on average, and
/// an append takes about eight turns, so it takes 0.13 s longer then. A short job waits for two or three appends and has a
/// slack of about 0.5 s.
const LATE_DELAY_MS: u64 = 8;
/// Mean delay of ticks in ms up to which the leader has time to spare.
const SPARE_DELAY_MS: u64 = 4;
/// The share falls once the leader has been late for this time in ms without a pause.
const MIN_LATE_MS: u64 = 500;
/// Time in ms in which the share of a late leader halves. What was accepted before keeps it late for a second or two.
const HALVING_MS: f64 = 2_000.0;
/// Time in ms in which the share of a leader with time to spare doubles.
const DOUBLING_MS: f64 = 4_000.0;
/// The share never falls below this one, so that the leader finds out that it has time to spare.
const MIN_SHARE: f64 = 0.02;
/// Other instances refuse no job that was accepted within this time in ms. The response to its client may have been lost,
/// and a client that is refused concludes that its job does not run. Clients wait for a response for some seconds.
const MIN_REMEMBERED_MS: u64 = 5_000;

/// A share of all jobs, chosen by their keys.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct JobShare(f64);

impl JobShare {
    /// All jobs.
    pub const ALL: Self = Self(1.0);

    /// Returns the share that is left when `permille` thousandths of the jobs are refused.
    pub fn without_permille(permille: u32) -> Self {
        Self((1.0 - f64::from(permille) / 1_000.0).max(0.0))
    }

    /// Returns how many thousandths of the jobs are not in the share.
    pub fn refused_permille(self) -> u32 {
        ((1.0 - self.0) * 1_000.0).round() as u32
    }

    /// Returns whether a job belongs to the share.
    pub fn contains(self, job: JobKey) -> bool {
        self == Self::ALL || position(job) < self.0
    }

    /// Returns whether a new job is to be refused. Work that lasts is accepted: it is rare, and nothing makes up for the
    /// time that it does not run.
    pub fn refuses(self, job: JobKey, plan: &v1::WorkPlan) -> bool {
        !self.contains(job) && !plan.steps.iter().any(|step| step.lasting)
    }
}

/// Returns the place of a job between 0 and 1, spread evenly over all jobs. Instances of all versions have to agree on it.
fn position(job: JobKey) -> f64 {
    rendezvous::weight(&job.0.to_le_bytes(), "admission") as f64 / u64::MAX as f64
}

/// The share of new jobs that the leader accepts.
#[derive(Debug)]
pub struct Admission {
    share: JobShare,
    /// When the leader became late, in ms on the monotonic clock; `None` if it is not.
    late_since_ms: Option<u64>,
    /// When the share fell below all jobs, in ms on the monotonic clock.
    limited_since_ms: Option<u64>,
    updated_ms: u64,
    /// The largest share in the present period of [`MIN_REMEMBERED_MS`], and in the one before.
    largest: [JobShare; 2],
    /// End of the present period, in ms on the monotonic clock.
    period_ends_ms: u64,
}

impl Admission {
    /// Accepts all jobs of a leader that starts at `now`.
    pub fn new(now: Now) -> Self {
        Self {
            share: JobShare::ALL,
            late_since_ms: None,
            limited_since_ms: None,
            updated_ms: now.steady_ms,
            largest: [JobShare::ALL; 2],
            period_ends_ms: now.steady_ms + MIN_REMEMBERED_MS,
        }
    }

    /// Updates the share from the mean delay of the last ticks.
    pub fn update(&mut self, mean_delay_ms: u64, now: Now) {
        let elapsed_ms = now.steady_ms.saturating_sub(self.updated_ms) as f64;
        self.updated_ms = now.steady_ms;
        if mean_delay_ms >= LATE_DELAY_MS {
            let since_ms = *self.late_since_ms.get_or_insert(now.steady_ms);
            if now.steady_ms - since_ms >= MIN_LATE_MS {
                self.scale((-elapsed_ms / HALVING_MS).exp2());
            }
        } else {
            self.late_since_ms = None;
            if mean_delay_ms <= SPARE_DELAY_MS {
                self.scale((elapsed_ms / DOUBLING_MS).exp2());
            }
        }
        self.remember_share(now);
        if self.share == JobShare::ALL {
            self.limited_since_ms = None;
        } else {
            self.limited_since_ms.get_or_insert(now.steady_ms);
        }
    }

    fn scale(&mut self, factor: f64) {
        self.share = JobShare((self.share.0 * factor).clamp(MIN_SHARE, 1.0));
    }

    fn remember_share(&mut self, now: Now) {
        if now.steady_ms >= self.period_ends_ms {
            self.period_ends_ms = now.steady_ms + MIN_REMEMBERED_MS;
            self.largest = [self.share, self.largest[0]];
        } else if self.share > self.largest[0] {
            self.largest[0] = self.share;
        }
    }

    /// Returns the share outside of which no new job was accepted within [`MIN_REMEMBERED_MS`].
    pub fn recent_share(&self) -> JobShare {
        let [present, before] = self.largest;
        if present > before { present } else { before }
    }

    /// Returns the share of new jobs that are accepted.
    pub fn share(&self) -> JobShare {
        self.share
    }

    /// Returns for how long jobs have been refused, in ms.
    pub fn limited_ms(&self, now: Now) -> u64 {
        self.limited_since_ms.map_or(0, |since_ms| now.steady_ms.saturating_sub(since_ms))
    }
}
