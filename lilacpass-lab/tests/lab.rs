//! Tests of the lab: simulations are reproducible, no policy exceeds the bound, errors for invalid scenarios name the
//! field, and preemption and the limits on crashing tasks have an effect.

use std::path::Path;

use lilacpass_lab::{
    cli,
    outcome::{Decisions, Outcome},
    policy::Policy,
    scenario::{self, Scenario},
};
use lilacpass_lead::options::{Mechanism, Placement};

const SMALL: &str = r#"
name = "small"
length_s = 8.0
rest_s = 10.0

[[pool]]
service = "s"
workers = 6
cores = 8
memory_mb = 10000
accelerators = 2

[[class]]
name = "quick"
service = "s"
priority = 0
rate = 5.0
tasks = 3
cpu_milli = 1000
work_ms = 500
objective_ms = 250
advised = true

[[class]]
name = "long"
service = "s"
priority = 2
rate = 1.0
steps = 2
tasks = 4
cpu_milli = 2000
work_ms = 1500
objective_ms = 1000
checkpointing = true
worth = 3.0
worth_late = 1.0

[[fault]]
kind = "failing-workers"
at_s = 3.0
for_s = 3.0
share = 0.3
x = 0.5
"#;

fn small() -> Scenario {
    scenario::parse(SMALL).expect("a valid scenario")
}

/// Clears the part of an outcome that depends on the speed of the machine.
fn without_times(outcome: Outcome) -> Outcome {
    Outcome { decisions: Decisions::default(), ..outcome }
}

#[test]
fn the_same_seed_gives_the_same_outcome() {
    let simulate = |seed| without_times(cli::simulate(&small(), Policy::Today, seed));
    assert_eq!(simulate(3), simulate(3));
    assert_ne!(simulate(3), simulate(4));
}

#[test]
fn all_policies_complete_most_work_and_none_exceeds_the_bound() {
    let bound = cli::simulate(&small(), Policy::Bound, 5);
    assert!(bound.worth > 0.99, "{bound:?}");
    for policy in Policy::all() {
        let outcome = cli::simulate(&small(), policy, 5);
        assert!(outcome.worth <= bound.worth, "{outcome:?}");
        assert!(outcome.worth > 0.5, "{outcome:?}");
        let asked: u32 = outcome.classes.iter().map(|class| class.asked).sum();
        assert!(asked > 30, "{outcome:?}");
    }
}

#[test]
fn policies_parse_from_their_names() {
    for policy in Policy::all() {
        assert_eq!(policy.to_string().parse::<Policy>().expect("a known name"), policy);
    }
    assert!("best".parse::<Policy>().is_err());
    assert_eq!("first-fit".parse::<Policy>().ok(), Some(Policy::Placed(Placement::FirstFit)));
    let without = Policy::Without(Mechanism::Preemption);
    assert_eq!("without-preemption".parse::<Policy>().ok(), Some(without));
}

/// All workers are full of checkpointing tasks when urgent jobs are submitted. Without preemption the urgent jobs wait
/// until these tasks end, and end late.
#[test]
fn preemption_helps_urgent_jobs_when_checkpointing_tasks_fill_the_workers() {
    let text = SMALL
        .replace("rate = 1.0\n", "rate = 4.0\n")
        .replace("work_ms = 1500", "work_ms = 6000")
        .replace("length_s = 8.0", "length_s = 20.0");
    let full_cell = scenario::parse(&text).expect("a valid scenario");
    let quick_worth = |policy| cli::simulate(&full_cell, policy, 7).classes[0].worth;
    let with = quick_worth(Policy::Today);
    let without = quick_worth(Policy::Without(Mechanism::Preemption));
    assert!(with > without + 0.1, "{with:.3} with, {without:.3} without");
}

#[test]
fn an_invalid_scenario_is_refused_with_the_name_of_the_field() {
    for (from, to, field) in [
        ("workers = 6", "workers = 0", "pool[0].workers"),
        ("rate = 5.0", "rate = 0.0", "class[0].rate"),
        ("cpu_milli = 2000", "cpu_milli = 9000", "class[1].service"),
        ("share = 0.3", "share = 1.3", "fault[0].share"),
        ("kind = \"failing-workers\"", "kind = \"flood\"", "flood"),
        ("rest_s = 10.0", "rest_s = -1.0", "rest_s"),
        ("rest_s = 10.0", "rest = 10.0", "rest"),
    ] {
        let text = SMALL.replace(from, to);
        let message = scenario::parse(&text).expect_err(field).to_string();
        assert!(message.contains(field), "{message:?} must contain {field}");
    }
}

#[test]
fn the_example_scenarios_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/lab");
    let mut count = 0;
    for entry in folder.read_dir().expect("a folder") {
        let path = entry.expect("an entry").path();
        scenario::read(&path).unwrap_or_else(|err| panic!("{err}"));
        count += 1;
    }
    assert!(count >= 6, "{count} scenarios");
}

/// Guards against a lab that does not simulate crashing tasks and shrinking workers, and against a leader that restarts
/// crashing tasks too often or overcommits shrunk workers.
#[test]
fn crashing_tasks_are_stopped_and_shrinking_workers_are_not_overcommitted() {
    let fault = "kind = \"failing-workers\"\nat_s = 3.0\nfor_s = 3.0\nshare = 0.3\nx = 0.5";
    let faults = "kind = \"crashing-tasks\"\nat_s = 1.0\nfor_s = 3.0\nshare = 0.1\n\n[[fault]]\n\
                  kind = \"shrinking-workers\"\nat_s = 3.0\nfor_s = 3.0\nshare = 0.5\nx = 0.5";
    assert!(SMALL.contains(fault));
    let scenario = scenario::parse(&SMALL.replace(fault, faults)).expect("a valid scenario");
    for seed in 1..10 {
        let outcome = cli::simulate(&scenario, Policy::Today, seed);
        assert!(outcome.most_crashing_starts <= 5, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.over_capacity, 0, "seed {seed}");
    }
    let crashed: u32 =
        (1..10).map(|seed| cli::simulate(&scenario, Policy::Today, seed).crashed_workers).sum();
    assert!(crashed > 0, "some workers must crash");
}
