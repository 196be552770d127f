//! Workers whose registrations hold the largest or smallest values that are accepted.

mod world;

use lilacpass_core::Resources;
use lilacpass_jobs::{JobKey, Outcome, WorkerName};
use lilacpass_lead::{
    Event,
    event::{PollResponse, Registration},
};
use lilacpass_schema::v1;
use world::{World, plan, queue, step};

/// Maximum amount of a resource, and of milliseconds since 1970, in a registration that is accepted.
const MAX_AMOUNT: u64 = 1 << 32;
const MAX_START_MS: u64 = 1 << 48;

fn registration(name: &WorkerName, capacity: Resources) -> Registration {
    Registration {
        name: name.clone(),
        address: "10.9.0.1:80".to_owned(),
        data_centre: String::new(),
        service: "pool".to_owned(),
        capacity,
        labels: Vec::new(),
        draining: false,
    }
}

/// Guards against a leader that ends because of sums that overflow: another program wrote an entry among those of the
/// workers. The jobs go to the other workers, since nothing carries out orders at its address.
#[test]
fn extreme_amounts_do_not_stop_the_leader() {
    let amounts = [0, 1, MAX_AMOUNT - 1, MAX_AMOUNT];
    for (cpu, memory) in amounts.iter().flat_map(|cpu| amounts.map(|memory| (*cpu, memory))) {
        for started_ms in [0, MAX_START_MS] {
            let mut world = World::new(cpu ^ memory, 3, Resources::new(8_000, 1_000, 0, 0));
            let name = WorkerName::new("odd", Some(started_ms));
            let capacity = Resources::new(cpu, memory, MAX_AMOUNT, 0);
            let now = world.now();
            let leader = &mut world.current_instance().leader;
            leader.handle(Event::WorkerRegistered(registration(&name, capacity)), now);
            let response = PollResponse {
                worker_started_ms: Some(started_ms),
                clock_ms: MAX_START_MS,
                ..Default::default()
            };
            let (sent_ms, result) = (now.steady_ms, Ok(response));
            leader.handle(Event::Polled { worker: name, sent_ms, extra: false, result }, now);
            let checkpointing = v1::WorkStep { checkpointing: true, ..step(40, 900, 1_000) };
            world.submit(1, plan(&[checkpointing]), queue("low", 2));
            world.submit(2, plan(&[step(6, 900, 300), step(2, 500, 300)]), queue("quick", 0));
            world.run(30_000);
            for key in [1, 2] {
                let outcome = world.store.job(JobKey(key)).map(|job| job.outcome);
                assert_eq!(outcome, Some(Outcome::Completed), "{capacity}, start {started_ms}");
            }
        }
    }
}
