//! Every mix of three servers that answer, refuse, die or are gone, against what must hold.

mod support;

use std::time::Duration;

use lilacpass_cli::{
    Error, Exit,
    api::{
        Client,
        client::{IDEMPOTENCY_KEY, Repeat},
        path,
    },
};
use serde_json::json;
use support::{Fake, Seen, nobody};

/// What a server does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Conduct {
    Gone,
    /// Takes it and dies before it answers.
    Dies,
    Answers,
    /// Truthfully says that it did not run what it got.
    Stopping,
    Overloaded,
    Forbids,
    /// Took it and does not know what became of it.
    Unsure,
    /// Ran it, and the work failed.
    Failed,
    /// A balancer that lost the server behind it.
    Gateway,
}

use Conduct::{Answers, Dies, Failed, Forbids, Gateway, Gone, Overloaded, Stopping, Unsure};

const ALL: [Conduct; 9] =
    [Gone, Dies, Answers, Stopping, Overloaded, Forbids, Unsure, Failed, Gateway];

impl Conduct {
    fn start(self) -> Option<Fake> {
        let problem = |status, verdict: &str| {
            Fake::always(status, json!({ "status": status, "verdict": verdict }))
        };
        Some(match self {
            Gone => return None,
            Dies => Fake::dying(),
            Answers => Fake::always(200, json!({ "verdict": "ran" })),
            Stopping => problem(503, "not_run"),
            Overloaded => problem(429, "not_run"),
            Forbids => problem(403, "not_run"),
            Unsure => problem(504, "may_have_run"),
            Failed => problem(502, "ran"),
            Gateway => problem(502, ""),
        })
    }

    /// Whether a request that arrived may have had an effect.
    fn may_take(self) -> bool {
        matches!(self, Dies | Answers | Unsure | Failed | Gateway)
    }
}

/// A server of each conduct.
struct Cast {
    servers: Vec<(Conduct, Option<Fake>)>,
    /// Address of the one that is gone.
    gone: String,
}

impl Cast {
    fn start() -> Self {
        let servers = ALL.into_iter().map(|conduct| (conduct, conduct.start())).collect();
        Self { servers, gone: nobody() }
    }

    fn play(&self, index: usize) -> Part<'_> {
        let (conduct, server) = &self.servers[index % ALL.len()];
        let url = server.as_ref().map_or(&self.gone, |server| &server.url);
        let seen_before = server.as_ref().map_or(0, |server| server.seen().len());
        Part { conduct: *conduct, url, server: server.as_ref(), seen_before }
    }
}

/// One server in one mix.
struct Part<'a> {
    conduct: Conduct,
    url: &'a str,
    server: Option<&'a Fake>,
    seen_before: usize,
}

impl Part<'_> {
    fn seen(&self) -> Vec<Seen> {
        self.server.map_or_else(Vec::new, |server| server.seen().split_off(self.seen_before))
    }

    fn has(&self, conduct: Conduct) -> bool {
        self.conduct == conduct && !self.seen().is_empty()
    }
}

/// A caller has a list of servers, any of which may be gone, stopping or about to die. Whatever the
/// mix, a request that must not be repeated reaches at most one server that may take it; one that
/// may be repeated carries the same key everywhere; and where the tool says that nothing ran, no
/// server has taken it.
#[tokio::test]
async fn no_mix_of_servers_repeats_what_must_not_be_or_denies_what_may_have_run() {
    let casts = [Cast::start(), Cast::start(), Cast::start()];
    for repeat in [Repeat::OnlyNotRun, Repeat::Safe] {
        for index in 0..ALL.len().pow(3) {
            let [first, second, third] = &casts;
            let parts = [first.play(index), second.play(index / 9), third.play(index / 81)];
            check(&parts, repeat).await;
        }
    }
}

async fn check(parts: &[Part<'_>; 3], repeat: Repeat) {
    let mix: Vec<Conduct> = parts.iter().map(|part| part.conduct).collect();
    let urls = parts.iter().map(|part| part.url.parse().unwrap()).collect();
    let mut client = Client::new(urls, None, Duration::from_secs(20));
    let headers = vec![(IDEMPOTENCY_KEY, "k1".to_owned())];
    let outcome = client.post(path::JOBS, headers, &json!({}), repeat).await;
    let exit = outcome.as_ref().map_or_else(Error::exit, |_| Exit::Ok);

    let seen: Vec<Seen> = parts.iter().flat_map(Part::seen).collect();
    assert!(parts.iter().all(|part| part.seen().len() <= 1), "{mix:?}");
    assert!(seen.iter().all(|request| request.header(IDEMPOTENCY_KEY) == Some("k1")), "{mix:?}");
    let may_take = |part: &&Part<'_>| part.conduct.may_take() && !part.seen().is_empty();
    let taken = parts.iter().filter(may_take).count();
    assert!(repeat == Repeat::Safe || taken <= 1, "{mix:?}");
    let denied = matches!(exit, Exit::NotRun | Exit::Unreachable);
    assert!(!denied || taken == 0, "{mix:?} {repeat:?}: {outcome:?}");
    let has_run = parts.iter().any(|part| part.has(Answers) || part.has(Failed));
    assert_eq!(matches!(exit, Exit::Ok | Exit::Failed), has_run, "{mix:?}");
    assert!(!has_run || may_be_last(parts), "{mix:?}");
    // A server that would serve it is reached past all that are gone or stopping.
    let first = mix.iter().find(|conduct| !matches!(conduct, Gone | Stopping));
    assert!(first != Some(&Answers) || exit == Exit::Ok, "{mix:?}");
}

/// Whether no server was asked after one that said that the work has run.
fn may_be_last(parts: &[Part<'_>; 3]) -> bool {
    let mut after = parts.iter().skip_while(|part| !part.has(Answers) && !part.has(Failed)).skip(1);
    after.all(|part| part.seen().is_empty())
}
