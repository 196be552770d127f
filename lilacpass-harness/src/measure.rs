//! Measurements of a whole cell: takeover, spreading of changes, footprint, added latency.

use std::time::Duration;

use clap::ValueEnum;

use crate::error::Result;

mod footprint;
mod latency;
mod spreading;
mod takeover;

/// What can be measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Part {
    /// Time without service for a worker after its holder was killed or paused.
    Takeover,
    /// Time until a change is in force on all entry instances.
    Spreading,
    /// Appends, bytes, processor share and memory, idle and under load, at 8, 16 and 32 entries.
    Footprint,
    /// What a quick request through an entry that holds nothing takes more than the worker needs.
    Latency,
}

/// Measures `parts`, or everything; each line of the result goes to `print`.
pub async fn run(parts: &[Part], print: impl Fn(String)) -> Result<()> {
    let is_wanted = |part: Part| parts.is_empty() || parts.contains(&part);
    if is_wanted(Part::Takeover) {
        takeover::measure(&print).await?;
    }
    if is_wanted(Part::Spreading) {
        spreading::measure(&print).await?;
    }
    if is_wanted(Part::Footprint) {
        footprint::measure(&print).await?;
    }
    if is_wanted(Part::Latency) {
        latency::measure(&print).await?;
    }
    Ok(())
}

/// The value below which `percent` of the sorted `times` lie.
fn percentile(times: &mut [Duration], percent: usize) -> Duration {
    times.sort();
    let rank = (times.len() * percent).div_ceil(100);
    times.get(rank.saturating_sub(1)).copied().unwrap_or_default()
}

/// Seconds with three digits.
fn seconds(time: Duration) -> String {
    format!("{:.3}s", time.as_secs_f64())
}
