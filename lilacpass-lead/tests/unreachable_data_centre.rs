//! The load on the leader while many workers do not respond.

mod world;

use std::collections::BTreeSet;

use lilacpass_core::Verdict;
use lilacpass_jobs::WorkerName;
use lilacpass_lead::{
    Effect, Event,
    event::{CallError, Registration},
    log_limit::LogLimit,
};
use world::fixture::{LeaderFixture, registration, starts};
use world::step;

const DATA_CENTRES: [&str; 3] = ["here", "near", "far"];
/// Number of workers in each data centre.
const WORKERS: usize = 200;
/// Interval between two rounds of the leader, in ms.
const ROUND_MS: u64 = 10;

/// A leader of three data centres whose workers have all responded.
struct Cell {
    fixture: LeaderFixture,
    /// Polls in flight.
    in_flight: Vec<WorkerName>,
}

fn name(data_centre: usize, number: usize) -> WorkerName {
    WorkerName::from(format!("w-{data_centre}-{number:03}").as_str())
}

fn workers(data_centre: usize) -> impl Iterator<Item = WorkerName> {
    (0..WORKERS).map(move |number| name(data_centre, number))
}

impl Cell {
    fn new() -> Self {
        let mut cell = Self { fixture: LeaderFixture::new(&[]), in_flight: Vec::new() };
        for (number, data_centre) in DATA_CENTRES.iter().enumerate() {
            for worker in workers(number) {
                let registration = Registration {
                    data_centre: (*data_centre).to_owned(),
                    ..registration(worker.clone())
                };
                cell.fixture
                    .leader
                    .handle(Event::WorkerRegistered(registration), cell.fixture.now());
                cell.fixture.poll_answered(worker, &[], &[]);
            }
        }
        cell
    }

    /// Delivers the failures of all polls in flight to workers of a data centre, in one round. Returns the effects.
    fn fail_polls(&mut self, names: Vec<WorkerName>) -> Vec<Effect> {
        let now = self.fixture.now();
        for worker in names {
            let result = Err(CallError::Failed(Verdict::NotRun));
            let event = Event::Polled { worker, sent_ms: now.steady_ms, extra: false, result };
            self.fixture.leader.handle(event, now);
        }
        let effects = self.fixture.leader.finish(now);
        self.in_flight = polled(&effects);
        effects
    }

    /// Lets every probe fail at once for `for_ms`. Returns the number of probes.
    fn probe_in_vain(&mut self, for_ms: u64) -> usize {
        let mut probes = 0;
        for _ in 0..for_ms / ROUND_MS {
            self.fixture.now_ms += ROUND_MS;
            let failed = std::mem::take(&mut self.in_flight);
            self.fail_polls(failed);
            probes += self.in_flight.len();
        }
        probes
    }
}

fn polled(effects: &[Effect]) -> Vec<WorkerName> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Poll { worker, extra: false, .. } => Some(worker.clone()),
            _ => None,
        })
        .collect()
}

/// Guards against a leader that stands still when a data centre is cut off: each worker that failed had all workers of
/// the cell examined. With a fifth of 6,000 workers, the followers took the leader for dead.
#[test]
fn reviews_do_not_grow_with_the_product_of_lost_and_all_workers() {
    let mut cell = Cell::new();
    cell.fixture.now_ms += 100;
    cell.fail_polls(workers(2).collect());
    cell.fixture.now_ms += 300;
    cell.fail_polls(workers(1).collect());
    let examined = cell.fixture.leader.work().workers_reviewed;
    let all = (DATA_CENTRES.len() * WORKERS) as u64;
    assert!(examined <= 4 * all, "{examined} workers examined in a cell of {all}");
}

/// Guards against thousands of calls a second to a data centre that is cut off, each with a new connection. A few of its
/// workers are enough to notice that it is back.
#[test]
fn few_workers_of_a_silent_data_centre_are_probed_at_a_time() {
    let mut cell = Cell::new();
    cell.fixture.now_ms += 300;
    cell.fail_polls(workers(2).collect());
    assert!(cell.in_flight.len() <= 16, "{} at once", cell.in_flight.len());
    // Each probe fails within a round here. Those that use up a timeout of 0.4 s are fewer by a factor of forty.
    let probes = cell.probe_in_vain(1_000);
    assert!(probes <= 1_000 / ROUND_MS as usize * 16, "{probes} in a second");
}

/// Guards against probes that use up the leader when many workers are lost whose data centres still respond.
#[test]
fn probes_have_a_budget_for_the_whole_cell() {
    let mut cell = Cell::new();
    cell.fixture.now_ms += 100;
    let lost: Vec<WorkerName> = (0..3).flat_map(|dc| workers(dc).skip(1)).collect();
    cell.fail_polls(lost);
    let first = cell.in_flight.len();
    assert!(first <= 200, "{first} at once");
    let mut probes = 0;
    for _ in 0..100 {
        for data_centre in 0..3 {
            cell.fixture.poll_answered(name(data_centre, 0), &[], &[]);
        }
        probes += cell.probe_in_vain(ROUND_MS);
    }
    assert!(probes <= 2_200, "{probes} in a second");
}

