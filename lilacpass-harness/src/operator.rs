//! Operators: change the configuration, and read everywhere which revision is in force.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use lilacpass_schema::v1::{self, config_op};
use tokio::{
    task::JoinHandle,
    time::{self, Instant},
};

use crate::{
    caller::Balancer,
    client::{Api, Reply},
    ledger::{self, ChangeNote, EntryKey, Ledger, RevisionNote},
};

/// Time between two readings of the revision on each entry instance.
const READ_INTERVAL: Duration = Duration::from_millis(100);
const RETRY: Duration = Duration::from_millis(100);

/// An operator; a clone is another handle of the same one.
#[derive(Clone)]
pub struct Operator {
    /// Client with the operator's token.
    pub api: Api,
    /// Where changes go.
    pub balancer: Balancer,
    /// Notes of the run.
    pub ledger: Ledger,
}

impl Operator {
    /// Makes a change, again on the newest revision until it is accepted or `limit` is over.
    ///
    /// The change also puts a team named `trace` into the configuration, by which a change whose
    /// answer was lost is found, and by which it is seen at the end whether it is still there.
    pub async fn change(
        &self,
        trace: &str,
        ops: Vec<v1::ConfigOp>,
        limit: Duration,
    ) -> Option<u64> {
        let give_up_at = Instant::now() + limit;
        let request = traced(trace, ops);
        while Instant::now() < give_up_at {
            if let Some(revision) = self.try_change(trace, &request).await {
                return Some(revision);
            }
            time::sleep(RETRY).await;
        }
        None
    }

    /// Tries once, on the revision that the entry instance shows.
    async fn try_change(&self, trace: &str, request: &v1::ChangeRequest) -> Option<u64> {
        let (_, to) = self.balancer.pick()?;
        let shown: v1::InventoryView = self.api.get(to, "/v1/inventory").await.done()?;
        let has_trace = |view: &v1::InventoryView| traces(view).contains(trace);
        if has_trace(&shown) {
            // An earlier try took effect and its answer was lost.
            return Some(shown.revision);
        }
        match self.api.change(to, shown.revision, request).await {
            Reply::Done(answer) => {
                self.ledger.notes().changes.push(ChangeNote {
                    revision: answer.revision,
                    accepted_unix_ms: ledger::unix_ms(),
                    trace: trace.to_owned(),
                });
                Some(answer.revision)
            }
            Reply::Problem(_) | Reply::Broken(_) => None,
        }
    }

    /// Reads the revision of each entry instance again and again, until the handle is aborted.
    pub fn watch_revisions(&self) -> JoinHandle<()> {
        let operator = self.clone();
        tokio::spawn(async move {
            let mut reading: HashMap<EntryKey, JoinHandle<()>> = HashMap::new();
            loop {
                reading.retain(|_, task| !task.is_finished());
                for (entry, to) in operator.balancer.targets() {
                    if reading.contains_key(&entry) {
                        continue;
                    }
                    let (reader, key) = (operator.clone(), entry.clone());
                    let task = tokio::spawn(async move { reader.read_revision(key, to).await });
                    reading.insert(entry, task);
                }
                time::sleep(READ_INTERVAL).await;
            }
        })
    }

    async fn read_revision(&self, entry: EntryKey, to: std::net::SocketAddr) {
        let sent_unix_ms = ledger::unix_ms();
        let status: Reply<v1::StatusView> = self.api.get(to, "/v1/status").await;
        if let Some(status) = status.done().filter(|status| status.ready) {
            let revision = status.revision;
            self.ledger.notes().revisions.push(RevisionNote { entry, sent_unix_ms, revision });
        }
    }

    /// Traces of changes that each entry instance shows.
    pub async fn final_traces(&self) -> HashMap<String, HashSet<String>> {
        let mut shown = HashMap::new();
        for (entry, to) in self.balancer.targets() {
            let view: Reply<v1::InventoryView> = self.api.get(to, "/v1/inventory").await;
            if let Some(view) = view.done() {
                shown.insert(entry.name, traces(&view));
            }
        }
        shown
    }
}

/// A change with its trace.
fn traced(trace: &str, mut ops: Vec<v1::ConfigOp>) -> v1::ChangeRequest {
    let team = v1::Team { name: trace.to_owned(), may_borrow: true, ..Default::default() };
    ops.push(op(config_op::Op::UpsertTeam(team)));
    v1::ChangeRequest { ops, reason: trace.to_owned(), dry_run: false }
}

/// One step of a change.
pub fn op(op: config_op::Op) -> v1::ConfigOp {
    v1::ConfigOp { op: Some(op) }
}

fn traces(view: &v1::InventoryView) -> HashSet<String> {
    let teams = view.configuration.iter().flat_map(|configuration| &configuration.teams);
    teams.map(|team| team.name.clone()).collect()
}
