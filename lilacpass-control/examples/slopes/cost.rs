//! What work costs: processor time of this thread, and memory of this process.

use std::{fs, time::Duration};

use rustix::time::{ClockId, clock_gettime};

/// Processor time that this thread has used.
pub(crate) fn cpu() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or_default(),
        u32::try_from(time.tv_nsec).unwrap_or_default(),
    )
}

/// Processor time of `work`, and what it gives.
pub(crate) fn time<T>(work: impl FnOnce() -> T) -> (Duration, T) {
    let from = cpu();
    let value = work();
    (cpu() - from, value)
}

/// Microseconds per piece of work.
pub(crate) fn us_each(spent: Duration, pieces: usize) -> f64 {
    spent.as_secs_f64() * 1e6 / pieces as f64
}

/// The least of three measurements: other work on the machine only ever adds.
pub(crate) fn least(mut measure: impl FnMut() -> f64) -> f64 {
    (0..3).map(|_| measure()).fold(f64::INFINITY, f64::min)
}

/// Processor time that reading the clock twice takes, on average.
pub(crate) fn of_reading() -> Duration {
    const READINGS: u32 = 100_000;
    let (spent, ()) = time(|| {
        for _ in 0..READINGS {
            std::hint::black_box(cpu());
        }
    });
    spent / READINGS
}

/// The memory that this process holds, in bytes, as the system tells.
pub(crate) fn resident() -> u64 {
    const PAGE: u64 = 4_096;
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0) * PAGE
}
