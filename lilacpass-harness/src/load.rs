//! Open-loop load of unlike work.

use std::{sync::Arc, time::Duration};

use lilacpass_schema::v1;
use lilacpass_standin::Payload;
use tokio::{
    task::JoinSet,
    time::{self, Instant, MissedTickBehavior},
};

use crate::{
    caller::Caller,
    deployment::Deployment,
    ledger::{JobKind, RequestEnd},
};

/// Longest run time of quick requests where nothing else is wanted.
pub const QUICK_RUN: Duration = Duration::from_millis(50);
/// Deadline of a quick request.
pub const QUICK_DEADLINE: Duration = Duration::from_secs(5);

/// Quick requests at a constant rate.
#[derive(Clone, Copy, Debug)]
pub struct QuickLoad {
    /// Whose work it is.
    pub deployment: Deployment,
    /// Requests a second.
    pub per_second: u32,
    /// One in this many must run at most once; 0 for none.
    pub alert_every: u32,
    /// For how long requests are sent.
    pub duration: Duration,
    /// Longest run time; requests run a fifth of it, two fifths and so on in turn.
    pub longest_run: Duration,
}

/// How quick requests ended for their callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuickTally {
    /// Asked for.
    pub asked: u32,
    /// Answered with the caller's own whole result.
    pub answered: u32,
}

impl QuickLoad {
    /// Sends the load; a request is sent at its time, however many are under way.
    pub async fn run(self, caller: Caller) -> QuickTally {
        let mut requests = JoinSet::new();
        let count = self.per_second * u32::try_from(self.duration.as_secs()).unwrap_or(u32::MAX);
        let mut ticks = time::interval(Duration::from_secs(1) / self.per_second.max(1));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        for number in 0..count {
            ticks.tick().await;
            let is_alert = self.alert_every > 0 && number % self.alert_every == 0;
            requests.spawn(send_quick(self, caller.clone(), number, is_alert));
        }
        let ends = requests.join_all().await;
        let answered = ends.iter().filter(|whole| **whole).count();
        QuickTally { asked: count, answered: u32::try_from(answered).unwrap_or(u32::MAX) }
    }
}

/// Sends one quick request; whether it got its own whole result.
async fn send_quick(load: QuickLoad, caller: Caller, number: u32, is_alert: bool) -> bool {
    let deployment = load.deployment;
    let kind = if is_alert { "alert" } else { "quick" };
    let run = load.longest_run * (number % 5 + 1) / 5;
    let payload = Payload { id: format!("{kind}-{number}"), run: Some(run), ..Payload::default() };
    let spec = match is_alert {
        true => deployment.alert(&payload.to_string()),
        false => deployment.quick(&payload.to_string()),
    };
    match caller.quick(&spec, QUICK_DEADLINE).await {
        RequestEnd::Answered(result) => {
            result.ends_with(&payload.expected_result()[payload.id.len()..])
        }
        RequestEnd::Refused(..) | RequestEnd::Broken(_) => false,
    }
}

/// Jobs at a constant rate.
pub struct JobLoad {
    /// Time between two jobs.
    pub interval: Duration,
    /// For how long jobs are submitted.
    pub duration: Duration,
    /// How long each is followed at most after the last was submitted.
    pub settle: Duration,
    /// The job with a number: its kind and what it runs.
    pub make: Arc<dyn Fn(u32) -> (JobKind, v1::JobSpec) + Send + Sync>,
}

impl JobLoad {
    /// Submits jobs and follows each to its end.
    pub async fn run(self, caller: Caller) {
        let started = Instant::now();
        let give_up_at = started + self.duration + self.settle;
        let mut jobs = JoinSet::new();
        let mut ticks = time::interval(self.interval);
        let mut number = 0;
        while started.elapsed() < self.duration {
            ticks.tick().await;
            let (kind, spec) = (self.make)(number);
            number += 1;
            jobs.spawn(run_job(caller.clone(), kind, spec, give_up_at));
        }
        jobs.join_all().await;
    }
}

async fn run_job(caller: Caller, kind: JobKind, spec: v1::JobSpec, give_up_at: Instant) {
    let left = || give_up_at.saturating_duration_since(Instant::now());
    match kind {
        JobKind::Cancelled => cancel_job(caller, spec, left).await,
        JobKind::Long | JobKind::Gang | JobKind::Watcher => {
            caller.run_job(kind, &spec, left()).await;
        }
    }
}

/// Submits a job and cancels it a moment later.
async fn cancel_job(caller: Caller, spec: v1::JobSpec, left: impl Fn() -> Duration) {
    const BEFORE_CANCEL: Duration = Duration::from_millis(700);
    let Some(job_id) = caller.submit(JobKind::Cancelled, &spec, left()).await else {
        return;
    };
    time::sleep(BEFORE_CANCEL).await;
    caller.cancel(&job_id, left()).await;
    caller.follow(&Payload::parse(&spec.payload).id, &job_id, left()).await;
}
