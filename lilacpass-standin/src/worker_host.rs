//! Any number of workers in one process, each on a port of its own, and the control of their faults.

use std::{
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use lilacpass_core::Resources;
use lilacpass_schema::v1::{self, worker_control_server, worker_server};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
    time,
};
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::{Request, Response, Status, transport::Server};

use crate::{
    clock::Clock,
    connection::{ConnectionFaults, FaultyStream},
    worker::Worker,
    worker_service::{Served, WorkerService},
};

/// Connections that a worker takes where its inventory entry names none.
const DEFAULT_CONNECTIONS: u64 = 64;
/// Accepted connections that wait to be served.
const ACCEPT_QUEUE: usize = 64;
/// Time between two tries to listen on the old port again.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// A hosted worker.
#[derive(Clone, Debug)]
pub struct HostedWorker {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// The workers of one process.
#[derive(Clone, Debug)]
pub struct WorkerHost {
    workers: Arc<HashMap<String, Hosted>>,
}

#[derive(Debug)]
struct Hosted {
    service: Arc<WorkerService>,
    dead: watch::Sender<bool>,
}

impl WorkerHost {
    /// Starts all workers. Those without a fixed port get a free one on `ip`.
    pub async fn start(
        ip: IpAddr,
        specs: &[v1::WorkerSpec],
        seed: u64,
    ) -> io::Result<(Self, Vec<HostedWorker>)> {
        let clock = Clock::start();
        let mut workers = HashMap::new();
        let mut hosted_workers = Vec::new();
        for (index, spec) in specs.iter().enumerate() {
            let address = spec.address.parse().unwrap_or(SocketAddr::new(ip, 0));
            let listener = TcpListener::bind(address).await?;
            let address = listener.local_addr()?;
            let capacity =
                Resources::new(spec.cpu_milli, spec.memory_mib, spec.accelerators, spec.slots);
            let worker = Worker::new(&spec.name, capacity, clock.start_unix_ms());
            let service = Arc::new(WorkerService::new(worker, clock, seed + index as u64));
            let (dead, death) = watch::channel(false);
            let limit = match spec.connections {
                0 => DEFAULT_CONNECTIONS,
                limit => limit,
            };
            serve_worker(service.clone(), listener, limit, death);
            workers.insert(spec.name.clone(), Hosted { service, dead });
            hosted_workers.push(HostedWorker { name: spec.name.clone(), address });
        }
        Ok((Self { workers: Arc::new(workers) }, hosted_workers))
    }

    /// Serves the control of faults until the process ends.
    pub async fn serve_control(
        self,
        listener: TcpListener,
    ) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
        Server::builder()
            .add_service(worker_control_server::WorkerControlServer::new(self))
            .serve_with_incoming(TcpListenerStream::new(listener))
            .await?;
        Ok(())
    }

    fn set_fault_of(hosted: &Hosted, fault: &v1::WorkerFault) {
        let was_dead = *hosted.dead.borrow();
        if fault.dead && !was_dead {
            hosted.dead.send_replace(true);
            hosted.service.die();
        }
        if !fault.dead && was_dead {
            hosted.service.revive();
            hosted.dead.send_replace(false);
        }
        hosted.service.set_fault(fault.clone());
    }
}

#[tonic::async_trait]
impl worker_control_server::WorkerControl for WorkerHost {
    async fn set_fault(
        &self,
        request: Request<v1::WorkerFault>,
    ) -> Result<Response<v1::StandinDone>, Status> {
        let fault = request.into_inner();
        if let Some(name) = fault.workers.iter().find(|name| !self.workers.contains_key(*name)) {
            return Err(Status::not_found(format!("no worker {name:?} here")));
        }
        self.workers
            .iter()
            .filter(|(name, _)| fault.workers.is_empty() || fault.workers.contains(name))
            .for_each(|(_, hosted)| Self::set_fault_of(hosted, &fault));
        Ok(Response::new(v1::StandinDone {}))
    }

    async fn counts(
        &self,
        _request: Request<v1::WorkerCountsRequest>,
    ) -> Result<Response<v1::WorkerCounts>, Status> {
        let mut counts = v1::WorkerCounts::default();
        for hosted in self.workers.values() {
            let (worker, tasks) = hosted.service.counts();
            counts.workers.push(worker);
            counts.tasks.extend(tasks);
        }
        counts.tasks.sort_by_key(|task| task.started_unix_ms);
        counts.workers.sort_by(|a, b| a.worker.cmp(&b.worker));
        Ok(Response::new(counts))
    }
}

/// Starts the tasks that serve one worker.
fn serve_worker(
    service: Arc<WorkerService>,
    listener: TcpListener,
    limit: u64,
    death: watch::Receiver<bool>,
) {
    let (accepted, incoming) = mpsc::channel(ACCEPT_QUEUE);
    let timekeeper = service.clone();
    tokio::spawn(async move { timekeeper.keep_time().await });
    tokio::spawn(accept(service.clone(), listener, limit, death, accepted));
    tokio::spawn(async move {
        let served = Server::builder()
            .tcp_nodelay(true)
            .add_service(worker_server::WorkerServer::new(Served(service)))
            .serve_with_incoming(ReceiverStream::new(incoming))
            .await;
        if let Err(err) = served {
            log::error!("worker is no longer served: {err}");
        }
    });
}

/// What the accept loop saw next.
enum Next {
    /// A connection.
    Connection(io::Result<(TcpStream, SocketAddr)>),
    /// The worker has died; false where the process ends.
    Death(bool),
}

/// Waits for the death of the worker; false where the process ends.
async fn died(death: &mut watch::Receiver<bool>) -> bool {
    death.wait_for(|dead| *dead).await.is_ok()
}

/// Accepts connections; while the worker is dead, its port is closed.
async fn accept(
    service: Arc<WorkerService>,
    mut listener: TcpListener,
    limit: u64,
    mut death: watch::Receiver<bool>,
    accepted: mpsc::Sender<io::Result<FaultyStream>>,
) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    loop {
        let next = tokio::select! {
            died = died(&mut death) => Next::Death(died),
            connection = listener.accept() => Next::Connection(connection),
        };
        match next {
            Next::Connection(Ok((stream, _))) => {
                hand_over(&service, stream, limit, &accepted).await;
                continue;
            }
            Next::Connection(Err(_)) => continue,
            Next::Death(false) => return,
            Next::Death(true) => {}
        }
        drop(listener);
        if death.wait_for(|dead| !dead).await.is_err() {
            return;
        }
        listener = rebind(address).await;
    }
}

async fn hand_over(
    service: &WorkerService,
    stream: TcpStream,
    limit: u64,
    accepted: &mpsc::Sender<io::Result<FaultyStream>>,
) {
    // Without it calls only take longer.
    let _ = stream.set_nodelay(true);
    let Some(stream) = service.connections.admit(stream, limit) else {
        return;
    };
    if service.fault().silent {
        ConnectionFaults::silence(&stream.faults);
    }
    // The server ends with the process only.
    let _ = accepted.send(Ok(stream)).await;
}

/// Listens on the old port again; another process may have it for a moment.
async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => time::sleep(REBIND_INTERVAL).await,
        }
    }
}
