//! Measures the round in which the leader learns that a data centre with a fifth of the workers does not respond.
//!
//! Followers take a leader for failed that stands still for some tenths of a second, so this round must stay short in a
//! cell of any size.

use std::time::{Duration, Instant};

use criterion::{Criterion, criterion_group, criterion_main};
use lilacpass_core::{Resources, Verdict};
use lilacpass_jobs::WorkerName;
use lilacpass_lead::{
    Event, Leader, Now, Options,
    event::{CallError, PollResponse, Registration},
};

/// Numbers of workers of the measured cells.
const WORKERS: [usize; 4] = [1_100, 6_000, 12_000, 24_000];
const DATA_CENTRES: usize = 5;
/// Time from the last response to the failures, in ms.
const SILENCE_MS: u64 = 300;

fn name(number: usize) -> WorkerName {
    WorkerName::from(format!("i-{number:06}").as_str())
}

/// A leader that all workers have responded to.
fn leader(workers: usize, now: Now) -> Leader {
    let mut leader = Leader::new(Options::default(), Vec::new(), now);
    for number in 0..workers {
        let registration = Registration {
            name: name(number),
            address: format!("10.0.0.1:{number}"),
            data_centre: format!("dc-{}", number % DATA_CENTRES),
            service: "pool".to_owned(),
            capacity: Resources::new(64_000, 262_144, 0, 0),
            labels: vec!["a".to_owned(), format!("r-{}", number / 8)],
            draining: false,
        };
        leader.handle(Event::WorkerRegistered(registration), now);
    }
    for number in 0..workers {
        let response = PollResponse { clock_ms: now.steady_ms, ..PollResponse::default() };
        leader.handle(polled(number, now, Ok(response)), now);
    }
    leader.finish(now);
    leader
}

fn polled(number: usize, now: Now, result: Result<PollResponse, CallError>) -> Event {
    Event::Polled { worker: name(number), sent_ms: now.steady_ms, extra: false, result }
}

/// The time of the round in which all polls of a data centre fail.
fn measure(workers: usize) -> Duration {
    let responded = Now { steady_ms: 10_000, unix_ms: 10_000 };
    let mut leader = leader(workers, responded);
    let failed_ms = responded.steady_ms + SILENCE_MS;
    let now = Now { steady_ms: failed_ms, unix_ms: failed_ms };
    let start = Instant::now();
    for number in (0..workers).step_by(DATA_CENTRES) {
        leader.handle(polled(number, now, Err(CallError::Failed(Verdict::NotRun))), now);
    }
    leader.finish(now);
    start.elapsed()
}

fn lost_data_centre(c: &mut Criterion) {
    for workers in WORKERS {
        c.bench_function(&format!("lost data centre/{workers}"), |b| {
            b.iter_custom(|count| (0..count).map(|_| measure(workers)).sum());
        });
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(50))
        .measurement_time(Duration::from_millis(200));
    targets = lost_data_centre
}
criterion_main!(benches);
