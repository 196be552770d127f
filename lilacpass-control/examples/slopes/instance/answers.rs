//! What workers and peers answer to the instance, at once but for reports and runs.

use std::time::Duration;

use lilacpass_control::{
    Event,
    event::{
        CallFailure, CallId, Caller, FailureKind, PeerCall, PeerReply, QuickRequest, Request, Role,
        WorkerCall, WorkerReply,
    },
};
use lilacpass_core::Verdict;
use lilacpass_schema::v1;
use prost::Message;

use super::{DEADLINE, Due, HOP, Instance, RUN};
use crate::{bytes::Kind, sample};

impl Instance {
    pub(super) fn worker_call(&mut self, call: CallId, worker: &str, request: WorkerCall) {
        let (wait, reply) = match request {
            WorkerCall::Report(request) => {
                let answer = self.report(worker);
                let bytes = request.encoded_len() + answer.encoded_len();
                self.traffic.count(Kind::Report, bytes);
                (Duration::from_millis(request.wait_ms), WorkerReply::Report(answer))
            }
            WorkerCall::Renew(request) => {
                let answer = v1::RenewTasksAnswer { worker_incarnation: 1, unknown: Vec::new() };
                self.traffic.count(Kind::Renewal, request.encoded_len() + answer.encoded_len());
                (Duration::ZERO, WorkerReply::Renew(answer))
            }
            WorkerCall::Run(request) => (RUN, WorkerReply::Run(ran(request))),
            WorkerCall::Start(_) => {
                let answer = v1::StartTaskAnswer {
                    started: true,
                    worker_incarnation: 1,
                    ..Default::default()
                };
                (Duration::ZERO, WorkerReply::Start(answer))
            }
            WorkerCall::Control(_) => {
                (Duration::ZERO, WorkerReply::Control(v1::ControlTaskAnswer { known: true }))
            }
        };
        let done = Event::WorkerDone { call, sent_at: self.now, result: Ok(reply) };
        self.after(wait + HOP * 2, Due::event(done));
    }

    fn report(&self, worker: &str) -> v1::ReportAnswer {
        let number = worker.rsplit('-').next().and_then(|n| n.parse::<usize>().ok()).unwrap_or(0);
        let each = self.around.tasks_each;
        v1::ReportAnswer {
            version: 1,
            worker_incarnation: 1,
            age_ms: 0,
            tasks: (number * each..(number + 1) * each).map(reported).collect(),
            leaving: false,
        }
    }

    pub(super) fn peer_call(&mut self, call: CallId, peer: &str, request: PeerCall) {
        let (wait, result) = match request {
            PeerCall::Heartbeat(beat) => {
                self.traffic.count(Kind::Heartbeat, beat.encoded_len());
                let all = 0..self.around.near + self.around.far;
                let n = all.into_iter().find(|n| self.peer_name(*n) == peer).unwrap_or_default();
                let grant = v1::Grant {
                    to: sample::ME.to_owned(),
                    to_incarnation: 1,
                    grant_ms: 2_000,
                    sent_us: beat.sent_us,
                };
                let grants = if n < self.around.near { vec![grant] } else { Vec::new() };
                let answer = self.peer_beat(n, grants);
                self.traffic.count(Kind::Heartbeat, answer.encoded_len());
                (Duration::ZERO, Ok(PeerReply::Heartbeat(answer)))
            }
            PeerCall::Forward(request) => (RUN, Ok(PeerReply::Forward(forwarded(request)))),
            _ => (Duration::ZERO, Err(refused())),
        };
        self.after(wait + HOP * 2, Due::event(Event::PeerDone { call, result }));
    }
}

pub(super) fn caller() -> Caller {
    Caller { name: "caller".to_owned(), role: Role::Operator, team: None, origin: None }
}

pub(super) fn quick(spec: v1::JobSpec) -> Request {
    let deadline = DEADLINE;
    Request::Quick(QuickRequest { spec, key: None, body_digest: String::new(), deadline })
}

fn ran(request: v1::RunRequest) -> v1::RunAnswer {
    let result = "{\"findings\":0}".to_owned();
    v1::RunAnswer {
        task: request.task,
        verdict: v1::Verdict::Ran.into(),
        outcome: v1::TaskOutcome::Succeeded.into(),
        result_bytes: result.len() as u64,
        result,
        run_ms: RUN.as_millis() as u64,
    }
}

fn forwarded(request: v1::ForwardRequest) -> v1::ForwardAnswer {
    let result = "{\"findings\":0}".to_owned();
    v1::ForwardAnswer {
        task: request.task,
        verdict: v1::Verdict::Ran.into(),
        outcome: v1::TaskOutcome::Succeeded.into(),
        result_bytes: result.len() as u64,
        result,
        ..Default::default()
    }
}

fn refused() -> CallFailure {
    CallFailure {
        verdict: Verdict::NotRun,
        kind: FailureKind::Refused,
        detail: "not part of the measurement".to_owned(),
    }
}

/// The `n`-th recorded task, as its worker reports it.
pub(crate) fn reported(n: usize) -> v1::ReportedTask {
    v1::ReportedTask {
        task: Some(sample::task(n)),
        running: true,
        given: Some(sample::amount(1_000, 1_024, 1)),
        used: Some(sample::amount(700, 800, 1)),
        run_ms: 3_600_000,
        epoch: 1,
        ..Default::default()
    }
}
