//! A worker that answers as a test tells it to, and a forwarder that can go silent.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

use lilacpass_schema::v1::{
    self,
    worker_server::{Worker, WorkerServer},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use tonic::{Request, Response, Status, transport::server::TcpIncoming};

type Answer = Result<v1::RunAnswer, Status>;

/// How a fake worker answers quick requests; `None` never answers.
pub type Behaviour = fn(v1::RunRequest) -> Option<Answer>;

/// A worker that runs inside the test.
#[derive(Clone)]
pub struct FakeWorker {
    pub calls: Arc<AtomicUsize>,
    behaviour: Behaviour,
}

impl FakeWorker {
    /// Starts a worker on a free port.
    pub async fn start(behaviour: Behaviour) -> (Self, SocketAddr) {
        let worker = Self { calls: Arc::default(), behaviour };
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let server = tonic::transport::Server::builder()
            .add_service(WorkerServer::new(worker.clone()))
            .serve_with_incoming(TcpIncoming::from(listener));
        tokio::spawn(server);
        (worker, address)
    }

    /// Number of calls that arrived.
    pub fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }
}

/// Runs the request and answers whole.
pub fn echo(request: v1::RunRequest) -> Option<Answer> {
    Some(Ok(v1::RunAnswer {
        task: request.task,
        verdict: v1::Verdict::Ran.into(),
        outcome: v1::TaskOutcome::Succeeded.into(),
        result_bytes: request.payload.len() as u64,
        result: request.payload,
        run_ms: 1,
    }))
}

#[tonic::async_trait]
impl Worker for FakeWorker {
    async fn run(
        &self,
        request: Request<v1::RunRequest>,
    ) -> Result<Response<v1::RunAnswer>, Status> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        match (self.behaviour)(request.into_inner()) {
            Some(answer) => answer.map(Response::new),
            None => std::future::pending().await,
        }
    }

    async fn start(
        &self,
        _request: Request<v1::StartTaskRequest>,
    ) -> Result<Response<v1::StartTaskAnswer>, Status> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        std::future::pending().await
    }

    async fn renew(
        &self,
        _request: Request<v1::RenewTasksRequest>,
    ) -> Result<Response<v1::RenewTasksAnswer>, Status> {
        Ok(Response::new(v1::RenewTasksAnswer::default()))
    }

    async fn control(
        &self,
        _request: Request<v1::ControlTaskRequest>,
    ) -> Result<Response<v1::ControlTaskAnswer>, Status> {
        Ok(Response::new(v1::ControlTaskAnswer::default()))
    }

    async fn report(
        &self,
        _request: Request<v1::ReportRequest>,
    ) -> Result<Response<v1::ReportAnswer>, Status> {
        Ok(Response::new(v1::ReportAnswer::default()))
    }
}

/// Forwards TCP connections; those that were open when it is silenced swallow everything from
/// then on, while new ones work.
#[derive(Debug)]
pub struct Forwarder {
    pub address: SocketAddr,
    pub connections: Arc<AtomicUsize>,
    silence: std::sync::Mutex<Arc<AtomicBool>>,
}

impl Forwarder {
    /// Starts to forward to `to`.
    pub async fn start(to: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let forwarder = Arc::new(Self {
            address: listener.local_addr().expect("address"),
            connections: Arc::default(),
            silence: std::sync::Mutex::default(),
        });
        let accepting = forwarder.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                accepting.connections.fetch_add(1, Ordering::SeqCst);
                let server = TcpStream::connect(to).await.expect("connect");
                let silent = accepting.silence.lock().expect("lock").clone();
                let (client_read, client_write) = client.into_split();
                let (server_read, server_write) = server.into_split();
                tokio::spawn(copy(client_read, server_write, silent.clone()));
                tokio::spawn(copy(server_read, client_write, silent));
            }
        });
        forwarder
    }

    /// Silences all connections that are open now.
    pub fn silence(&self) {
        let silent = std::mem::take(&mut *self.silence.lock().expect("lock"));
        silent.store(true, Ordering::SeqCst);
    }

    /// Number of connections made so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}

async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    silent: Arc<AtomicBool>,
) {
    let mut buffer = [0; 4096];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        if !silent.load(Ordering::SeqCst) && to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
