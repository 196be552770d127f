//! Puts the parts of one process together.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use lilacpass_config::settings::Settings;
use lilacpass_control::{Control, ControlSettings, Counters, Event};
use lilacpass_core::ids::Incarnation;
use quick_error::quick_error;
use tokio::{net::TcpListener, sync::watch, task::JoinHandle, time::timeout};

use crate::{
    clock::{self, Clock},
    control::{self, EventSink, Machine},
    http::{self, Front, server::Phase},
    link::LinkOptions,
    metrics::{Metrics, MetricsError},
    options,
    peers::{Peers, server::PeerService},
    platform::Platform,
    replies::{Replies, ReplyIds},
    traffic::Traffic,
    workers::Workers,
};

/// Time beyond the longest deadline of a caller in which a planned stop has to be done.
const STOP_GRACE: Duration = Duration::from_secs(30);

/// Time from the request to stop until no new connections are taken. The platform's balancer sees
/// within it that this instance is not ready; callers that still come meanwhile are served.
const CLOSE_AFTER: Duration = Duration::from_secs(3);

/// Time for connections to end once everything in flight is finished.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

quick_error! {
    /// Why the daemon can't run.
    #[derive(Debug)]
    pub enum DaemonError {
        /// An address can't be listened on.
        Listen(address: SocketAddr, error: io::Error) {
            display("can't listen on {address}: {error}")
            source(error)
        }
        /// A thread could not be started.
        Thread(error: io::Error) {
            display("can't start a thread: {error}")
            source(error)
        }
        /// The figures could not be set up.
        Metrics(error: MetricsError) {
            display("{error}")
            source(error)
            from()
        }
        /// The control thread ended by itself, which it never should.
        ControlEnded {
            display("the control thread ended")
        }
        /// A planned stop was not done in time; work may have been cut off.
        StopTimeout {
            display("stop not done in time")
        }
    }
}

/// A state machine with the figures that it keeps.
#[derive(Debug)]
pub struct MachineParts<M> {
    /// The state machine.
    pub machine: M,
    /// Its figures.
    pub counters: Arc<Counters>,
}

/// A daemon that runs.
#[derive(Debug)]
pub struct Daemon {
    /// Where callers connect to.
    pub http_address: SocketAddr,
    /// Where other entry instances connect to.
    pub peer_address: SocketAddr,
    sink: EventSink,
    stopped: watch::Receiver<bool>,
    front: Arc<Front>,
    phase: watch::Sender<Phase>,
    traffic: JoinHandle<()>,
    servers: Vec<JoinHandle<()>>,
    stop_timeout: Duration,
}

/// Starts a daemon with the control state machine. Runs inside the traffic runtime.
///
/// # Errors
///
/// An address is taken, or a thread could not be started.
pub async fn start(settings: &Settings) -> Result<Daemon, DaemonError> {
    // The wall clock at the start is greater than at the start of the predecessor, also on a new
    // instance without a disk.
    let incarnation = Incarnation(clock::unix_ms());
    let seed = rand::random();
    start_with(settings, incarnation, |peer_address, clock| {
        let control = ControlSettings::from_settings(settings, incarnation, seed, peer_address);
        let machine = Control::new(control, clock.now());
        MachineParts { counters: machine.counters(), machine }
    })
    .await
}

/// Starts a daemon with any state machine, which is made once the address for peers is known.
///
/// # Errors
///
/// An address is taken, or a thread could not be started.
pub async fn start_with<M: Machine>(
    settings: &Settings,
    incarnation: Incarnation,
    make: impl FnOnce(SocketAddr, Clock) -> MachineParts<M>,
) -> Result<Daemon, DaemonError> {
    let clock = Clock::start();
    let (http_listener, http_address) = listen(settings.instance.http_address).await?;
    let (peer_listener, peer_address) = listen(settings.instance.peer_address).await?;
    let MachineParts { machine, counters } = make(peer_address, clock);
    let (sink, queue) = control::queue();
    let (effects, _thread) = control::spawn(machine, queue, clock).map_err(DaemonError::Thread)?;

    let ids = ReplyIds::default();
    let callers = Replies::new(ids.clone());
    let peer_replies = Replies::new(ids.clone());
    let metrics = Arc::new(Metrics::new()?);
    let front_options = options::front(settings, incarnation, clock);
    let front =
        Front::new(front_options, sink.clone(), callers.clone(), ids.clone(), metrics.clone());
    let front = Arc::new(front);
    let key = settings.instance.peer_key.clone();
    let peer_service = PeerService::new(sink.clone(), peer_replies.clone(), key.clone());
    let worker_links = options::worker_links(settings, clock);
    let workers = Arc::new(Workers::new(worker_links.clone()));
    let peer_links = options::peer_links(settings, clock);
    let peers = Arc::new(Peers::new(peer_links.clone(), key.as_ref()));
    let platform_options = options::platform(settings, clock);

    metrics.watch_counters(&counters);
    watch_links(&metrics, [worker_links, peer_links, platform_options.link.clone()]);
    watch_process(&metrics, &sink, &workers, &peers, &peer_service);

    let (stop_sender, stopped) = watch::channel(false);
    let traffic = Traffic {
        sink: sink.clone(),
        callers,
        peer_replies,
        workers,
        peers,
        platform: Platform::start(&platform_options, &sink),
        front: front.clone(),
        metrics,
        stopped: stop_sender,
    };
    let traffic = tokio::spawn(traffic.run(effects));

    let (phase, phases) = watch::channel(Phase::Serving);
    let max_connections = settings.traffic.max_connections;
    let router = http::routes::router(&front);
    let http_server = http::server::serve(http_listener, router, max_connections, phases.clone());
    let peer_server = serve_peers(peer_service, peer_listener, phases);
    let servers = vec![tokio::spawn(http_server), tokio::spawn(peer_server)];
    let stop_timeout = settings.traffic.max_deadline + STOP_GRACE;
    Ok(Daemon {
        http_address,
        peer_address,
        sink,
        stopped,
        front,
        phase,
        traffic,
        servers,
        stop_timeout,
    })
}

