//! What entry instances and the log cost, idle and under load.

use std::time::Duration;

use lilacpass_schema::v1;
use tokio::time;

use crate::{
    caller::{Balancer, Caller},
    cell::{Cell, CellOptions},
    client::Api,
    deployment::VINDBAAR,
    error::Result,
    ledger::Ledger,
    load::{QUICK_RUN, QuickLoad},
    process::Usage,
};

const ENTRIES: [usize; 3] = [8, 16, 32];
/// Time after the start until the cell counts as idle.
const SETTLE: Duration = Duration::from_secs(4);
const OBSERVED: Duration = Duration::from_secs(10);
const QUICK_PER_SECOND: u32 = 200;
/// Metrics of bytes over connections that an entry instance opened have this behind the name of
/// the other end.
const LINK_SUFFIX: &str = "_link_bytes_total";
/// The other ends.
const LINKS: [&str; 3] = ["peer", "worker", "platform"];

/// Totals at one moment.
struct Reading {
    usages: Vec<Usage>,
    link_bytes: [f64; LINKS.len()],
    log: v1::PlatformCounts,
}

/// Measures each number of entries.
pub(super) async fn measure(print: &impl Fn(String)) -> Result<()> {
    for entries in ENTRIES {
        let options = CellOptions { entries, ..CellOptions::new(VINDBAAR) };
        let mut cell = Cell::start(options).await?;
        time::sleep(SETTLE).await;
        let before = read(&mut cell).await?;
        time::sleep(OBSERVED).await;
        let after = read(&mut cell).await?;
        print(line("idle", &before, &after));
        let balancer = Balancer::default();
        balancer.set_targets(cell.targets());
        let caller =
            Caller { api: Api::new(&cell.team_token)?, balancer, ledger: Ledger::default() };
        let load = QuickLoad {
            deployment: VINDBAAR,
            per_second: QUICK_PER_SECOND,
            alert_every: 0,
            duration: OBSERVED,
            longest_run: QUICK_RUN,
        };
        let before = read(&mut cell).await?;
        load.run(caller).await;
        let after = read(&mut cell).await?;
        print(line(&format!("quick={QUICK_PER_SECOND}/s"), &before, &after));
    }
    Ok(())
}

async fn read(cell: &mut Cell) -> Result<Reading> {
    let api = Api::new(&cell.operator_token)?;
    let mut link_bytes = [0.0; LINKS.len()];
    let mut usages = Vec::new();
    for entry in &cell.entries {
        let text = api.metrics(entry.http).await.unwrap_or_default();
        for (bytes, link) in link_bytes.iter_mut().zip(LINKS) {
            *bytes += text.lines().filter_map(|line| link_metric(line, link)).sum::<f64>();
        }
        if let Some(process) = &entry.process {
            usages.push(process.usage()?);
        }
    }
    let log = cell.platform.counts(v1::PlatformCountsRequest {}).await?.into_inner();
    Ok(Reading { usages, link_bytes, log })
}

/// The value of a line of the metrics, where it counts bytes of connections to `link`.
fn link_metric(line: &str, link: &str) -> Option<f64> {
    let (name, value) = line.rsplit_once(' ')?;
    let is_meant = name.split('{').next()?.strip_suffix(LINK_SUFFIX)?.ends_with(link);
    is_meant.then(|| value.parse().ok()).flatten()
}

fn line(state: &str, before: &Reading, after: &Reading) -> String {
    const MEBIBYTE: f64 = 1_048_576.0;
    let entries = after.usages.len() as f64;
    let elapsed_s = OBSERVED.as_secs_f64();
    let cpu = |reading: &Reading| reading.usages.iter().map(|u| u.cpu.as_secs_f64()).sum::<f64>();
    let cpu_percent = (cpu(after) - cpu(before)) / entries / elapsed_s * 100.0;
    let resident = after.usages.iter().map(|u| u.resident_bytes).max().unwrap_or_default();
    let links: Vec<String> = LINKS
        .iter()
        .zip(after.link_bytes.iter().zip(before.link_bytes))
        .map(|(link, (after, before))| {
            format!("{link}={:.0}B/s", (after - before) / entries / elapsed_s)
        })
        .collect();
    let links = links.join(" ");
    let appends = (after.log.appends - before.log.appends) as f64 / elapsed_s;
    let appended = (after.log.appended_bytes - before.log.appended_bytes) as f64 / elapsed_s;
    let read = (after.log.read_bytes - before.log.read_bytes) as f64 / elapsed_s;
    format!(
        "footprint entries={entries} {state}: per entry cpu={cpu_percent:.2}% \
         rss_most={:.1}MiB {links}; in all appends={appends:.1}/s \
         appended_bytes={appended:.0}/s read_bytes={read:.0}/s",
        resident as f64 / MEBIBYTE
    )
}
