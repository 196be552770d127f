//! Takes HTTP requests to the state machine and its answers back.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use http::{HeaderValue, StatusCode, header, request::Parts};
use lilacpass_control::{
    Event,
    event::{Answer, Caller, Request, Role},
};
use lilacpass_core::{
    MonoTime,
    ids::{Incarnation, InstanceId, Revision},
};
use lilacpass_schema::v1;
use volo_http::{body::Body, response::Response};

use crate::{
    clock::{self, Clock},
    control::EventSink,
    http::{
        access::{Access, InForce, Refusal},
        action::Action,
        input::{self, InputLimits},
        problem::{self, BoxedProblem},
        respond,
    },
    metrics::Metrics,
    replies::{Replies, ReplyIds, Waiter},
};

/// Time beyond its deadline after which an answer is no longer waited for. The state machine
/// answers in time by itself; this bounds the wait should it not.
const GRACE: Duration = Duration::from_secs(2);

/// Longest wait for an answer that has no deadline of its own.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// What the front has to know.
#[derive(Debug)]
pub struct FrontOptions {
    /// This instance; part of request ids.
    pub instance: InstanceId,
    /// Start number of this process; part of request ids.
    pub incarnation: Incarnation,
    /// Clock of this process.
    pub clock: Clock,
    /// Bounds of what callers may send.
    pub limits: InputLimits,
    /// Token that counts as operator until the configuration has tokens.
    pub bootstrap_token: Option<String>,
}

/// The HTTP interface between connections and the state machine.
#[derive(Debug)]
pub struct Front {
    options: FrontOptions,
    sink: EventSink,
    callers: Arc<Replies<Answer>>,
    ids: ReplyIds,
    metrics: Arc<Metrics>,
    access: Access,
    in_force: Mutex<Option<Arc<InForce>>>,
    ready: AtomicBool,
    stopping: AtomicBool,
    next_request: AtomicU64,
}

impl Front {
    /// Not ready, and without a configuration.
    pub fn new(
        mut options: FrontOptions,
        sink: EventSink,
        callers: Arc<Replies<Answer>>,
        ids: ReplyIds,
        metrics: Arc<Metrics>,
    ) -> Self {
        let access = Access::new(options.bootstrap_token.take());
        Self {
            options,
            sink,
            callers,
            ids,
            metrics,
            access,
            in_force: Mutex::default(),
            ready: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            next_request: AtomicU64::new(1),
        }
    }

    /// Takes over a configuration that is in force from now on.
    pub fn set_in_force(&self, revision: Revision, configuration: Arc<v1::Configuration>) {
        let in_force = Arc::new(InForce { revision, configuration });
        *self.in_force.lock().unwrap_or_else(PoisonError::into_inner) = Some(in_force);
    }

    /// Takes over whether this instance can take traffic.
    pub fn set_ready(&self, ready: bool) {
        if self.ready.swap(ready, Ordering::Relaxed) != ready {
            log::info!(ready = ready; "readiness changed");
        }
    }

