//! The platform stand-in: log service, instance list and the control of their faults.

use std::{
    future,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use lilacpass_core::size::PerSecond;
use lilacpass_schema::v1::{self, instance_list_server, log_server, platform_control_server};
use tokio::{net::TcpListener, sync::watch, time};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status, metadata::MetadataMap, transport::Server};

use crate::{clock::Clock, dice::Dice, instances::Instances, log_store::LogStore, rate::RateLimit};

/// Metadata key in which a caller names itself, so that it can be cut off.
pub const INSTANCE_METADATA: &str = "x-instance";
/// Longest wait of a read at the tail.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// How often a call that is cut off looks whether the cut is over.
const CUT_POLL: Duration = Duration::from_millis(20);

/// What the platform offers and how it lags.
#[derive(Clone, Copy, Debug)]
pub struct PlatformOptions {
    /// Records that are kept of each stream; default 1,000,000.
    pub retention_records: usize,
    /// Appends that are taken a second, 0 for no limit; default 300.
    pub appends: PerSecond,
    /// Lag of the instance list; default 500 ms.
    pub list_lag: Duration,
    /// Seed of the faults that strike by chance; default 1.
    pub seed: u64,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            retention_records: 1_000_000,
            appends: PerSecond(300),
            list_lag: Duration::from_millis(500),
            seed: 1,
        }
    }
}

/// The platform; a clone is another handle of the same one.
#[derive(Clone, Debug)]
pub struct Platform(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    options: PlatformOptions,
    clock: Clock,
    dice: Dice,
    state: Mutex<State>,
    appended: watch::Sender<()>,
}

#[derive(Debug)]
struct State {
    log: LogStore,
    instances: Instances,
    rate: RateLimit,
    fault: v1::PlatformFault,
    counts: v1::PlatformCounts,
}

impl Platform {
    /// A platform with an empty log and no instances.
    pub fn new(options: PlatformOptions) -> Self {
        let clock = Clock::start();
        let state = State {
            log: LogStore::new(options.retention_records),
            instances: Instances::default(),
            rate: RateLimit::new(options.appends, clock.now()),
            fault: v1::PlatformFault::default(),
            counts: v1::PlatformCounts::default(),
        };
        Self(Arc::new(Shared {
            options,
            clock,
            dice: Dice::new(options.seed),
            state: Mutex::new(state),
            appended: watch::Sender::new(()),
        }))
    }

    /// Serves until the process ends; calls `listening` with the address first.
    pub async fn serve(
        self,
        listener: TcpListener,
        listening: impl FnOnce(SocketAddr),
    ) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
        listening(listener.local_addr()?);
        Server::builder()
            .tcp_nodelay(true)
            .add_service(log_server::LogServer::new(self.clone()))
            .add_service(instance_list_server::InstanceListServer::new(self.clone()))
            .add_service(platform_control_server::PlatformControlServer::new(self))
            .serve_with_incoming(TcpListenerStream::new(listener))
            .await?;
        Ok(())
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn fault(&self) -> v1::PlatformFault {
        self.state().fault.clone()
    }

    /// Half of the delay that is switched on; one half passes before the effect, one after it.
    async fn half_delay(&self) {
        let delay = Duration::from_millis(self.fault().log_delay_ms) / 2;
        if !delay.is_zero() {
            time::sleep(delay).await;
        }
    }

    /// Passes only while the caller is not cut off. A call over a cut network gets no error: it hangs
    /// until the caller gives it up, or the cut is over.
    async fn pass_cut(&self, caller: Option<&str>) {
        let is_cut = || {
            caller.is_some_and(|name| self.state().fault.cut_instances.iter().any(|c| c == name))
        };
        while is_cut() {
            time::sleep(CUT_POLL).await;
        }
    }

    fn check_up(&self) -> Result<(), Status> {
        if self.fault().log_down {
            return Err(Status::unavailable("the log service is down"));
        }
        Ok(())
    }

    fn list_lag(&self) -> Duration {
        match self.fault().list_lag_ms {
            0 => self.0.options.list_lag,
            ms => Duration::from_millis(ms),
        }
    }
}

