//! A model of callers: each submits one job, and retries if it is refused.

use lilacpass_lead::event::Response;

/// How long a caller waits for a response, in milliseconds.
pub const RESPONSE_TIMEOUT_MS: u64 = 3_000;
/// Maximum number of retries of a caller.
const MAX_RETRIES: u32 = 4;

/// The status of a job from the point of view of its caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum JobStatus {
    /// The job has not been submitted yet, or its caller waits for a response.
    #[default]
    Open,
    /// The leader accepted the job.
    Accepted,
    /// The caller gave up submitting the job.
    GivenUp,
    /// The job is completed.
    Completed {
        /// Time at which the outcome was stored, in milliseconds since the start of the scenario.
        at_ms: u64,
    },
    /// The job failed.
    Failed,
}

/// The caller of one job.
#[derive(Clone, Copy, Debug, Default)]
pub struct Caller {
    /// The status of the caller's job.
    pub status: JobStatus,
    /// Number of attempts that were refused.
    refused_attempts: u32,
}

impl Caller {
    /// Handles a response of the leader. Returns the time of the next attempt, or `None` if there is none.
    pub fn handle_response(&mut self, response: &Response, now_ms: u64) -> Option<u64> {
        if self.status != JobStatus::Open {
            return None;
        }
        match response {
            Response::Done => {
                self.status = JobStatus::Accepted;
                None
            }
            Response::Refused { retry_after_ms, .. } => {
                self.refused_attempts += 1;
                if self.refused_attempts > MAX_RETRIES {
                    self.status = JobStatus::GivenUp;
                    return None;
                }
                Some(now_ms + u64::from(*retry_after_ms))
            }
            _ => {
                self.status = JobStatus::GivenUp;
                None
            }
        }
    }
}
