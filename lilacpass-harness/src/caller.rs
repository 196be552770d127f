//! A caller behind the platform's balancer: sends work, retries what may be retried, notes all.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use lilacpass_core::Verdict;
use lilacpass_schema::v1;
use lilacpass_standin::Payload;
use tokio::time::{self, Instant};

use crate::{
    client::{Api, Reply},
    ledger::{self, CallNote, EntryKey, JobEnd, JobKind, JobNote, Ledger, QuickNote, RequestEnd},
};

/// Most times that a caller sends one quick request.
const MAX_QUICK_TRIES: u32 = 6;
/// Pause before another try where the answer names none.
const DEFAULT_RETRY: Duration = Duration::from_millis(100);
/// Longest pause before another try, whatever the answer says.
const MAX_RETRY: Duration = Duration::from_secs(2);
/// Wait of one call that follows a job.
const JOB_WAIT: Duration = Duration::from_secs(3);
/// States that a job does not leave again.
const END_STATES: [&str; 4] = ["succeeded", "failed", "cancelled", "may_have_run"];

/// The platform's balancer: entry instances that take traffic, in turn.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    targets: Arc<Mutex<Vec<(EntryKey, SocketAddr)>>>,
    next: Arc<AtomicUsize>,
}

impl Balancer {
    /// Replaces the list.
    pub fn set_targets(&self, targets: Vec<(EntryKey, SocketAddr)>) {
        *self.targets.lock().unwrap_or_else(PoisonError::into_inner) = targets;
    }

    /// The next entry instance.
    pub fn pick(&self) -> Option<(EntryKey, SocketAddr)> {
        let targets = self.targets.lock().unwrap_or_else(PoisonError::into_inner);
        let next = self.next.fetch_add(1, Ordering::Relaxed);
        targets.get(next % targets.len().max(1)).cloned()
    }

    /// All entry instances that take traffic.
    pub fn targets(&self) -> Vec<(EntryKey, SocketAddr)> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// A caller; a clone is another handle of the same one.
#[derive(Clone)]
pub struct Caller {
    /// Client with the token of the team.
    pub api: Api,
    /// Where requests go.
    pub balancer: Balancer,
    /// Notes of the run.
    pub ledger: Ledger,
}

impl Caller {
    /// Sends a quick request until it is answered, must not be sent again, or `deadline` is over.
    ///
    /// Each try is a request of its own, with a payload id and key of its own. Only where a request
    /// that must not run twice got no answer at all it is sent again as it was, under its old key.
    pub async fn quick(&self, spec: &v1::JobSpec, deadline: Duration) -> RequestEnd {
        let give_up_at = Instant::now() + deadline;
        let base = Payload::parse(&spec.payload);
        let mut end = RequestEnd::Broken("no entry instance takes traffic".to_owned());
        let mut repeated: Option<Payload> = None;
        for attempt in 1..=MAX_QUICK_TRIES {
            let left = give_up_at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let is_repeat = repeated.is_some();
            let payload = repeated.take().unwrap_or_else(|| Payload {
                id: format!("{}.{attempt}", base.id),
                ..base.clone()
            });
            let mut pause = DEFAULT_RETRY;
            end = self.quick_once(spec, &payload, left, &mut pause).await;
            let is_unknown = match &end {
                RequestEnd::Broken(_) => true,
                // A refusal of the repeat says nothing about the first.
                RequestEnd::Refused(Verdict::NotRun, _) => is_repeat,
                RequestEnd::Answered(_) | RequestEnd::Refused(..) => false,
            };
            if is_unknown {
                end = weaken(end);
            }
            if is_unknown && !spec.idempotent {
                repeated = Some(payload);
            } else {
                self.note_quick(spec, &payload, &end);
                if !may_retry(spec, &end) {
                    return end;
                }
            }
            time::sleep(pause.min(MAX_RETRY)).await;
        }
        if let Some(payload) = repeated {
            self.note_quick(spec, &payload, &end);
        }
        end
    }

    fn note_quick(&self, spec: &v1::JobSpec, payload: &Payload, end: &RequestEnd) {
        self.ledger.notes().quick.push(QuickNote {
            id: payload.id.clone(),
            expected: payload.expected_result(),
            idempotent: spec.idempotent,
            end: end.clone(),
        });
    }

    async fn quick_once(
        &self,
        spec: &v1::JobSpec,
        payload: &Payload,
        deadline: Duration,
        pause: &mut Duration,
    ) -> RequestEnd {
        let Some((entry, to)) = self.balancer.pick() else {
            return RequestEnd::Broken("no entry instance takes traffic".to_owned());
        };
        let spec = v1::JobSpec { payload: payload.to_string(), ..spec.clone() };
        let sent_unix_ms = ledger::unix_ms();
        let reply = self.api.quick(to, &spec, &payload.id, deadline).await;
        self.note_call(entry, sent_unix_ms, &reply);
        match reply {
            Reply::Done(answer) => RequestEnd::Answered(answer.result),
            Reply::Problem(problem) => {
                if problem.retry_after_ms > 0 {
                    *pause = Duration::from_millis(problem.retry_after_ms);
                }
                refused(&problem)
            }
            Reply::Broken(detail) => RequestEnd::Broken(detail),
        }
    }

