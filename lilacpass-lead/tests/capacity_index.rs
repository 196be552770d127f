//! Tests that the capacity index agrees with a scan of all workers.

use std::{cmp::Reverse, collections::BTreeMap};

use lilacpass_core::Resources;
use lilacpass_jobs::{JobKey, StepName, WorkerName};
use lilacpass_lead::{
    capacity_index::CapacityIndex,
    event::Registration,
    learned::{preference::SpeedPreference, speeds::SpeedBucket},
    place,
    worker::{Phase, RunKey, Worker},
};

const DATA_CENTRES: [&str; 3] = ["north", "south", "west"];
const WORKERS: u64 = 40;
const CHANGES: u64 = 2_000;

fn worker(number: u64) -> Worker {
    let registration = Registration {
        name: WorkerName::from(format!("w-{number:02}").as_str()),
        address: String::new(),
        data_centre: DATA_CENTRES[number as usize % DATA_CENTRES.len()].to_owned(),
        service: format!("service-{}", number % 2),
        capacity: Resources::new(4_000 * (1 + number % 3), 2_000, 4, 0),
        labels: Vec::new(),
        draining: false,
    };
    let mut worker = Worker::new(registration, 0);
    (worker.registered, worker.accepted_epoch) = (true, true);
    worker
}

fn run(number: u64) -> RunKey {
    let step = StepName { job: JobKey(number), occurrence: 0, step: 0 };
    (step.task(0), 1)
}

fn need(number: u64) -> Resources {
    Resources::new(500 * (number % 7), 100 * (number % 5), number % 3, 0)
}

/// Returns the available workers of a service on which `need` fits, found by a scan.
fn workers_fitting(
    workers: &BTreeMap<WorkerName, Worker>,
    service: &str,
    need: Resources,
) -> Vec<Worker> {
    let fits = |worker: &&Worker| {
        worker.is_available()
            && worker.registration.service == service
            && need.fits(&worker.free_capacity())
    };
    workers.values().filter(fits).cloned().collect()
}

/// Workers get and lose runs, and are added and removed. A worker that is missing from the index, or indexed with an
/// outdated free capacity, would stay idle or be named in needless requests for advice.
#[test]
fn the_index_agrees_with_a_scan_of_all_workers() {
    let mut workers = BTreeMap::new();
    let mut index = CapacityIndex::default();
    for change in 0..CHANGES {
        let number = change * 7 % WORKERS;
        let name = WorkerName::from(format!("w-{number:02}").as_str());
        if change % 11 == 10 {
            workers.remove(&name);
            index.remove(&name);
        } else {
            let changed = workers.entry(name).or_insert_with(|| worker(number));
            changed.draining = change % 13 == 12;
            changed.speed = SpeedBucket((change % 11) as i8 - 6);
            let free = changed.free_capacity();
            if need(change).fits(&free) {
                changed.assign(run(change), need(change), Phase::Ordered);
            } else if let Some(&first) = changed.runs.keys().next() {
                changed.remove_run(first);
            }
            index.update(changed, 0);
        }
        let need = need(change / 3);
        for service in ["service-0", "service-1"] {
            assert_agrees(&workers, &index, service, need);
        }
    }
}

/// Asserts that the index returns the same workers as a scan, by name and by preference.
fn assert_agrees(
    workers: &BTreeMap<WorkerName, Worker>,
    index: &CapacityIndex,
    service: &str,
    need: Resources,
) {
    let fitting = workers_fitting(workers, service, need);
    let names: Vec<&WorkerName> = fitting.iter().map(|worker| &worker.registration.name).collect();
    assert_eq!(index.fitting(service, &need, names.len()), Some(names.clone()));
    if !names.is_empty() {
        assert_eq!(index.fitting(service, &need, names.len() - 1), None, "too many");
    }
    let preferences = [SpeedPreference::Any, SpeedPreference::Faster, SpeedPreference::Slower];
    let homes = [None, Some("south"), Some("nowhere")];
    for (home, preference) in homes.into_iter().flat_map(|home| preferences.map(|p| (home, p))) {
        let step = Default::default();
        let mut best: Vec<&Worker> = fitting.iter().collect();
        best.sort_by_key(|worker| Reverse(place::Score::new(worker, &step, home, preference)));
        let best: Vec<&WorkerName> = best.iter().map(|worker| &worker.registration.name).collect();
        let preferred: Vec<&WorkerName> =
            index.by_preference(service, home, need, preference, usize::MAX).collect();
        assert_eq!(preferred, best, "home {home:?}, {preference:?}");
    }
}