    /// Whether this instance can take traffic.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// From now on each answer asks the caller to connect anew, and so to another instance.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// All figures as text.
    pub fn metrics_text(&self) -> Response {
        match self.metrics.text() {
            Ok(text) => problem::text(StatusCode::OK, text),
            Err(error) => problem::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }

    /// Answers a request whose action is known.
    pub async fn answer(
        &self,
        action: Action,
        origin: SocketAddr,
        request: http::Request<Body>,
    ) -> Response {
        let arrived = self.options.clock.now();
        let request_id = self.request_id();
        let (parts, body) = request.into_parts();
        let answered = self.handle(action, origin, arrived, parts, body, &request_id).await;
        let response = answered.unwrap_or_else(|problem| self.refuse(problem, &request_id));
        let took = self.options.clock.now().since(arrived);
        self.metrics.answered(action.route(), response.status().as_u16(), took);
        self.finish(response, &request_id)
    }

    /// Answers a request that asks for nothing that exists.
    pub fn answer_unknown(&self, unknown: BoxedProblem) -> Response {
        let request_id = self.request_id();
        self.finish(self.refuse(unknown, &request_id), &request_id)
    }

    async fn handle(
        &self,
        action: Action,
        origin: SocketAddr,
        now: MonoTime,
        parts: Parts,
        body: Body,
        request_id: &str,
    ) -> Result<Response, BoxedProblem> {
        input::check_headers(&parts.headers)?;
        let in_force = self.in_force();
        let caller = self.caller(action, in_force.as_ref(), &parts, origin, now).await?;
        let in_force = in_force.unwrap_or_default();
        let limits = &self.options.limits;
        let body = match action.has_body() {
            true => input::read_body(&parts.headers, body, limits).await?,
            false => bytes::Bytes::new(),
        };
        let request = input::request(action, &parts, &body, &in_force, limits)?;
        let role = caller.role;
        let answer = self.ask(caller, request, action).await?;
        Ok(respond::answer(action, role, answer, request_id))
    }

    async fn caller(
        &self,
        action: Action,
        in_force: Option<&Arc<InForce>>,
        parts: &Parts,
        origin: SocketAddr,
        now: MonoTime,
    ) -> Result<Caller, BoxedProblem> {
        let headers = &parts.headers;
        let found = match in_force {
            Some(in_force) => {
                let now_unix_s = clock::unix_ms() / 1_000;
                self.access.caller(in_force, headers, origin, now, now_unix_s).await
            }
            None => self.access.early_caller(action, headers, origin, now),
        };
        let caller = found.map_err(|refusal| {
            let unknown = nobody(origin);
            self.note_refusal(action, unknown, refusal)
        })?;
        match self.access.check_role(&caller, action, origin, now) {
            Ok(()) => Ok(caller),
            Err(refusal) => Err(self.note_refusal(action, caller, refusal)),
        }
    }

    /// Has a refused try written to the audit trail; nobody waits for that.
    fn note_refusal(&self, action: Action, caller: Caller, refusal: Refusal) -> BoxedProblem {
        if refusal.audited {
            let request = Request::Refused {
                action: action.route().to_owned(),
                detail: refusal.problem.detail.clone(),
            };
            let reply = self.ids.next();
            // Left out where the control thread is overloaded; the counter of refusals remains.
            let _ = self.sink.offer(Event::Request { reply, caller, request });
        }
        refusal.problem
    }

    /// Hands a request to the state machine and waits for the answer. When the caller goes away
    /// this future is dropped, and the state machine is told.
    async fn ask(
        &self,
        caller: Caller,
        request: Request,
        action: Action,
    ) -> Result<Answer, BoxedProblem> {
        let timeout = patience(&request);
        let mut pending = Pending::new(self);
        let reply = pending.waiter.id();
        if self.sink.offer(Event::Request { reply, caller, request }).is_err() {
            return Err(respond::overloaded());
        }
        pending.handed = true;
        let answer = tokio::time::timeout(timeout, pending.waiter.answer()).await;
        match answer {
            Ok(Some(answer)) => {
                pending.handed = false;
                Ok(answer)
            }
            Ok(None) | Err(_) => Err(respond::no_answer(action)),
        }
    }

    fn refuse(&self, problem: BoxedProblem, request_id: &str) -> Response {
        self.metrics.refused(u16::try_from(problem.status).unwrap_or_default());
        problem::response(problem, request_id)
    }

    /// Adds what each response carries.
    fn finish(&self, mut response: Response, request_id: &str) -> Response {
        let headers = response.headers_mut();
        if let Ok(value) = HeaderValue::from_str(request_id) {
            headers.insert(problem::REQUEST_ID, value);
        }
        if self.stopping.load(Ordering::Relaxed) {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn in_force(&self) -> Option<Arc<InForce>> {
        self.in_force.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn request_id(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{}-{number}", self.options.instance, self.options.incarnation)
    }
}

/// A request that the state machine may have; when dropped without an answer, since the caller
/// went away or the time was over, the state machine is told that nobody waits any more.
struct Pending<'a> {
    waiter: Waiter<Answer>,
    sink: &'a EventSink,
    handed: bool,
}

impl<'a> Pending<'a> {
    fn new(front: &'a Front) -> Self {
        Self { waiter: front.callers.open(), sink: &front.sink, handed: false }
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if self.handed {
            self.sink.send_detached(Event::Gone { reply: self.waiter.id() });
        }
    }
}

fn patience(request: &Request) -> Duration {
    match request {
        Request::Quick(quick) => quick.deadline + GRACE,
        Request::WaitJob(_, wait) => *wait + GRACE,
        _ => ANSWER_TIMEOUT,
    }
}

fn nobody(origin: SocketAddr) -> Caller {
    let name = "anonymous".to_owned();
    Caller { name, role: Role::ReadOnly, team: None, origin: Some(origin) }
}
