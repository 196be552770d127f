//! The index of workers by room tells the same as going through all of them.

use std::{cmp::Reverse, collections::BTreeMap};

use lilacpass_core::Resources;
use lilacpass_jobs::{JobKey, StepName, WorkerName};
use lilacpass_lead::{
    capacity_index::CapacityIndex,
    event::Registration,
    place,
    worker::{Phase, RunKey, Worker},
};

const CENTRES: [&str; 3] = ["north", "south", "west"];
const WORKERS: u64 = 40;
const CHANGES: u64 = 2_000;

fn worker(number: u64) -> Worker {
    let entry = Registration {
        name: WorkerName::from(format!("w-{number:02}").as_str()),
        address: String::new(),
        data_centre: CENTRES[number as usize % CENTRES.len()].to_owned(),
        service: format!("service-{}", number % 2),
        capacity: Resources::new(4_000 * (1 + number % 3), 2_000, 4, 0),
        labels: Vec::new(),
        draining: false,
    };
    let mut worker = Worker::new(entry, 0);
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

fn with_room(
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

/// Workers get and lose runs and come and go; a worker that the index forgot, or kept at its old room, would stand
/// idle or be asked about for nothing.
#[test]
fn the_index_tells_what_the_workers_have() {
    let mut workers = BTreeMap::new();
    let mut rooms = CapacityIndex::default();
    for change in 0..CHANGES {
        let number = change * 7 % WORKERS;
        let name = WorkerName::from(format!("w-{number:02}").as_str());
        if change % 11 == 10 {
            workers.remove(&name);
            rooms.remove(&name);
        } else {
            let changed = workers.entry(name).or_insert_with(|| worker(number));
            changed.draining = change % 13 == 12;
            let free = changed.free_capacity();
            if need(change).fits(&free) {
                changed.assign(run(change), need(change), Phase::Ordered);
            } else if let Some(&first) = changed.runs.keys().next() {
                changed.remove_run(first);
            }
            rooms.update(changed);
        }
        let wanted = need(change / 3);
        for service in ["service-0", "service-1"] {
            check(&workers, &rooms, service, wanted);
        }
    }
}

fn check(
    workers: &BTreeMap<WorkerName, Worker>,
    rooms: &CapacityIndex,
    service: &str,
    wanted: Resources,
) {
    let roomy = with_room(workers, service, wanted);
    let names: Vec<&WorkerName> = roomy.iter().map(|worker| &worker.registration.name).collect();
    assert_eq!(rooms.fitting(service, &wanted, names.len()), Some(names.clone()));
    if !names.is_empty() {
        assert_eq!(rooms.fitting(service, &wanted, names.len() - 1), None, "too many");
    }
    for home in [None, Some("south"), Some("nowhere")] {
        let step = Default::default();
        let mut best: Vec<&Worker> = roomy.iter().collect();
        best.sort_by_key(|worker| Reverse(place::Score::new(worker, &step, home)));
        let best: Vec<&WorkerName> = best.iter().map(|worker| &worker.registration.name).collect();
        let preferred: Vec<&WorkerName> = rooms.by_preference(service, home, wanted).collect();
        assert_eq!(preferred, best, "home {home:?}");
    }
}
