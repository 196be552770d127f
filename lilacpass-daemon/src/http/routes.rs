//! Which path and method asks for what.

use std::{convert::Infallible, net::SocketAddr, sync::Arc};

use http::{HeaderValue, StatusCode, header};
use volo::net::Address;
use volo_http::{
    body::Body,
    response::Response,
    server::route::{MethodRouter, Router, get, post},
};

use crate::http::{action::Action, front::Front, problem};

type Route = MethodRouter<Body, Infallible>;

/// The whole interface.
pub fn router(front: &Arc<Front>) -> Router {
    let job = get(handler(front, Action::Job)).delete(handler(front, Action::Cancel));
    let jobs = post(handler(front, Action::Submit)).get(handler(front, Action::Jobs));
    let changes = post(handler(front, Action::Change)).get(handler(front, Action::Changes));
    let read = |action| only(front, "GET", get(handler(front, action)));
    let unknown = front.clone();
    Router::new()
        .route("/v1/requests", only(front, "POST", post(handler(front, Action::Quick))))
        .route("/v1/jobs", only(front, "GET, POST", jobs))
        .route("/v1/jobs/{id}", only(front, "DELETE, GET", job))
        .route("/v1/jobs/{id}/explain", read(Action::Explain))
        .route("/v1/changes", only(front, "GET, POST", changes))
        .route("/v1/inventory", read(Action::Inventory))
        .route("/v1/rules", read(Action::Rules))
        .route("/v1/workers", read(Action::Workers))
        .route("/v1/status", read(Action::Status))
        .route("/v1/audit", read(Action::Audit))
        .route("/healthz", only(front, "GET", get(healthz)))
        .route("/readyz", only(front, "GET", get(readyz(front))))
        .route("/metrics", only(front, "GET", get(metrics(front))))
        .fallback(move || async move { no_such_path(&unknown) })
}

/// Handles one action.
fn handler(
    front: &Arc<Front>,
    action: Action,
) -> impl Fn(Address, http::Request<Body>) -> AnswerFuture + Clone + Send + Sync + 'static {
    let front = front.clone();
    move |address, request| {
        let front = front.clone();
        Box::pin(async move { front.answer(action, socket_address(&address), request).await })
    }
}

type AnswerFuture = std::pin::Pin<Box<dyn Future<Output = Response> + Send>>;

/// Refuses other methods, naming the allowed ones.
fn only(front: &Arc<Front>, allowed: &'static str, route: Route) -> Route {
    let front = front.clone();
    route.fallback(move || async move {
        let detail = format!("allowed methods: {allowed}");
        let status = StatusCode::METHOD_NOT_ALLOWED;
        let mut response = front.answer_unknown(problem::not_run(status, "method", detail));
        response.headers_mut().insert(header::ALLOW, HeaderValue::from_static(allowed));
        response
    })
}

fn no_such_path(front: &Front) -> Response {
    let problem = problem::not_run(StatusCode::NOT_FOUND, "unknown-path", "no such path");
    front.answer_unknown(problem)
}

async fn healthz() -> Response {
    problem::text(StatusCode::OK, "alive\n")
}

fn readyz(front: &Arc<Front>) -> impl Fn() -> AnswerFuture + Clone + Send + Sync + 'static {
    let front = front.clone();
    move || {
        let ready = front.is_ready();
        Box::pin(async move {
            match ready {
                true => problem::text(StatusCode::OK, "ready\n"),
                false => problem::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            }
        })
    }
}

fn metrics(front: &Arc<Front>) -> impl Fn() -> AnswerFuture + Clone + Send + Sync + 'static {
    let front = front.clone();
    move || {
        let front = front.clone();
        Box::pin(async move { front.metrics_text() })
    }
}

fn socket_address(address: &Address) -> SocketAddr {
    match address {
        Address::Ip(address) => *address,
        // The server only listens on TCP; an address that is no loopback gets no privileges.
        Address::Unix(_) => SocketAddr::from(([0, 0, 0, 0], 0)),
    }
}
