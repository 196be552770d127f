//! Connections of callers, with their limits.
//!
//! The routes are `volo-http`'s. Its own connection loop has no limit on connections, no time
//! limit for headers, and stops by itself on signals; so the loop is ours.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use http::Request;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    task::JoinSet,
};
use volo::{Service, net::Address};
use volo_http::{body::Body, context::ServerContext, response::Response, server::route::Router};

use crate::http::problem;

/// Time for the headers of a request, and for an idle connection to send one.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);

/// Bytes that a connection buffers; longer headers end it with a bare 431.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Most headers of a request.
const MAX_HEADERS: usize = 64;

/// Connections over the limit that are told so at once; any further one is just closed.
const MAX_TURNED_AWAY: usize = 64;

/// Time to tell a connection that it is one too many.
const TURN_AWAY_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a failed accept, which mostly means that file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// How far the end of serving has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Everything is taken.
    Serving,
    /// No new connections; requests on open ones are still taken.
    Closed,
    /// Each connection ends after the request that is in flight on it.
    Ending,
}

/// Serves `router` on `listener` until the phase says that it ends, then finishes the requests in
/// flight.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    max_connections: usize,
    phase: watch::Receiver<Phase>,
) {
    let router = Arc::new(router);
    let places = Arc::new(Semaphore::new(max_connections.min(Semaphore::MAX_PERMITS)));
    let turned_away = Arc::new(Semaphore::new(MAX_TURNED_AWAY));
    let mut connections = JoinSet::new();
    let mut closed = phase.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = until(&mut closed, Phase::Closed) => break,
            Some(_) = connections.join_next() => continue,
        };
        let Ok((stream, origin)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        match places.clone().try_acquire_owned() {
            Ok(place) => {
                let connection = serve_one(stream, origin, router.clone(), phase.clone());
                connections.spawn(async move {
                    connection.await;
                    drop(place);
                });
            }
            Err(_) => {
                if let Ok(place) = turned_away.clone().try_acquire_owned() {
                    tokio::spawn(async move {
                        turn_away(stream).await;
                        drop(place);
                    });
                }
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_one(
    stream: TcpStream,
    origin: SocketAddr,
    router: Arc<Router>,
    mut phase: watch::Receiver<Phase>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "can't set TCP_NODELAY");
    }
    let service = service_fn(move |request| answer(router.clone(), origin, request));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_BUFFER_BYTES);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = until(&mut phase, Phase::Ending) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(origin:% = origin, error:% = error; "connection of a caller ended");
    }
}

/// Waits until the phase is reached; also ends when it never will be, since its owner is gone.
async fn until(phase: &mut watch::Receiver<Phase>, wanted: Phase) {
    let _ = phase.wait_for(|phase| *phase >= wanted).await;
}

async fn answer(
    router: Arc<Router>,
    origin: SocketAddr,
    request: Request<Incoming>,
) -> Result<Response, Infallible> {
    let mut context = ServerContext::new(Address::from(origin));
    router.call(&mut context, request.map(Body::from_incoming)).await
}

/// Tells a connection that it is one too many.
async fn turn_away(mut stream: TcpStream) {
    let status = http::StatusCode::SERVICE_UNAVAILABLE;
    let problem = problem::not_run(status, "too-many-connections", "too many connections");
    let body = serde_json::to_string(&problem::retry_after(problem, 1_000)).unwrap_or_default();
    let text = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/problem+json\r\n\
         retry-after: 1\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let tell = async {
        stream.write_all(text.as_bytes()).await?;
        stream.shutdown().await
    };
    if !matches!(tokio::time::timeout(TURN_AWAY_TIMEOUT, tell).await, Ok(Ok(()))) {
        log::debug!("a connection over the limit was not told so");
    }
}