#[tonic::async_trait]
impl log_server::Log for Platform {
    async fn append(
        &self,
        request: Request<v1::AppendRequest>,
    ) -> Result<Response<v1::AppendAnswer>, Status> {
        let caller = caller(request.metadata());
        self.pass_cut(caller.as_deref()).await;
        self.half_delay().await;
        self.check_up()?;
        let fault = self.fault();
        if self.0.dice.strikes(fault.refuse_permille) {
            return Err(Status::resource_exhausted("refused by a fault that is switched on"));
        }
        let first_offset = {
            let mut state = self.state();
            if !state.rate.admit(self.0.clock.now()) {
                state.counts.refused += 1;
                return Err(Status::resource_exhausted("too many appends a second"));
            }
            let request = request.into_inner();
            state.counts.appends += 1;
            state.counts.records += request.records.len() as u64;
            state.counts.appended_bytes += size_of_records(&request.records);
            state.log.append(&request.stream, request.records)
        };
        self.0.appended.send_replace(());
        if self.0.dice.strikes(fault.lose_answer_permille) {
            future::pending::<()>().await;
        }
        self.half_delay().await;
        self.pass_cut(caller.as_deref()).await;
        Ok(Response::new(v1::AppendAnswer { first_offset }))
    }

    async fn read(
        &self,
        request: Request<v1::ReadRequest>,
    ) -> Result<Response<v1::ReadAnswer>, Status> {
        let caller = caller(request.metadata());
        self.pass_cut(caller.as_deref()).await;
        self.half_delay().await;
        self.check_up()?;
        let request = request.into_inner();
        let wait = Duration::from_millis(request.wait_ms).min(MAX_WAIT);
        let give_up_at = time::Instant::now() + wait;
        let mut appended = self.0.appended.subscribe();
        let read =
            || self.state().log.read(&request.stream, request.from_offset, request.max_records);
        loop {
            appended.mark_unchanged();
            let answer = read();
            let waited = time::Instant::now() >= give_up_at;
            if !answer.records.is_empty() || waited {
                self.check_up()?;
                self.half_delay().await;
                self.pass_cut(caller.as_deref()).await;
                let counts = &mut self.state().counts;
                counts.reads += 1;
                counts.read_bytes += size_of_records(&answer.records);
                return Ok(Response::new(answer));
            }
            // An error means that the wait is over or that the process ends: look once more.
            let _ = time::timeout_at(give_up_at, appended.changed()).await;
        }
    }
}

#[tonic::async_trait]
impl instance_list_server::InstanceList for Platform {
    async fn list(
        &self,
        request: Request<v1::ListInstancesRequest>,
    ) -> Result<Response<v1::ListInstancesAnswer>, Status> {
        let caller = caller(request.metadata());
        self.pass_cut(caller.as_deref()).await;
        self.check_up()?;
        let now = self.0.clock.now();
        Ok(Response::new(self.state().instances.list(caller.as_deref(), now)))
    }
}

#[tonic::async_trait]
impl platform_control_server::PlatformControl for Platform {
    async fn set_fault(
        &self,
        request: Request<v1::PlatformFault>,
    ) -> Result<Response<v1::StandinDone>, Status> {
        let fault = request.into_inner();
        let mut state = self.state();
        state.instances.set_frozen(fault.list_frozen);
        state.fault = fault;
        Ok(done())
    }

    async fn put_instance(
        &self,
        request: Request<v1::Instance>,
    ) -> Result<Response<v1::StandinDone>, Status> {
        let (lag, now) = (self.list_lag(), self.0.clock.now());
        self.state().instances.put(request.into_inner(), lag, now);
        Ok(done())
    }

    async fn remove_instance(
        &self,
        request: Request<v1::RemoveInstanceRequest>,
    ) -> Result<Response<v1::StandinDone>, Status> {
        let (lag, now) = (self.list_lag(), self.0.clock.now());
        self.state().instances.remove(request.into_inner().name, lag, now);
        Ok(done())
    }

    async fn put_address_view(
        &self,
        request: Request<v1::AddressView>,
    ) -> Result<Response<v1::StandinDone>, Status> {
        self.state().instances.put_view(request.into_inner());
        Ok(done())
    }

    async fn counts(
        &self,
        _request: Request<v1::PlatformCountsRequest>,
    ) -> Result<Response<v1::PlatformCounts>, Status> {
        Ok(Response::new(self.state().counts))
    }
}

fn size_of_records(records: &[Vec<u8>]) -> u64 {
    records.iter().map(|record| record.len() as u64).sum()
}

fn done() -> Response<v1::StandinDone> {
    Response::new(v1::StandinDone {})
}

fn caller(metadata: &MetadataMap) -> Option<String> {
    metadata.get(INSTANCE_METADATA)?.to_str().ok().map(str::to_owned)
}
