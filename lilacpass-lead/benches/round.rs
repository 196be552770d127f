//! Measures the time of one scheduling round in a full cell, by the number of workers and of waiting steps.
//!
//! For each size, prints the mean times and then the median and the 99th percentile of single decisions.

mod cell;

use std::time::Duration;

use cell::{Case, Cell};
use criterion::{Criterion, criterion_group, criterion_main};

/// Numbers of workers of the measured cells.
const WORKERS: [usize; 4] = [48, 350, 1_100, 2_300];
/// Numbers of waiting steps.
const WAITING: [usize; 4] = [10, 100, 1_000, 10_000];
const CASES: [Case; 5] =
    [Case::FullRound, Case::Review, Case::FreedWorker, Case::QuietLook, Case::NewJob];
/// Numbers of accounts, workers and waiting steps with which reviews of the use of accounts are measured.
const ACCOUNTS: u64 = 180;
const FAIR_USE_WORKERS: usize = 350;
const FAIR_USE_WAITING: usize = 10_000;
/// Cases that single decisions cycle through.
const DECISIONS: [Case; 3] = [Case::FreedWorker, Case::QuietLook, Case::NewJob];
/// Number of single decisions that the percentiles are computed from.
const SINGLE_DECISIONS: usize = 300;
/// Maximum total time of the single decisions of a cell. After that, the percentiles are computed from fewer decisions.
const MAX_SINGLE_TIME: Duration = Duration::from_secs(3);

fn rounds(c: &mut Criterion) {
    for workers in WORKERS {
        for waiting in WAITING {
            let mut cell = None;
            for case in CASES {
                c.bench_function(&format!("{case:?}/{workers}/{waiting}"), |b| {
                    let cell = cell.get_or_insert_with(|| Cell::new(workers, waiting));
                    b.iter_custom(|count| (0..count).map(|_| cell.measure(case)).sum());
                });
            }
            if let Some(cell) = &mut cell {
                print_percentiles(cell, workers, waiting);
            }
        }
    }
}

/// Measures reviews of the use of client accounts.
fn fair_use_reviews(c: &mut Criterion) {
    let mut cell = None;
    for case in [Case::Review, Case::FairUseReview, Case::BandChanges] {
        let name = format!("{case:?}/{ACCOUNTS} accounts/{FAIR_USE_WORKERS}/{FAIR_USE_WAITING}");
        c.bench_function(&name, |b| {
            let cell = cell.get_or_insert_with(|| {
                Cell::with_accounts(FAIR_USE_WORKERS, FAIR_USE_WAITING, ACCOUNTS)
            });
            b.iter_custom(|count| (0..count).map(|_| cell.measure(case)).sum());
        });
        if let Some(cell) = &cell {
            let (waiting, moved) = cell.waiting_and_moved();
            println!("{name}: {waiting} steps wait, {moved} moves so far");
        }
    }
}

/// Measures single decisions and prints their median and 99th percentile.
fn print_percentiles(cell: &mut Cell, workers: usize, waiting: usize) {
    let mut times = Vec::new();
    let mut total = Duration::ZERO;
    for case in DECISIONS.into_iter().cycle().take(SINGLE_DECISIONS) {
        let took = cell.measure(case);
        times.push(took);
        total += took;
        if total > MAX_SINGLE_TIME {
            break;
        }
    }
    times.sort_unstable();
    let (median, p99) = (times[times.len() / 2], times[times.len() * 99 / 100]);
    println!("single/{workers}/{waiting}: median {median:?}, p99 {p99:?} of {}", times.len());
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(50))
        .measurement_time(Duration::from_millis(200));
    targets = rounds, fair_use_reviews
}
criterion_main!(benches);
