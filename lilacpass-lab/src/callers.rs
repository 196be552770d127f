//! A model of callers: each hands its job in, and tries again where it is refused.

use lilacpass_lead::event::Response;

/// How long a caller waits for an answer, in milliseconds.
pub const PATIENCE_MS: u64 = 3_000;
/// How often a caller tries again.
const MOST_RETRIES: u32 = 4;

/// Where a job stands with its caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// It has not come yet, or its caller waits for an answer.
    #[default]
    Open,
    /// It was accepted.
    Accepted,
    /// Its caller has given up.
    GivenUp,
    /// It is completed.
    Completed {
        /// When its outcome was stored.
        at_ms: u64,
    },
    /// A task has failed too often.
    Failed,
}

/// The caller of one job.
#[derive(Clone, Copy, Debug, Default)]
pub struct Caller {
    /// Where its job stands.
    pub standing: Standing,
    tries: u32,
}

impl Caller {
    /// Takes an answer in. Returns when the caller tries again, if it does.
    pub fn answered(&mut self, answer: &Response, now_ms: u64) -> Option<u64> {
        if self.standing != Standing::Open {
            return None;
        }
        match answer {
            Response::Done => {
                self.standing = Standing::Accepted;
                None
            }
            Response::Refused { retry_after_ms, .. } => {
                self.tries += 1;
                if self.tries > MOST_RETRIES {
                    self.standing = Standing::GivenUp;
                    return None;
                }
                Some(now_ms + u64::from(*retry_after_ms))
            }
            _ => {
                self.standing = Standing::GivenUp;
                None
            }
        }
    }
}
