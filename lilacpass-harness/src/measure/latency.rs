//! What a quick request takes through an entry instance that holds no worker.
//!
//! Requests are sent at fixed times, and each latency counts from the time at which the request
//! was due, so that a slow answer can't hide the requests that wait behind it.

use std::{net::SocketAddr, time::Duration};

use hdrhistogram::Histogram;
use lilacpass_schema::v1::{self, worker_client::WorkerClient};
use lilacpass_standin::Payload;
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};
use tonic::transport::Channel;

use crate::{
    cell::{Cell, CellOptions},
    client::{Api, Reply},
    deployment::{TASK_SIZE, VINDBAAR},
    error::{Error, Result},
    load::QUICK_DEADLINE,
};

const WARM_UP: u32 = 200;
const REQUESTS: u32 = 3000;
const PER_SECOND: u32 = 300;
const HIGHEST_US: u64 = 60_000_000;
const DIGITS: u8 = 3;

/// Measures requests straight to a worker, then through an entry that holds nothing.
pub(super) async fn measure(print: &impl Fn(String)) -> Result<()> {
    let cell = Cell::start(CellOptions::new(VINDBAAR)).await?;
    let worker: SocketAddr = cell.worker_specs[0]
        .address
        .parse()
        .map_err(|_| Error::Unexpected("a worker".to_owned(), "it has no address".to_owned()))?;
    let direct = direct_latencies(worker).await?;
    let api = Api::new(&cell.team_token)?;
    let (holders, others) = split(&cell).await?;
    print(line("straight to a worker", &direct));
    for (name, entries) in [("through a holder", holders), ("through a non-holder", others)] {
        let Some(to) = entries.first().copied() else {
            print(format!("latency {name}: there is none"));
            continue;
        };
        entry_latencies(&api, to, WARM_UP).await?;
        print(line(name, &entry_latencies(&api, to, REQUESTS).await?));
    }
    Ok(())
}

/// Addresses of entry instances that hold workers, and of those that hold none.
async fn split(cell: &Cell) -> Result<(Vec<SocketAddr>, Vec<SocketAddr>)> {
    let api = Api::new(&cell.operator_token)?;
    // Shards are claimed in the first moments of a cell.
    time::sleep(Duration::from_secs(3)).await;
    let mut holders = Vec::new();
    for entry in &cell.entries {
        let list: Reply<v1::WorkerList> = api.get(entry.http, "/v1/workers").await;
        let workers = list.require("the list of workers")?.workers;
        if workers.iter().any(|worker| worker.holder == entry.name) {
            holders.push(entry.http);
        }
    }
    let others = cell.entries.iter().map(|entry| entry.http).filter(|a| !holders.contains(a));
    let others = others.collect();
    Ok((holders, others))
}

/// Latencies of an open loop, in microseconds, and the number of requests without an answer.
struct Latencies {
    histogram: Histogram<u64>,
    failed: u32,
}

async fn direct_latencies(worker: SocketAddr) -> Result<Latencies> {
    let endpoint = Channel::from_shared(format!("http://{worker}"))
        .map_err(|err| Error::Unexpected("an address".to_owned(), err.to_string()))?;
    let client = WorkerClient::new(endpoint.connect().await?);
    open_loop(REQUESTS, |number| {
        let mut client = client.clone();
        async move {
            let task = v1::TaskKey { job_id: format!("{number:032x}"), attempt: 1, index: 0 };
            let request = v1::RunRequest {
                task: Some(task),
                given: Some(TASK_SIZE),
                payload: payload(number),
                ..Default::default()
            };
            client.run(request).await.is_ok()
        }
    })
    .await
}

async fn entry_latencies(api: &Api, to: SocketAddr, requests: u32) -> Result<Latencies> {
    open_loop(requests, |number| {
        let api = api.clone();
        async move {
            let payload = payload(number);
            let spec = VINDBAAR.quick(&payload);
            let key = format!("{to}-{requests}-{number}");
            matches!(api.quick(to, &spec, &key, QUICK_DEADLINE).await, Reply::Done(_))
        }
    })
    .await
}

/// Sends requests at fixed times, whatever becomes of earlier ones.
async fn open_loop<F>(requests: u32, send: impl Fn(u32) -> F) -> Result<Latencies>
where
    F: Future<Output = bool> + Send + 'static,
{
    let mut histogram = Histogram::new_with_bounds(1, HIGHEST_US, DIGITS)
        .map_err(|err| Error::Unexpected("a histogram".to_owned(), err.to_string()))?;
    let started = Instant::now();
    let mut running = JoinSet::new();
    for number in 0..requests {
        let due = started + Duration::from_secs(1) * number / PER_SECOND;
        time::sleep_until(due).await;
        let answered = send(number);
        running.spawn(async move { (answered.await, due.elapsed()) });
    }
    let mut failed = 0;
    for (answered, took) in running.join_all().await {
        let us = u64::try_from(took.as_micros()).unwrap_or(HIGHEST_US);
        histogram.saturating_record(us);
        failed += u32::from(!answered);
    }
    Ok(Latencies { histogram, failed })
}

fn payload(number: u32) -> String {
    let run = Some(Duration::ZERO);
    Payload { id: format!("latency-{number}"), run, ..Payload::default() }.to_string()
}

fn line(name: &str, latencies: &Latencies) -> String {
    let Latencies { histogram, failed } = latencies;
    let ms = |us: u64| us as f64 / 1000.0;
    format!(
        "latency {name}: rate={PER_SECOND}/s requests={} failed={failed} p50={:.2}ms p99={:.2}ms \
         max={:.2}ms",
        histogram.len(),
        ms(histogram.value_at_quantile(0.5)),
        ms(histogram.value_at_quantile(0.99)),
        ms(histogram.max())
    )
}
