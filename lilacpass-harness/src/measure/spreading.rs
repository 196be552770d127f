//! How long it takes until a change is in force on all entry instances.

use std::{net::SocketAddr, time::Duration};

use lilacpass_schema::v1::{self, config_op};
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

use crate::{
    cell::{Cell, CellOptions},
    client::{Api, Reply},
    deployment::VINDBAAR,
    error::Result,
    measure, operator,
};

const CHANGES: u64 = 40;
const POLL: Duration = Duration::from_millis(5);
/// A change that is not in force everywhere by then counts with this time.
const LIMIT: Duration = Duration::from_secs(10);
/// Time between two changes.
const PAUSE: Duration = Duration::from_millis(50);
/// Entry instance that is cut off or paused.
const DISTURBED: usize = 3;

/// What is wrong meanwhile.
#[derive(Clone, Copy, Debug)]
enum Case {
    AllWell,
    OneCutFromLog,
    OnePaused,
}

/// Measures all cases in one cell.
pub(super) async fn measure(print: &impl Fn(String)) -> Result<()> {
    let mut cell = Cell::start(CellOptions::new(VINDBAAR)).await?;
    for case in [Case::AllWell, Case::OneCutFromLog, Case::OnePaused] {
        set(&mut cell, case, true).await?;
        let mut times = one_case(&cell, case).await?;
        set(&mut cell, case, false).await?;
        let p50 = measure::seconds(measure::percentile(&mut times, 50));
        let p99 = measure::seconds(measure::percentile(&mut times, 99));
        let entries = cell.entries.len();
        print(format!(
            "spreading case={case:?} entries={entries} changes={CHANGES} p50={p50} p99={p99}"
        ));
    }
    Ok(())
}

async fn set(cell: &mut Cell, case: Case, on: bool) -> Result<()> {
    match case {
        Case::AllWell => Ok(()),
        Case::OneCutFromLog => {
            let name = cell.entries[DISTURBED].name.clone();
            let cut_instances = if on { vec![name] } else { Vec::new() };
            let fault = v1::PlatformFault { cut_instances, ..Default::default() };
            cell.platform.set_fault(fault).await?;
            Ok(())
        }
        Case::OnePaused => cell.pause_entry(DISTURBED, on),
    }
}

/// Times from the sending of a change to its being in force everywhere but where paused.
async fn one_case(cell: &Cell, case: Case) -> Result<Vec<Duration>> {
    let api = Api::new(&cell.operator_token)?;
    let to = cell.entries[0].http;
    let paused = matches!(case, Case::OnePaused).then(|| cell.entries[DISTURBED].http);
    let readers: Vec<SocketAddr> = cell
        .targets()
        .into_iter()
        .map(|(_, address)| address)
        .filter(|address| Some(*address) != paused)
        .collect();
    let status: Reply<v1::StatusView> = api.get(to, "/v1/status").await;
    let mut revision = status.require("the status")?.revision;
    let mut times = Vec::new();
    for number in 0..CHANGES {
        let rules = v1::Rules { batch_aging_s: 600 + number, ..Default::default() };
        let ops = vec![operator::op(config_op::Op::SetRules(rules))];
        let change = v1::ChangeRequest { ops, reason: "measurement".to_owned(), dry_run: false };
        let sent_at = Instant::now();
        revision = api.change(to, revision, &change).await.require("a change")?.revision;
        times.push(until_in_force(&api, &readers, revision, sent_at).await);
        time::sleep(PAUSE).await;
    }
    Ok(times)
}

async fn until_in_force(
    api: &Api,
    readers: &[SocketAddr],
    revision: u64,
    sent_at: Instant,
) -> Duration {
    let mut waiting = JoinSet::new();
    for reader in readers.iter().copied() {
        let api = api.clone();
        waiting.spawn(async move {
            while sent_at.elapsed() < LIMIT {
                let status: Reply<v1::StatusView> = api.get(reader, "/v1/status").await;
                if status.done().is_some_and(|status| status.revision >= revision) {
                    return sent_at.elapsed();
                }
                time::sleep(POLL).await;
            }
            LIMIT
        });
    }
    waiting.join_all().await.into_iter().max().unwrap_or_default()
}
