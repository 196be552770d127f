//! Every mix of three servers that answer, refuse, die or are gone, against what must hold.

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

/// What a server does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    Down,
    /// Takes it and dies before it answers.
    Crashes,
    Succeeds,
    /// Truthfully says that it did not run what it got.
    ShuttingDown,
    Overloaded,
    Forbidden,
    /// Took it and does not know what became of it.
    Uncertain,
    /// Ran it, and the work failed.
    Failed,
    /// A balancer that lost the server behind it.
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

    /// Whether a request that arrived may have had an effect.
    fn may_execute(self) -> bool {
        matches!(self, Crashes | Succeeds | Uncertain | Failed | BadGateway)
    }
}

/// A server of each conduct.
struct ServerSet {
    servers: Vec<(Behaviour, Option<FakeServer>)>,
    /// Address of the one that is gone.
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

/// One server in one mix.
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

/// A caller has a list of servers, any of which may be gone, stopping or about to die. Whatever the
/// mix, a request that must not be repeated reaches at most one server that may take it; one that
/// may be repeated carries the same key everywhere; and where the tool says that nothing ran, no
/// server has taken it.
#[tokio::test]
async fn no_mix_of_servers_repeats_what_must_not_be_or_denies_what_may_have_run() {
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
    // A server that would serve it is reached past all that are gone or stopping.
    let first = mix.iter().find(|behaviour| !matches!(behaviour, Down | ShuttingDown));
    assert!(first != Some(&Succeeds) || exit == Exit::Ok, "{mix:?}");
}

/// Whether no server was asked after one that said that the work has run.
fn no_request_after_execution(servers: &[MixedServer<'_>; 3]) -> bool {
    let mut after =
        servers.iter().skip_while(|server| !server.has(Succeeds) && !server.has(Failed)).skip(1);
    after.all(|server| server.received().is_empty())
}
