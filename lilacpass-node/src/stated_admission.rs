//! Which new jobs the leader has accepted lately, as every instance knows from its heartbeats.
//!
//! A leader that is behind refuses a share of the jobs. Each of their requests would cost it time that accepted jobs need,
//! and clients submit refused jobs again, so other instances refuse them without asking. The leader alone knows whether it
//! has accepted a job before; so they refuse only jobs that it has not accepted for seconds.

use lilacpass_lead::{
    Now,
    admission::{Admission, JobShare},
    event::{Request, Response},
    requests::retry_after_ms,
};
use lilacpass_schema::v1;

/// The share of the new jobs that the leader has accepted lately, and for how long it has refused others.
#[derive(Clone, Copy, Debug)]
pub struct StatedAdmission {
    share: JobShare,
    limited_ms: u64,
}

impl Default for StatedAdmission {
    fn default() -> Self {
        Self { share: JobShare::ALL, limited_ms: 0 }
    }
}

impl StatedAdmission {
    /// What a leader states.
    pub fn new(admission: &Admission, now: Now) -> Self {
        Self { share: admission.recent_share(), limited_ms: admission.limited_ms(now) }
    }

    /// What the leader has stated in its response to a heartbeat.
    pub fn decode(reply: &v1::PeerHelloReply) -> Self {
        Self {
            share: JobShare::without_permille(reply.refused_jobs_permille),
            limited_ms: u64::from(reply.refusing_jobs_ms),
        }
    }

    /// Adds it to a response to a heartbeat.
    pub fn encode(self, reply: v1::PeerHelloReply) -> v1::PeerHelloReply {
        v1::PeerHelloReply {
            refused_jobs_permille: self.share.refused_permille(),
            refusing_jobs_ms: self.limited_ms.try_into().unwrap_or(u32::MAX),
            ..reply
        }
    }

    /// Returns the refusal of a request, if the leader would refuse it.
    pub fn refusal(self, request: &Request) -> Option<Response> {
        let Request::Submit { job, plan, .. } = request else { return None };
        self.share.refuses(*job, plan).then(|| Response::Refused {
            reason: "the leader is behind",
            retry_after_ms: retry_after_ms(self.limited_ms),
        })
    }
}
