//! A leader whose calls are answered by the test itself.

use lilacpass_core::{Resources, Verdict};
use lilacpass_jobs::{Job, JobKey, TaskName, WorkerName};
use lilacpass_lead::{
    Effect, Event, Leader, Now, Options,
    event::{CallError, PollResponse, Registration, ReportedEnd, ReportedRun, Request, RequestId},
};
use lilacpass_schema::v1;

use super::{plan, queue};

/// A leader with a few workers, whose calls are answered by the test.
pub struct LeaderFixture {
    pub leader: Leader,
    pub now_ms: u64,
}

impl LeaderFixture {
    pub fn new(workers: &[&str]) -> Self {
        let mut fixture = Self::with_jobs(Vec::new());
        for name in workers {
            fixture.leader.handle(Event::WorkerRegistered(registration(*name)), fixture.now());
            fixture.poll_answered(*name, &[], &[]);
        }
        fixture
    }

    /// A leader that has taken over these jobs.
    pub fn with_jobs(jobs: Vec<Job>) -> Self {
        Self { leader: Leader::new(Options::default(), jobs, Now::default()), now_ms: 1_000 }
    }

    pub fn now(&self) -> Now {
        Now { steady_ms: self.now_ms, unix_ms: self.now_ms }
    }

    /// Delivers an event, and stores at once what the leader appends. Returns the effects.
    pub fn handle(&mut self, event: Event) -> Vec<Effect> {
        self.now_ms += 1;
        let now = self.now();
        self.leader.handle(event, now);
        let mut effects = self.leader.finish(now);
        // All records are stored at once.
        if effects.iter().any(|effect| matches!(effect, Effect::Append(_))) {
            self.leader.handle(Event::Appended, now);
            effects.extend(self.leader.finish(now));
        }
        effects
    }

    /// Delivers the response of a worker to a poll.
    pub fn poll_answered(
        &mut self,
        name: impl Into<WorkerName>,
        running: &[(TaskName, u32)],
        ends: &[ReportedEnd],
    ) -> Vec<Effect> {
        self.answer_poll(name.into(), false, running, ends)
    }

    /// Delivers the response of a worker to an extra poll.
    pub fn extra_poll_answered(&mut self, name: impl Into<WorkerName>) -> Vec<Effect> {
        self.answer_poll(name.into(), true, &[], &[])
    }

    fn answer_poll(
        &mut self,
        worker: WorkerName,
        extra: bool,
        running: &[(TaskName, u32)],
        ends: &[ReportedEnd],
    ) -> Vec<Effect> {
        let running = running
            .iter()
            .map(|(task, run)| ReportedRun {
                task: *task,
                run: *run,
                checkpoint: String::new(),
                percent: 10,
                gauge: 0,
            })
            .collect();
        let response = PollResponse {
            worker_started_ms: worker.started_ms(),
            clock_ms: self.now_ms,
            running,
            ends: ends.to_vec(),
            remaining_ms: None,
        };
        let sent_ms = self.now_ms;
        self.handle(Event::Polled { worker, sent_ms, extra, result: Ok(response) })
    }

    /// Delivers the failure of a poll.
    pub fn poll_failed(&mut self, name: impl Into<WorkerName>) -> Vec<Effect> {
        let worker = name.into();
        let sent_ms = self.now_ms;
        let result = Err(CallError::Failed(Verdict::MayHaveRun));
        self.handle(Event::Polled { worker, sent_ms, extra: false, result })
    }

    pub fn submit(&mut self, key: u64, steps: &[v1::WorkStep]) -> Vec<Effect> {
        self.handle(submission(key, steps))
    }
}

/// The submission of a job of a public queue.
pub fn submission(key: u64, steps: &[v1::WorkStep]) -> Event {
    let request = Request::Submit {
        job: JobKey(key),
        plan: plan(steps),
        queue: queue("quick", 0),
        account: None,
    };
    Event::Request { request_id: RequestId(key), request }
}

pub fn registration(name: impl Into<WorkerName>) -> Registration {
    let name = name.into();
    Registration {
        address: format!("{}:80", name.id()),
        name,
        data_centre: "here".to_owned(),
        service: "pool".to_owned(),
        capacity: Resources::new(8_000, 1_000, 0, 0),
        labels: vec!["a".to_owned(), "r-1".to_owned()],
        draining: false,
    }
}

pub fn starts(effects: &[Effect]) -> Vec<(WorkerName, TaskName, u32)> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Start { worker, task, run, .. } => Some((worker.clone(), *task, *run)),
            _ => None,
        })
        .collect()
}