    /// Submits a job, again under the same key until it is accepted or `limit` is over. Returns its
    /// id.
    pub async fn submit(
        &self,
        kind: JobKind,
        spec: &v1::JobSpec,
        limit: Duration,
    ) -> Option<String> {
        let payload = Payload::parse(&spec.payload);
        let id = payload.id.clone();
        self.ledger.notes().jobs.insert(
            id.clone(),
            JobNote {
                kind,
                expected: payload.expected_result(),
                idempotent: spec.idempotent,
                tasks: spec.tasks,
                job_id: None,
                may_be_accepted: false,
                end: None,
            },
        );
        let give_up_at = Instant::now() + limit;
        while Instant::now() < give_up_at {
            let Some((entry, to)) = self.balancer.pick() else {
                time::sleep(DEFAULT_RETRY).await;
                continue;
            };
            let sent_unix_ms = ledger::unix_ms();
            let reply = self.api.submit(to, spec, &id).await;
            self.note_call(entry, sent_unix_ms, &reply);
            let mut pause = DEFAULT_RETRY;
            match reply {
                Reply::Done(view) => {
                    self.ledger.with_job(&id, |job| job.job_id = Some(view.job_id.clone()));
                    return Some(view.job_id);
                }
                Reply::Problem(problem) => {
                    let said_not_run = problem.verdict == Verdict::NotRun.as_str();
                    self.ledger.with_job(&id, |job| job.may_be_accepted |= !said_not_run);
                    if problem.retry_after_ms == 0 && is_client_error(problem.status) {
                        return None;
                    }
                    pause = pause.max(Duration::from_millis(problem.retry_after_ms));
                }
                Reply::Broken(_) => self.ledger.with_job(&id, |job| job.may_be_accepted = true),
            }
            time::sleep(pause.min(MAX_RETRY)).await;
        }
        None
    }

    /// Follows a job to its end, at most for `limit`.
    pub async fn follow(&self, id: &str, job_id: &str, limit: Duration) -> Option<JobEnd> {
        let give_up_at = Instant::now() + limit;
        while Instant::now() < give_up_at {
            let Some((entry, to)) = self.balancer.pick() else {
                time::sleep(DEFAULT_RETRY).await;
                continue;
            };
            let wait = give_up_at.saturating_duration_since(Instant::now()).min(JOB_WAIT);
            let sent_unix_ms = ledger::unix_ms();
            let reply = self.api.wait_job(to, job_id, wait).await;
            self.note_call(entry, sent_unix_ms, &reply);
            match reply {
                Reply::Done(view) if END_STATES.contains(&view.state.as_str()) => {
                    let end = JobEnd {
                        state: view.state,
                        verdict: view.verdict,
                        result: view.result,
                        reason: view.reason,
                    };
                    self.ledger.with_job(id, |job| job.end = Some(end.clone()));
                    return Some(end);
                }
                Reply::Done(_) => {}
                Reply::Problem(_) | Reply::Broken(_) => time::sleep(DEFAULT_RETRY).await,
            }
        }
        None
    }

    /// Submits a job and follows it to its end.
    pub async fn run_job(
        &self,
        kind: JobKind,
        spec: &v1::JobSpec,
        limit: Duration,
    ) -> Option<JobEnd> {
        let give_up_at = Instant::now() + limit;
        let job_id = self.submit(kind, spec, limit).await?;
        let left = give_up_at.saturating_duration_since(Instant::now());
        self.follow(&Payload::parse(&spec.payload).id, &job_id, left).await
    }

    /// Cancels a job, again until that is accepted or `limit` is over.
    pub async fn cancel(&self, job_id: &str, limit: Duration) -> bool {
        let give_up_at = Instant::now() + limit;
        while Instant::now() < give_up_at {
            if let Some((entry, to)) = self.balancer.pick() {
                let sent_unix_ms = ledger::unix_ms();
                let reply = self.api.cancel(to, job_id).await;
                self.note_call(entry, sent_unix_ms, &reply);
                if matches!(reply, Reply::Done(_)) {
                    return true;
                }
            }
            time::sleep(DEFAULT_RETRY).await;
        }
        false
    }

    fn note_call<T>(&self, entry: EntryKey, sent_unix_ms: u64, reply: &Reply<T>) {
        let broken = match reply {
            Reply::Broken(detail) => Some(detail.clone()),
            Reply::Done(_) | Reply::Problem(_) => None,
        };
        let ended_unix_ms = ledger::unix_ms();
        self.ledger.notes().calls.push(CallNote { entry, sent_unix_ms, ended_unix_ms, broken });
    }
}

/// The end of a request that was sent before without an answer.
fn weaken(end: RequestEnd) -> RequestEnd {
    match end {
        RequestEnd::Refused(Verdict::NotRun, detail) => {
            RequestEnd::Refused(Verdict::MayHaveRun, detail)
        }
        other => other,
    }
}

fn may_retry(spec: &v1::JobSpec, end: &RequestEnd) -> bool {
    match end {
        RequestEnd::Answered(_) | RequestEnd::Refused(Verdict::Ran, _) => false,
        RequestEnd::Refused(Verdict::NotRun, _) => true,
        RequestEnd::Refused(Verdict::MayHaveRun, _) | RequestEnd::Broken(_) => spec.idempotent,
    }
}

/// The end of a request by its problem document; one without a readable verdict proves nothing.
fn refused(problem: &v1::Problem) -> RequestEnd {
    let verdict = problem.verdict.parse().unwrap_or(Verdict::MayHaveRun);
    RequestEnd::Refused(verdict, format!("{} {}", problem.status, problem.detail))
}

fn is_client_error(status: u32) -> bool {
    const TOO_MANY_REQUESTS: u32 = 429;
    (400..500).contains(&status) && status != TOO_MANY_REQUESTS
}
