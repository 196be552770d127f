//! One HTTP/2 connection and the service that `tonic` clients send through it.

use std::{
    error::Error as StdError,
    fmt,
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, Uri};
use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::{
    body::Incoming,
    client::conn::http2::{self, SendRequest},
};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use lilacpass_core::MonoTime;
use socket2::SockRef;
use tokio::net::{TcpSocket, TcpStream};
use tonic::Status;

use crate::{
    clock::Clock,
    link::{
        gate::Ticket,
        stream::{ByteCounts, GuardedStream, StreamState},
        trace::CallTrace,
    },
};

/// Flow-control windows, large enough that one long answer does not hold up the others.
const STREAM_WINDOW_BYTES: u32 = 4 * 1024 * 1024;
const CONNECTION_WINDOW_BYTES: u32 = 16 * 1024 * 1024;

/// How connections of one kind are opened and watched.
#[derive(Clone, Debug)]
pub struct LinkOptions {
    /// Clock of this process.
    pub clock: Clock,
    /// Time for connecting.
    pub connect_timeout: Duration,
    /// Time after which the kernel gives up on bytes that are not acknowledged.
    ///
    /// Guards against a start that arrives late: after a cut has healed the kernel would send
    /// unacknowledged bytes again, even while this process is paused. With this bound the kernel
    /// gives up by itself.
    pub user_timeout: Duration,
    /// Time between two pings while calls are under way.
    pub ping: Duration,
    /// Longest wait for the answer to a ping.
    ///
    /// Guards against connections that went silent for good because something between both ends
    /// has lost track of them: nothing arrives, nothing fails. A missing ping answer ends the
    /// connection and all calls on it.
    pub ping_timeout: Duration,
    /// Counts the bytes of all connections of this kind.
    pub bytes: Arc<ByteCounts>,
}

/// One connection. It never reconnects.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    origin: Uri,
    sender: SendRequest<TicketBody>,
    state: Arc<StreamState>,
    clock: Clock,
    timeouts: AtomicU32,
}

impl Link {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// No connection in time, or refused; nothing but the HTTP/2 preface was sent.
    pub async fn connect(address: SocketAddr, options: &LinkOptions) -> io::Result<Self> {
        let connected = tokio::time::timeout(options.connect_timeout, open(address, options)).await;
        connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    /// The callee's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The callee's address as origin of requests.
    pub fn origin(&self) -> Uri {
        self.origin.clone()
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether anything arrived at or after `moment`.
    pub fn heard_since(&self, moment: MonoTime) -> bool {
        self.state.heard_since(moment)
    }

    /// Resets the connection; calls on it end, bytes that the kernel still holds are dropped.
    pub fn abort(&self) {
        self.state.abort();
    }

    /// Notes a call without answer; gives the number of them in a row.
    pub fn note_timeout(&self) -> u32 {
        self.timeouts.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Notes an answer.
    pub fn note_answer(&self) {
        self.timeouts.store(0, Ordering::Relaxed);
    }

    /// The service for one call. With `not_after`, no byte of the call leaves after that moment.
    pub fn service(&self, trace: Arc<CallTrace>, not_after: Option<MonoTime>) -> CallService {
        CallService {
            sender: self.sender.clone(),
            state: self.state.clone(),
            clock: self.clock,
            trace,
            not_after,
        }
    }
}

async fn open(address: SocketAddr, options: &LinkOptions) -> io::Result<Link> {
    let tcp = open_tcp(address, options.user_timeout).await?;
    let state = Arc::new(StreamState::new(options.clock, options.bytes.clone()));
    let stream = TokioIo::new(GuardedStream::new(tcp, state.clone()));
    let handshake = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .keep_alive_interval(options.ping)
        .keep_alive_timeout(options.ping_timeout)
        .handshake(stream);
    let (sender, connection) = handshake.await.map_err(io::Error::other)?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(address:% = address, error:% = error; "connection ended");
        }
    });
    let origin = origin(address)?;
    let timeouts = AtomicU32::new(0);
    Ok(Link { address, origin, sender, state, clock: options.clock, timeouts })
}

async fn open_tcp(address: SocketAddr, user_timeout: Duration) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_nodelay(true)?;
    SockRef::from(&socket).set_tcp_user_timeout(Some(user_timeout))?;
    socket.connect(address).await
}

fn origin(address: SocketAddr) -> io::Result<Uri> {
    format!("http://{address}").parse().map_err(io::Error::other)
}

/// Why a call never got an answer, as seen by the connection.
#[derive(Debug)]
pub struct LinkError(String);

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl StdError for LinkError {}

/// Sends one call over one connection.
#[derive(Debug)]
pub struct CallService {
    sender: SendRequest<TicketBody>,
    state: Arc<StreamState>,
    clock: Clock,
    trace: Arc<CallTrace>,
    not_after: Option<MonoTime>,
}

type ResponseFuture =
    Pin<Box<dyn Future<Output = Result<Response<Incoming>, LinkError>> + Send + 'static>>;

impl tower::Service<Request<tonic::body::Body>> for CallService {
    type Response = Response<Incoming>;
    type Error = LinkError;
    type Future = ResponseFuture;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), LinkError>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<tonic::body::Body>) -> ResponseFuture {
        let now = self.clock.now();
        if self.not_after.is_some_and(|end| now > end) {
            self.trace.set_lapsed();
            return Box::pin(async { Err(LinkError("permission to send has lapsed".to_owned())) });
        }
        let ticket = self.not_after.map(|end| self.state.gate.ticket(end));
        let trace = self.trace.clone();
        let request = request.map(|body| TicketBody { body, ticket, trace: trace.clone() });
        trace.set_handed(now);
        let answer = self.sender.try_send_request(request);
        Box::pin(async move {
            match answer.await {
                Ok(response) => {
                    if response.headers().contains_key(Status::GRPC_STATUS) {
                        trace.set_bare_status();
                    }
                    Ok(response)
                }
                Err(mut error) => {
                    if error.take_message().is_some() {
                        trace.set_not_sent();
                    }
                    Err(LinkError(error.into_error().to_string()))
                }
            }
        })
    }
}

/// The body of a call, which checks the clock when it is read and leaves the gate when it is
/// dropped, after its last byte was handed to the HTTP/2 layer.
#[derive(Debug)]
pub struct TicketBody {
    body: tonic::body::Body,
    ticket: Option<Ticket>,
    trace: Arc<CallTrace>,
}

impl HttpBody for TicketBody {
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Status>>> {
        if self.ticket.as_mut().is_some_and(|ticket| !ticket.let_out()) {
            self.trace.set_lapsed();
            return Poll::Ready(Some(Err(Status::aborted("permission to send has lapsed"))));
        }
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
