//! Checks the failover rules against every combination of three servers that respond, refuse, crash or are down.

mod support;

use std::time::Duration;

use lilacpass_cli::{
    Error, Exit,
    api::{
        Client,
        client::{IDEMPOTENCY_KEY, RetryPolicy},
        path,
    },
};
use serde_json::json;
use support::{FakeServer, ReceivedRequest, unused_url};

/// How a server behaves when it receives a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    /// Nothing listens on its port.
    Down,
    /// Receives the request and crashes before it responds.
    Crashes,
    /// Runs the work successfully.
    Succeeds,
    /// Correctly reports that it has not run the work.
    ShuttingDown,
    /// Refuses the request because the cell is overloaded.
    Overloaded,
    /// Refuses the request because access is denied.
    Forbidden,
    /// Accepted the request and does not know its outcome.
    Uncertain,
    /// Ran the work, which failed.
    Failed,
    /// A load balancer that lost the connection to its server.
    BadGateway,
}

use Behaviour::{
    BadGateway, Crashes, Down, Failed, Forbidden, Overloaded, ShuttingDown, Succeeds, Uncertain,
};

const ALL: [Behaviour; 9] =
    [Down, Crashes, Succeeds, ShuttingDown, Overloaded, Forbidden, Uncertain, Failed, BadGateway];

impl Behaviour {
    fn start(self) -> Option<FakeServer> {
        let problem = |status, verdict: &str| {
            FakeServer::always(status, json!({ "status": status, "verdict": verdict }))
        };
        Some(match self {
            Down => return None,
            Crashes => FakeServer::closing(),
            Succeeds => FakeServer::always(200, json!({ "verdict": "ran" })),
            ShuttingDown => problem(503, "not_run"),
            Overloaded => problem(429, "not_run"),
            Forbidden => problem(403, "not_run"),
            Uncertain => problem(504, "may_have_run"),
            Failed => problem(502, "ran"),
            BadGateway => problem(502, ""),
        })
    }

    /// Returns whether a request that arrived may have had an effect.
    fn may_execute(self) -> bool {
        matches!(self, Crashes | Succeeds | Uncertain | Failed | BadGateway)
    }
}

/// One server for each behaviour.
struct ServerSet {
    servers: Vec<(Behaviour, Option<FakeServer>)>,
    /// URL used for [`Down`], on which nothing listens.
    down_url: String,
}

impl ServerSet {
    fn start() -> Self {
        let servers = ALL.into_iter().map(|behaviour| (behaviour, behaviour.start())).collect();
        Self { servers, down_url: unused_url() }
    }

    fn pick(&self, index: usize) -> MixedServer<'_> {
        let (behaviour, server) = &self.servers[index % ALL.len()];
        let url = server.as_ref().map_or(&self.down_url, |server| &server.url);
        let received_before = server.as_ref().map_or(0, |server| server.received().len());
        MixedServer { behaviour: *behaviour, url, server: server.as_ref(), received_before }
    }
}

/// One server in one combination, with the number of requests it received before.
struct MixedServer<'a> {
    behaviour: Behaviour,
    url: &'a str,
    server: Option<&'a FakeServer>,
    received_before: usize,
}

impl MixedServer<'_> {
    fn received(&self) -> Vec<ReceivedRequest> {
        self.server
            .map_or_else(Vec::new, |server| server.received().split_off(self.received_before))
    }

    fn has(&self, behaviour: Behaviour) -> bool {
        self.behaviour == behaviour && !self.received().is_empty()
    }
}

/// Guards against repeating a request that must not be repeated, and against reporting "not run" for work that may have
/// run. For every combination of servers: a request that is not idempotent reaches at most one server that may execute
/// it, a repeated request carries the same key on each server, and if the tool reports that nothing ran, no server may
/// have executed the request.
#[tokio::test]
async fn failover_never_repeats_unsafe_requests_or_denies_work_that_may_have_run() {
    let server_sets = [ServerSet::start(), ServerSet::start(), ServerSet::start()];
    for retry_policy in [RetryPolicy::OnlyIfNotRun, RetryPolicy::Idempotent] {
        for index in 0..ALL.len().pow(3) {
            let [first, second, third] = &server_sets;
            let servers = [first.pick(index), second.pick(index / 9), third.pick(index / 81)];
            check(&servers, retry_policy).await;
        }
    }
}

async fn check(servers: &[MixedServer<'_>; 3], retry_policy: RetryPolicy) {
    let mix: Vec<Behaviour> = servers.iter().map(|server| server.behaviour).collect();
    let urls = servers.iter().map(|server| server.url.parse().unwrap()).collect();
    let mut client = Client::new(urls, None, Duration::from_secs(20));
    let headers = vec![(IDEMPOTENCY_KEY, "k1".to_owned())];
    let outcome = client.post(path::JOBS, headers, &json!({}), retry_policy).await;
    let exit = outcome.as_ref().map_or_else(Error::exit, |_| Exit::Ok);

    let received: Vec<ReceivedRequest> = servers.iter().flat_map(MixedServer::received).collect();
    assert!(servers.iter().all(|server| server.received().len() <= 1), "{mix:?}");
    assert!(
        received.iter().all(|request| request.header(IDEMPOTENCY_KEY) == Some("k1")),
        "{mix:?}"
    );
    let may_execute =
        |server: &&MixedServer<'_>| server.behaviour.may_execute() && !server.received().is_empty();
    let executed = servers.iter().filter(may_execute).count();
    assert!(retry_policy == RetryPolicy::Idempotent || executed <= 1, "{mix:?}");
    let claims_not_run = matches!(exit, Exit::NotRun | Exit::Unreachable);
    assert!(!claims_not_run || executed == 0, "{mix:?} {retry_policy:?}: {outcome:?}");
    let has_run = servers.iter().any(|server| server.has(Succeeds) || server.has(Failed));
    assert_eq!(matches!(exit, Exit::Ok | Exit::Failed), has_run, "{mix:?}");
    assert!(!has_run || no_request_after_execution(servers), "{mix:?}");
    // A server that can serve the request is reached if all servers before it are down or shutting down.
    let first = mix.iter().find(|behaviour| !matches!(behaviour, Down | ShuttingDown));
    assert!(first != Some(&Succeeds) || exit == Exit::Ok, "{mix:?}");
}

/// Returns whether no server received the request after one that reported that the work has run.
fn no_request_after_execution(servers: &[MixedServer<'_>; 3]) -> bool {
    let mut after =
        servers.iter().skip_while(|server| !server.has(Succeeds) && !server.has(Failed)).skip(1);
    after.all(|server| server.received().is_empty())
}