impl Daemon {
    /// Waits until the daemon fails.
    ///
    /// Guards against an instance that looks alive and does nothing: after a fault in the control
    /// thread connections would still be taken, and nothing answered. The process ends instead,
    /// and the platform replaces the instance.
    pub async fn failed(&mut self) -> DaemonError {
        // Effects end with the control thread; both a return and a panic mean the same here.
        let _ = (&mut self.traffic).await;
        DaemonError::ControlEnded
    }

    /// Stops as planned: takes no new work, finishes what is in flight, then closes.
    ///
    /// # Errors
    ///
    /// It was not done in time.
    pub async fn stop(mut self) -> Result<(), DaemonError> {
        self.front.set_stopping();
        self.sink.send(Event::Stop).await;
        let mut in_time = self.stopped_within(CLOSE_AFTER).await;
        if !in_time {
            self.phase.send_replace(Phase::Closed);
            in_time = self.stopped_within(self.stop_timeout).await;
        }
        self.phase.send_replace(Phase::Ending);
        for server in self.servers {
            // A connection that does not end by itself is cut with the process.
            let _ = timeout(CLOSE_TIMEOUT, server).await;
        }
        if in_time { Ok(()) } else { Err(DaemonError::StopTimeout) }
    }

    /// Whether everything in flight is finished within `limit`.
    async fn stopped_within(&mut self, limit: Duration) -> bool {
        let stopped = timeout(limit, self.stopped.wait_for(|stopped| *stopped)).await;
        matches!(stopped, Ok(Ok(_)))
    }
}

async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), DaemonError> {
    let failed = |error| DaemonError::Listen(address, error);
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}

async fn serve_peers(
    service: PeerService,
    listener: TcpListener,
    mut phase: watch::Receiver<Phase>,
) {
    let ending = async move {
        let _ = phase.wait_for(|phase| *phase == Phase::Ending).await;
    };
    if let Err(error) = service.serve(listener, ending).await {
        log::error!(error:% = error; "server for peers ended");
    }
}

fn watch_links(metrics: &Metrics, [workers, peers, platform]: [LinkOptions; 3]) {
    metrics.watch_bytes("worker", &workers.bytes);
    metrics.watch_bytes("peer", &peers.bytes);
    metrics.watch_bytes("platform", &platform.bytes);
}

fn watch_process(
    metrics: &Metrics,
    sink: &EventSink,
    workers: &Arc<Workers>,
    peers: &Arc<Peers>,
    peer_service: &PeerService,
) {
    let stats = sink.stats().clone();
    metrics.watch_time("control_cpu", "Processor time of the control thread", move || {
        Duration::from_micros(stats.cpu_us.load(Ordering::Relaxed))
    });
    let stats = sink.stats().clone();
    metrics.watch_gauge("control_queued", "Events that wait for the control thread", move || {
        stats.queued.load(Ordering::Relaxed) as u64
    });
    let stats = sink.stats().clone();
    metrics.watch_total("control_refused", "Requests refused with too many waiting", move || {
        stats.refused.load(Ordering::Relaxed)
    });
    let open = workers.clone();
    metrics.watch_gauge("worker_connections", "Workers with a connection", move || {
        open.connections() as u64
    });
    let stats = workers.stats().clone();
    metrics.watch_total("worker_answers_broken", "Answers of workers dropped", move || {
        stats.answers_broken.load(Ordering::Relaxed)
    });
    let stats = workers.stats().clone();
    metrics.watch_total("worker_links_replaced", "Silent connections replaced", move || {
        stats.links_replaced.load(Ordering::Relaxed)
    });
    let stats = workers.stats().clone();
    metrics.watch_total("worker_links_aborted", "Connections reset after a start", move || {
        stats.links_aborted.load(Ordering::Relaxed)
    });
    let links = peers.clone();
    metrics.watch_total("peer_links_replaced", "Silent connections replaced", move || {
        links.replaced()
    });
    let stats = peer_service.stats().clone();
    metrics.watch_total("peer_key_refused", "Calls of peers without the right key", move || {
        stats.key_refused.load(Ordering::Relaxed)
    });
}
