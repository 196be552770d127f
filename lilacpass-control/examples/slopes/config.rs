//! The fold of configuration changes, and what control does on each.

use std::sync::Arc;

use lilacpass_config::{ChangeOutcome, ConfigFold};
use lilacpass_control::event::Stream;
use lilacpass_core::ids::Offset;
use lilacpass_schema::v1::{self, record};

use crate::{
    cost, fit,
    fit::Series,
    instance::{Instance, Surroundings},
    sample,
};

const TOTAL: [usize; 3] = [48, 2_300, 21_000];
const HELD: [usize; 3] = [6, 50, 290];
const CHANGES: usize = 100;
const FEW: usize = 30;

pub(crate) fn run() {
    fit::head("Configuration: one change of one worker");
    memory();
    let mut alone = Series::new("fold, no reader beside", "us", "workers");
    let mut read = Series::new("fold while the front keeps the last one", "us", "workers");
    for total in TOTAL {
        alone.add(total, cost::least(|| fold(total, false)));
        read.add(total, cost::least(|| fold(total, true)));
    }
    alone.print();
    read.print();
    let mut workers = Series::new("control, 6 held", "us", "workers");
    for total in TOTAL {
        workers.add(total, control(total, 6));
    }
    workers.print();
    let mut held = Series::new("control, 21,000 workers", "us", "held");
    for count in HELD {
        held.add(count, control(21_000, count));
    }
    held.print();
}

/// Comes first and keeps all, so that none reuses the memory of another.
fn memory() {
    let mut bytes = Series::new("memory of control, 6 held", "KB", "workers");
    let mut kept = Vec::new();
    for total in [2_300, 10_000, 21_000] {
        let before = cost::resident();
        kept.push(Instance::new(surroundings(total, 6)));
        bytes.add(total, cost::resident().saturating_sub(before) as f64 / 1e3);
    }
    bytes.print();
}

fn surroundings(workers: usize, held: usize) -> Surroundings {
    Surroundings { workers, held, tasks_each: 0, near: 0, far: 0, running: 0, ended: 0 }
}

/// Microseconds for the fold of one change.
fn fold(workers: usize, is_read: bool) -> f64 {
    let mut fold = ConfigFold::new();
    let first = sample::first_change(sample::configuration(workers, 6));
    let outcome = fold.fold(Offset(0), &first);
    assert!(matches!(outcome, ChangeOutcome::Accepted(_)), "{outcome:?}");
    let mut reader: Option<Arc<v1::Configuration>> = None;
    let (spent, ()) = cost::time(|| {
        for n in 0..CHANGES {
            let change = sample::worker_change(fold.revision().0, n % 6, n / 6 % 2 == 0);
            let outcome = fold.fold(Offset(1 + n as u64), &change);
            assert!(matches!(outcome, ChangeOutcome::Accepted(_)));
            reader = is_read.then(|| Arc::clone(fold.configuration()));
        }
    });
    drop(reader);
    cost::us_each(spent, CHANGES)
}

/// Microseconds of control for one change that it reads.
fn control(workers: usize, held: usize) -> f64 {
    let mut instance = Instance::new(surroundings(workers, held));
    assert_eq!(instance.serving(), held as u64, "all workers of the data centre are held");
    let mut revision = 1;
    cost::least(|| {
        instance.reset();
        for n in 0..FEW {
            let change = sample::worker_change(revision, n % 6, n / 6 % 2 == 0);
            instance.read(Stream::Config, vec![record::Body::Config(change)]);
            revision += 1;
        }
        cost::us_each(instance.spent, FEW)
    })
}
