//! How long a worker gets no work after its holder was killed or paused.

use std::{collections::HashMap, time::Duration};

use lilacpass_schema::v1;
use lilacpass_standin::Payload;
use tokio::{task::JoinSet, time};

use crate::{
    caller::{Balancer, Caller},
    cell::{Cell, CellOptions},
    client::{Api, Reply},
    deployment::VINDBAAR,
    error::{Error, Result},
    ledger::{self, Ledger},
    measure,
    spans::Spans,
};

const ROUNDS: usize = 3;
/// With the run time below, requests that keep all slots of the cell busy.
const REQUESTS_PER_SECOND: u32 = 200;
const REQUEST_RUN: Duration = Duration::from_secs(2);
const REQUEST_DEADLINE: Duration = Duration::from_secs(8);
const WARM_UP: Duration = Duration::from_secs(4);
const OBSERVED: Duration = Duration::from_secs(15);
/// A start that left the holder before its end may arrive this much later.
const UNDER_WAY_MS: u64 = 100;

/// What happens to the holder.
#[derive(Clone, Copy, Debug)]
enum End {
    Killed,
    Paused,
}

/// Measures both ends of a holder.
pub(super) async fn measure(print: &impl Fn(String)) -> Result<()> {
    for end in [End::Killed, End::Paused] {
        let mut gaps = Vec::new();
        let mut unserved = 0;
        for round in 0..ROUNDS {
            let (round_gaps, never) = one_round(end, round as u64 + 1).await?;
            gaps.extend(round_gaps);
            unserved += never;
        }
        let workers = gaps.len();
        let p50 = measure::seconds(measure::percentile(&mut gaps, 50));
        let max = measure::seconds(measure::percentile(&mut gaps, 100));
        print(format!(
            "takeover holder={end:?} workers={workers} unserved={unserved} p50={p50} max={max}"
        ));
    }
    Ok(())
}

/// One holder ends; the gap of each of its workers, and how many got nothing any more.
async fn one_round(end: End, seed: u64) -> Result<(Vec<Duration>, usize)> {
    let mut cell = Cell::start(CellOptions { seed, ..CellOptions::new(VINDBAAR) }).await?;
    let (holder, workers) = a_holder(&cell).await?;
    let balancer = Balancer::default();
    let others = cell.targets().into_iter().filter(|(key, _)| key.name != holder).collect();
    balancer.set_targets(others);
    let caller = Caller { api: Api::new(&cell.team_token)?, balancer, ledger: Ledger::default() };
    let index = cell.entries.iter().position(|entry| entry.name == holder).unwrap_or_default();
    let load = tokio::spawn(keep_busy(caller));
    time::sleep(WARM_UP).await;
    let at_unix_ms = ledger::unix_ms();
    match end {
        End::Killed => cell.kill_entry(index).await?,
        End::Paused => cell.pause_entry(index, true)?,
    }
    time::sleep(OBSERVED).await;
    load.abort();
    let counts = cell.counts().await?;
    cell.pause_entry(index, false)?;
    let firsts = first_starts(&counts, at_unix_ms + UNDER_WAY_MS);
    let gaps: Vec<Duration> = workers
        .iter()
        .filter_map(|worker| firsts.get(worker))
        .map(|first| Duration::from_millis(first - at_unix_ms))
        .collect();
    let unserved = workers.len() - gaps.len();
    Ok((gaps, unserved))
}

/// An entry instance that holds workers, and these workers.
async fn a_holder(cell: &Cell) -> Result<(String, Vec<String>)> {
    let api = Api::new(&cell.operator_token)?;
    for _ in 0..100 {
        let list: Reply<v1::WorkerList> = api.get(cell.entries[0].http, "/v1/workers").await;
        let workers = list.require("the list of workers")?.workers;
        let held: Vec<_> = workers.iter().filter(|worker| !worker.holder.is_empty()).collect();
        if let Some(first) = held.first() {
            let names = held.iter().filter(|worker| worker.holder == first.holder);
            return Ok((first.holder.clone(), names.map(|worker| worker.name.clone()).collect()));
        }
        time::sleep(Duration::from_millis(100)).await;
    }
    Err(Error::TooLate("a worker to be held".to_owned()))
}

/// Sends requests for ever.
async fn keep_busy(caller: Caller) {
    let mut requests = JoinSet::new();
    let mut ticks = time::interval(Duration::from_secs(1) / REQUESTS_PER_SECOND);
    for number in 0.. {
        ticks.tick().await;
        let payload =
            Payload { id: format!("busy-{number}"), run: Some(REQUEST_RUN), ..Payload::default() };
        let spec = VINDBAAR.quick(&payload.to_string());
        let caller = caller.clone();
        requests.spawn(async move { caller.quick(&spec, REQUEST_DEADLINE).await });
        while requests.try_join_next().is_some() {}
    }
}

/// The first start on each worker at or after a moment.
fn first_starts(counts: &v1::WorkerCounts, from_unix_ms: u64) -> HashMap<String, u64> {
    let mut firsts: HashMap<String, u64> = HashMap::new();
    let spans = Spans::new(counts);
    let starts = spans.iter().flat_map(|(_, runs)| runs);
    for run in starts.filter(|run| run.started_unix_ms >= from_unix_ms) {
        let first = firsts.entry(run.worker.clone()).or_insert(u64::MAX);
        *first = run.started_unix_ms.min(*first);
    }
    firsts
}
