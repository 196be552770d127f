//! Calls to workers: typed requests in, verdicts out.
//!
//! This is the only module that knows the workers' protocol.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use lilacpass_control::event::{CallFailure, WorkerCall, WorkerReply};
use lilacpass_core::{MonoTime, ids::WorkerId};
use lilacpass_schema::v1::{self, worker_client::WorkerClient};
use tokio::time::{Instant, timeout_at};
use tonic::Status;

use crate::link::{CallTrace, Link, LinkOptions, Pool, connection::CallService, failure};

/// Largest answer of a worker that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// What went wrong with calls to workers, for the metrics page.
#[derive(Debug, Default)]
pub struct WorkerStats {
    /// Answers dropped since they belong to another task or are not whole.
    pub answers_broken: AtomicU64,
    /// Connections replaced since they had gone silent.
    pub links_replaced: AtomicU64,
    /// Connections reset after a start got no answer in time.
    pub links_aborted: AtomicU64,
}

/// The end of a call to a worker.
#[derive(Debug)]
pub struct WorkerDone {
    /// When the call was handed to the connection, or when it was given up before.
    pub sent_at: MonoTime,
    /// The answer, or why there is none.
    pub result: Result<WorkerReply, CallFailure>,
}

/// One call to a worker.
#[derive(Debug)]
pub struct WorkerOrder {
    /// The worker.
    pub to: WorkerId,
    /// Its address.
    pub address: SocketAddr,
    /// What to call.
    pub request: WorkerCall,
    /// Time after which the call is given up, connecting included.
    pub timeout: Duration,
    /// No byte of the call leaves after this moment.
    pub not_after: MonoTime,
}

/// Connections to workers, one per worker.
#[derive(Debug)]
pub struct Workers {
    pool: Pool<WorkerId>,
    stats: Arc<WorkerStats>,
}

impl Workers {
    /// No connections yet.
    pub fn new(options: LinkOptions) -> Self {
        Self { pool: Pool::new(options), stats: Arc::default() }
    }

    /// What went wrong so far.
    pub fn stats(&self) -> &Arc<WorkerStats> {
        &self.stats
    }

    /// Number of workers that this instance keeps a connection to.
    pub fn connections(&self) -> usize {
        self.pool.len()
    }

    /// Forgets the connection to a worker that is no longer held.
    pub fn close(&self, worker: &WorkerId) {
        self.pool.close(worker);
    }

    /// Calls a worker.
    pub async fn call(&self, order: WorkerOrder) -> WorkerDone {
        let clock = self.pool.options().clock;
        if clock.now() > order.not_after {
            return WorkerDone { sent_at: clock.now(), result: Err(failure::lapsed()) };
        }
        let deadline = Instant::now() + order.timeout;
        let trace = Arc::new(CallTrace::default());
        let result = self.connect_and_send(order, deadline, &trace).await;
        WorkerDone { sent_at: trace.handed_at().unwrap_or_else(|| clock.now()), result }
    }

    async fn connect_and_send(
        &self,
        order: WorkerOrder,
        deadline: Instant,
        trace: &Arc<CallTrace>,
    ) -> Result<WorkerReply, CallFailure> {
        let WorkerOrder { to, address, request, not_after, .. } = order;
        let link = timeout_at(deadline, self.pool.get(to.clone(), address))
            .await
            .map_err(|_| failure::connect("no connection in time"))?
            .map_err(failure::connect)?;
        let is_start = matches!(request, WorkerCall::Start(_));
        let service = link.service(trace.clone(), Some(not_after));
        match timeout_at(deadline, send(&link, service, request)).await {
            Ok(Ok(reply)) => self.check(reply),
            Ok(Err(status)) => Err(failure::status(&status, trace)),
            Err(_) => {
                self.after_timeout(&to, &link, trace, is_start).await;
                Err(failure::timeout(trace))
            }
        }
    }

    /// Keeps later calls off a connection that may have gone silent.
    ///
    /// After a start without answer the connection is also reset. Otherwise the kernel could
    /// still deliver the start once a cut has healed, when the worker belongs to another holder.
    async fn after_timeout(
        &self,
        worker: &WorkerId,
        link: &Arc<Link>,
        trace: &CallTrace,
        is_start: bool,
    ) {
        let Some(handed_at) = trace.handed_at() else { return };
        if is_start {
            link.abort();
            self.stats.links_aborted.fetch_add(1, Ordering::Relaxed);
        } else if link.heard_since(handed_at) {
            return;
        }
        self.stats.links_replaced.fetch_add(1, Ordering::Relaxed);
        self.pool.retire(worker, link).await;
    }

    fn check(&self, reply: CheckedReply) -> Result<WorkerReply, CallFailure> {
        match reply.fault {
            None => Ok(reply.reply),
            Some(fault) => {
                self.stats.answers_broken.fetch_add(1, Ordering::Relaxed);
                Err(failure::broken(fault))
            }
        }
    }
}

/// An answer together with what is wrong with it.
struct CheckedReply {
    reply: WorkerReply,
    fault: Option<&'static str>,
}

async fn send(
    link: &Link,
    service: CallService,
    request: WorkerCall,
) -> Result<CheckedReply, Status> {
    let mut client = WorkerClient::with_origin(service, link.origin())
        .max_decoding_message_size(MAX_ANSWER_BYTES);
    let sound = |reply| CheckedReply { reply, fault: None };
    match request {
        WorkerCall::Run(request) => {
            let task = request.task.clone();
            let answer = client.run(request).await?.into_inner();
            let fault = run_fault(task.as_ref(), &answer);
            Ok(CheckedReply { reply: WorkerReply::Run(answer), fault })
        }
        WorkerCall::Start(request) => {
            Ok(sound(WorkerReply::Start(client.start(request).await?.into_inner())))
        }
        WorkerCall::Renew(request) => {
            Ok(sound(WorkerReply::Renew(client.renew(request).await?.into_inner())))
        }
        WorkerCall::Control(request) => {
            Ok(sound(WorkerReply::Control(client.control(request).await?.into_inner())))
        }
        WorkerCall::Report(request) => {
            // The state machine checks reported results task by task: a cut one must not hide
            // what else the report says.
            Ok(sound(WorkerReply::Report(client.report(request).await?.into_inner())))
        }
    }
}

fn run_fault(task: Option<&v1::TaskKey>, answer: &v1::RunAnswer) -> Option<&'static str> {
    if answer.task.as_ref() != task {
        return Some("answer belongs to another task");
    }
    let ran = answer.verdict() == v1::Verdict::Ran;
    let whole = answer.result.len() as u64 == answer.result_bytes;
    (ran && !whole).then_some("answer is not whole")
}
