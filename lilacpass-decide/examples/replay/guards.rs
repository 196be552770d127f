//! Each guard and policy taken out once.

use std::time::Duration;

use lilacpass_decide::{Policy, SchedulerOptions};

use crate::{
    cell::{self, Knobs, Routing},
    stats::Stats,
    workload::Setup,
};

const NEVER: Duration = Duration::from_secs(1_000_000);

/// The decision code with some knobs, over all seeds.
pub(crate) fn measure(setup: &Setup, knobs: &Knobs) -> Stats {
    Stats::over_seeds(setup, |setup| cell::replay(setup, knobs))
}

pub(crate) fn run(setup: &Setup) {
    println!("{}", Stats::header());
    for load_percent in [80, 120] {
        let setup = Setup { load_percent, ..setup.clone() };
        for (name, knobs) in without_each() {
            println!("{}", measure(&setup, &knobs).row(name, &setup));
        }
    }
    let setup = Setup { load_percent: 80, black_hole: true, ..setup.clone() };
    for (name, knobs) in with_bad_worker() {
        println!("{}", measure(&setup, &knobs).row(name, &setup));
    }
}

fn without_each() -> Vec<(&'static str, Knobs)> {
    let all = Knobs::default;
    let options = |change: fn(&mut SchedulerOptions)| {
        let mut knobs = all();
        change(&mut knobs.options);
        knobs
    };
    let policy = |change: fn(&mut Policy)| {
        let mut knobs = all();
        change(&mut knobs.policy);
        knobs
    };
    vec![
        ("all guards", all()),
        ("no admission by deadline", Knobs { admit: false, ..all() }),
        ("no room kept for urgent work", policy(|p| p.urgent_reserve_permille = Some(0))),
        ("fixed room kept (35 %)", policy(|p| p.urgent_reserve_permille = Some(350))),
        (
            "no part in it for what can be checkpointed",
            options(|o| {
                o.pool.max_cheap_reserve_permille = 0;
            }),
        ),
        ("no trickle of batch work", options(|o| o.pool.batch_trickle = NEVER)),
        ("no turn for gangs", options(|o| o.pool.gang_patience = NEVER)),
        ("no preemption", options(|o| o.preempt_wait = NEVER)),
        ("preemption at once", options(|o| o.preempt_wait = Duration::ZERO)),
        ("no worker kept for who is overtaken", options(|o| o.reserve_after = NEVER)),
        ("no learned sizes", Knobs { learn_sizes: false, ..all() }),
        ("no second holder after a refusal", Knobs { retry: false, ..all() }),
        ("no ageing of batch work", policy(|p| p.batch_aging = NEVER)),
        ("routing by least wait", Knobs { routing: Routing::LeastWait, ..all() }),
        ("routing at random", Knobs { routing: Routing::Random, ..all() }),
    ]
}

fn with_bad_worker() -> Vec<(&'static str, Knobs)> {
    let no_quarantine = Policy { quarantine_cap_permille: 0, ..Knobs::default().policy };
    vec![
        ("bad worker, all guards", Knobs::default()),
        ("bad worker, no quarantine", Knobs { policy: no_quarantine, ..Knobs::default() }),
    ]
}
