//! Calls of other entry instances.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use lilacpass_config::PeerKey;
use lilacpass_control::{
    Event,
    event::{PeerCall, PeerReply},
};
use lilacpass_schema::v1::{
    self,
    peer_server::{Peer, PeerServer},
};
use tokio::net::TcpListener;
use tonic::{
    Request, Response, Status,
    transport::{self, Server, server::TcpIncoming},
};

use crate::{control::EventSink, peers, replies::Replies};

/// Time between two pings to a caller, and the longest wait for the answer.
const PING: Duration = Duration::from_secs(2);

/// Calls of one peer at once. The library's default of 200 would hold up forwarded requests: each
/// lasts as long as its task.
const MAX_CALLS: u32 = 10_000;

/// Flow-control window of a peer, in bytes.
const WINDOW_BYTES: u32 = 4 * 1024 * 1024;

/// Answers of the state machine to calls of peers; the text is the reason of a refusal that had
/// no effect.
pub type PeerReplies = Replies<Result<PeerReply, String>>;

/// Takes calls of peers to the state machine.
#[derive(Clone, Debug)]
pub struct PeerService {
    sink: EventSink,
    replies: Arc<PeerReplies>,
    key: Option<PeerKey>,
    stats: Arc<PeerStats>,
}

/// Calls that were refused here, for the metrics page.
#[derive(Debug, Default)]
pub struct PeerStats {
    /// Calls without the right key.
    pub key_refused: AtomicU64,
}

impl PeerService {
    /// A service that takes only calls with `key`; without one, only calls from loopback.
    pub fn new(sink: EventSink, replies: Arc<PeerReplies>, key: Option<PeerKey>) -> Self {
        Self { sink, replies, key, stats: Arc::default() }
    }

    /// Calls that were refused here.
    pub fn stats(&self) -> &Arc<PeerStats> {
        &self.stats
    }

    /// Serves until `stop` ends, then finishes the calls under way.
    ///
    /// # Errors
    ///
    /// The listener failed.
    pub async fn serve(
        self,
        listener: TcpListener,
        stop: impl Future<Output = ()>,
    ) -> Result<(), transport::Error> {
        let server = PeerServer::new(self).max_decoding_message_size(peers::MAX_MESSAGE_BYTES);
        Server::builder()
            .http2_keepalive_interval(Some(PING))
            .http2_keepalive_timeout(Some(PING))
            .max_concurrent_streams(Some(MAX_CALLS))
            .initial_stream_window_size(Some(WINDOW_BYTES))
            .initial_connection_window_size(Some(WINDOW_BYTES))
            .add_service(server)
            .serve_with_incoming_shutdown(incoming(listener), stop)
            .await
    }

    /// Refused calls get a status that the other side takes for "had no effect".
    async fn call(&self, origin: Origin, call: PeerCall) -> Result<PeerReply, Status> {
        self.check_key(&origin)?;
        let mut waiter = self.replies.open();
        let event = Event::PeerRequest { reply: waiter.id(), request: call };
        if self.sink.offer(event).is_err() {
            return Err(Status::resource_exhausted("too many calls wait here"));
        }
        match waiter.answer().await {
            Some(Ok(reply)) => Ok(reply),
            Some(Err(reason)) => Err(Status::failed_precondition(reason)),
            None => Err(Status::aborted("shutting down")),
        }
    }

    fn check_key(&self, origin: &Origin) -> Result<(), Status> {
        let allowed = match &self.key {
            Some(key) => key.matches(&origin.key),
            None => origin.address.is_some_and(|address| address.ip().is_loopback()),
        };
        if allowed {
            return Ok(());
        }
        self.stats.key_refused.fetch_add(1, Ordering::Relaxed);
        Err(Status::unauthenticated("wrong key of entry instances"))
    }
}

fn incoming(listener: TcpListener) -> TcpIncoming {
    TcpIncoming::from(listener).with_nodelay(Some(true))
}

/// Where a call came from and what it showed.
struct Origin {
    address: Option<SocketAddr>,
    key: Vec<u8>,
}

fn split<T>(request: Request<T>) -> (Origin, T) {
    let address = request.remote_addr();
    let shown = request.metadata().get(peers::KEY_METADATA);
    let key = shown.map(|key| key.as_bytes().to_vec()).unwrap_or_default();
    (Origin { address, key }, request.into_inner())
}

fn mixed_up() -> Status {
    Status::internal("answer of another kind")
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn heartbeat(
        &self,
        request: Request<v1::HeartbeatRequest>,
    ) -> Result<Response<v1::HeartbeatRequest>, Status> {
        let (origin, call) = split(request);
        match self.call(origin, PeerCall::Heartbeat(call)).await? {
            PeerReply::Heartbeat(answer) => Ok(Response::new(answer)),
            _ => Err(mixed_up()),
        }
    }

    async fn forward(
        &self,
        request: Request<v1::ForwardRequest>,
    ) -> Result<Response<v1::ForwardAnswer>, Status> {
        let (origin, call) = split(request);
        match self.call(origin, PeerCall::Forward(call)).await? {
            PeerReply::Forward(answer) => Ok(Response::new(answer)),
            _ => Err(mixed_up()),
        }
    }

    async fn cancel_forward(
        &self,
        request: Request<v1::CancelForwardRequest>,
    ) -> Result<Response<v1::CancelForwardAnswer>, Status> {
        let (origin, call) = split(request);
        match self.call(origin, PeerCall::CancelForward(call)).await? {
            PeerReply::CancelForward => Ok(Response::new(v1::CancelForwardAnswer {})),
            _ => Err(mixed_up()),
        }
    }

    async fn hold(
        &self,
        request: Request<v1::HoldRequest>,
    ) -> Result<Response<v1::HoldAnswer>, Status> {
        let (origin, call) = split(request);
        match self.call(origin, PeerCall::Hold(call)).await? {
            PeerReply::Hold(answer) => Ok(Response::new(answer)),
            _ => Err(mixed_up()),
        }
    }

    async fn unhold(
        &self,
        request: Request<v1::UnholdRequest>,
    ) -> Result<Response<v1::UnholdAnswer>, Status> {
        let (origin, call) = split(request);
        match self.call(origin, PeerCall::Unhold(call)).await? {
            PeerReply::Unhold => Ok(Response::new(v1::UnholdAnswer {})),
            _ => Err(mixed_up()),
        }
    }

    async fn start_held(
        &self,
        request: Request<v1::StartHeldRequest>,
    ) -> Result<Response<v1::StartHeldAnswer>, Status> {
        let (origin, call) = split(request);
        match self.call(origin, PeerCall::StartHeld(call)).await? {
            PeerReply::StartHeld(answer) => Ok(Response::new(answer)),
            _ => Err(mixed_up()),
        }
    }

    async fn stop_tasks(
        &self,
        request: Request<v1::StopTasksRequest>,
    ) -> Result<Response<v1::StopTasksAnswer>, Status> {
        let (origin, call) = split(request);
        match self.call(origin, PeerCall::StopTasks(call)).await? {
            PeerReply::StopTasks => Ok(Response::new(v1::StopTasksAnswer {})),
            _ => Err(mixed_up()),
        }
    }

    async fn fetch_config(
        &self,
        request: Request<v1::FetchConfigRequest>,
    ) -> Result<Response<v1::FetchConfigAnswer>, Status> {
        let (origin, call) = split(request);
        match self.call(origin, PeerCall::FetchConfig(call)).await? {
            PeerReply::FetchConfig(answer) => Ok(Response::new(*answer)),
            _ => Err(mixed_up()),
        }
    }
}