/// Guards against a data centre that is back but whose workers are found only one after the other.
#[test]
fn all_workers_are_probed_soon_after_one_of_their_data_centre_has_responded() {
    let mut cell = Cell::new();
    cell.fixture.now_ms += 300;
    cell.fail_polls(workers(2).collect());
    cell.probe_in_vain(2_000);
    let mut heard: BTreeSet<WorkerName> = BTreeSet::new();
    let begin_ms = cell.fixture.now_ms;
    while heard.len() < WORKERS && cell.fixture.now_ms < begin_ms + 5_000 {
        cell.fixture.now_ms += ROUND_MS;
        let mut answered = std::mem::take(&mut cell.in_flight);
        if answered.is_empty() {
            answered = polled(&cell.fixture.leader.finish(cell.fixture.now()));
        }
        for worker in answered {
            let effects = cell.fixture.poll_answered(worker.clone(), &[], &[]);
            cell.in_flight.extend(polled(&effects));
            heard.insert(worker);
        }
    }
    let took_ms = cell.fixture.now_ms - begin_ms;
    assert_eq!(heard.len(), WORKERS);
    assert!(took_ms <= 1_500, "{took_ms} ms");
}

/// Guards against a stop of all starts in a data centre that is reachable. The leader was late itself, and took the
/// silence of all its workers for an outage; only the first few were polled to find out.
#[test]
fn a_reachable_data_centre_gets_starts_again_within_a_few_round_trips() {
    let mut cell = Cell::new();
    cell.fixture.now_ms += 300;
    let mut effects = cell.fail_polls(vec![name(2, 0), name(2, 1)]);
    let mut round_trips = 0;
    loop {
        let checks: Vec<WorkerName> = effects
            .iter()
            .filter_map(|effect| match effect {
                Effect::Poll { worker, extra: true, .. } => Some(worker.clone()),
                _ => None,
            })
            .collect();
        if checks.is_empty() {
            break;
        }
        round_trips += 1;
        cell.fixture.now_ms += 1;
        effects = Vec::new();
        for worker in checks {
            effects.extend(cell.fixture.extra_poll_answered(worker));
        }
    }
    assert!((2..=6).contains(&round_trips), "{round_trips} round trips");
    // Each task takes a whole worker, so that all but the two that failed are needed.
    let responsive = DATA_CENTRES.len() * WORKERS - 2;
    let started = cell.fixture.submit(1, &[step(responsive as u32, 8_000, 1_000)]);
    assert_eq!(starts(&started).len(), responsive);
}

/// Guards against a log line for each of a thousand workers that stop responding at the same time. Writing them took more
/// CPU time than the events themselves.
#[test]
fn lines_about_single_workers_are_limited_and_counted() {
    let mut limit = LogLimit::default();
    let written = (0..1_000).filter(|_| limit.allows(5_000)).count();
    assert_eq!(written, 20);
    assert_eq!(limit.take_omitted(5_500), 0, "the interval is not over");
    assert_eq!(limit.take_omitted(6_000), 980);
    assert!(limit.allows(6_000), "the next interval has lines of its own");
    assert_eq!(limit.take_omitted(7_000), 0);
}

/// Guards against starts in a data centre that was cut off half a second ago. Calls to it hang until their timeouts, and
/// each start that is sent meanwhile delays its task by seconds.
#[test]
fn a_data_centre_that_falls_silent_gets_no_starts_before_a_call_has_failed() {
    let mut cell = Cell::new();
    cell.fixture.handle(Event::Tick);
    for _ in 0..6 {
        cell.fixture.now_ms += 50;
        for data_centre in 0..2 {
            for number in 0..10 {
                cell.fixture.poll_answered(name(data_centre, number), &[], &[]);
            }
        }
        cell.fixture.handle(Event::Tick);
    }
    let all = (DATA_CENTRES.len() * WORKERS) as u32;
    let started = cell.fixture.submit(1, &[step(all, 8_000, 1_000)]);
    let hosts = starts(&started).into_iter().map(|(worker, ..)| worker);
    assert_eq!(hosts.filter(|worker| workers(2).any(|lost| lost == *worker)).count(), 0);
}

/// Guards against taking a leader that was late itself for one whose data centres are all unreachable.
#[test]
fn a_late_leader_suspects_no_data_centre() {
    let mut cell = Cell::new();
    cell.fixture.handle(Event::Tick);
    cell.fixture.now_ms += 600;
    cell.fixture.handle(Event::Tick);
    let all = (DATA_CENTRES.len() * WORKERS) as u32;
    let started = cell.fixture.submit(1, &[step(all, 8_000, 1_000)]);
    assert_eq!(starts(&started).len() as u32, all);
}
