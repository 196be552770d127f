//! Records for the tests.
#![allow(dead_code, unreachable_pub)]

pub mod stream;

use lilacpass_core::{
    MonoTime,
    ids::{JobId, Offset},
};
use lilacpass_records::{Folded, Jobs, JobsOptions};
use lilacpass_schema::v1::{self, TaskOutcome, job_record::Body};

/// A job map with a log of its own: each record gets the next offset.
pub struct Log {
    pub jobs: Jobs,
    pub next: Offset,
    ids: u64,
}

impl Log {
    pub fn new() -> Self {
        Self { jobs: Jobs::new(JobsOptions::default()), next: Offset(0), ids: 0 }
    }

    /// Appends a record under a new id.
    pub fn append(&mut self, job: JobId, body: Body) -> Folded {
        self.ids += 1;
        let id = format!("r{}", self.ids);
        self.append_as(&id, job, body)
    }

    /// Appends a record under `record_id`.
    pub fn append_as(&mut self, record_id: &str, job: JobId, body: Body) -> Folded {
        let record = record(job, body);
        let folded = self.jobs.fold(self.next, record_id, &record, MonoTime(self.next.0));
        self.next = self.next.next();
        folded
    }
}

pub fn record(job: JobId, body: Body) -> v1::JobRecord {
    v1::JobRecord { job_id: job.to_string(), body: Some(body) }
}

/// A batch job of one task that runs at most once.
pub fn spec() -> v1::JobSpec {
    v1::JobSpec {
        team: "brokers".into(),
        service: "match-svc".into(),
        kind: "sweep".into(),
        class: "batch".into(),
        tasks: 1,
        each: Some(v1::Amount { cpu_milli: 500, memory_mib: 256, accelerators: 0, slots: 1 }),
        checkpointable: true,
        payload: "parts=all".into(),
        ..Default::default()
    }
}

pub fn accepted(spec: v1::JobSpec, digest: &str) -> Body {
    Body::Accepted(v1::JobAccepted {
        spec: Some(spec),
        body_digest: digest.into(),
        entry: "entry-1".into(),
    })
}

/// An attempt with each task on the worker `w<index>`, held by `holder` with `epoch`.
pub fn attempt(number: u64, tasks: u32, holder: &str, epoch: u64) -> Body {
    let placements = (0..tasks)
        .map(|index| v1::Placement {
            index,
            worker: format!("w{index}"),
            worker_incarnation: 1,
            epoch,
            holder: holder.into(),
        })
        .collect();
    Body::Attempt(v1::JobAttempt {
        attempt: number,
        driver: holder.into(),
        driver_incarnation: 1,
        placements,
    })
}

/// The end of a task, with a result where it succeeded and a checkpoint where it wrote one.
pub fn ended(number: u64, index: u32, outcome: TaskOutcome, holder: &str, epoch: u64) -> Body {
    let text = |wanted: bool, text: String| if wanted { text } else { String::new() };
    Body::TaskEnded(v1::TaskEnded {
        attempt: number,
        index,
        outcome: outcome.into(),
        result: text(outcome == TaskOutcome::Succeeded, format!("result-{index}")),
        run_ms: 10,
        checkpoint: text(outcome == TaskOutcome::Checkpointed, format!("at-{number}-{index}")),
        holder: holder.into(),
        epoch,
        reason: String::new(),
    })
}

pub fn cancelled() -> Body {
    Body::Cancelled(v1::JobCancelled { actor: "desk".into() })
}

/// The driver gives the job up.
pub fn given_up() -> Body {
    Body::Ended(v1::JobEnded { reason: "no worker is large enough".into(), ..Default::default() })
}
