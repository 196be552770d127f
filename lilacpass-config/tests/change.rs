//! Configuration changes: they are atomic, and incremental checks give the same result as a full check.

mod common;

use common::{configuration, drain, op, size, standing, team, worker};
use lilacpass_config::{
    change::{self, Load, TeamLoad, WorkerLoad},
    inventory,
};
use lilacpass_core::{
    ids::{TeamId, WorkerId},
    resources::Resources,
};
use lilacpass_schema::v1::{self, config_op::Op};

/// Maximum number of steps in a random list.
const MAX_STEPS: usize = 200;

/// Returns the problems of a rejected change as texts.
fn problem_texts(result: Result<v1::Configuration, Vec<lilacpass_config::Problem>>) -> Vec<String> {
    result.expect_err("refused").iter().map(ToString::to_string).collect()
}

#[test]
fn all_steps_of_a_change_take_effect_or_none() {
    let old = configuration(2);
    let steps =
        [op(drain("w0", true)), op(Op::UpsertWorker(worker(7))), op(Op::RemoveWorker("w1".into()))];
    let new = change::apply(&old, &steps).unwrap();
    assert!(new.workers[0].draining);
    assert_eq!(new.workers.iter().map(|w| w.name.as_str()).collect::<Vec<_>>(), ["w0", "w7"]);

    let steps = [op(drain("w0", true)), op(drain("w9", true)), v1::ConfigOp { op: None }];
    assert_eq!(
        problem_texts(change::apply(&old, &steps)),
        ["ops[1] = \"w9\": names nothing that is there", "ops[2]: is empty or of an unknown kind"]
    );
    assert_eq!(old, configuration(2));
    assert_eq!(problem_texts(change::apply(&old, &[])), ["ops = 0: must be 1 to 10000 steps"]);
}

#[test]
fn a_step_may_refer_to_an_entry_that_a_later_step_adds() {
    let mut new_worker = worker(5);
    new_worker.data_centre = "hal-b".to_owned();
    let centre = v1::DataCentre { name: "hal-b".into(), region: String::new() };
    let steps = [op(Op::UpsertWorker(new_worker)), op(Op::UpsertDataCentre(centre))];
    assert!(change::apply(&configuration(1), &steps).is_ok());
    assert_eq!(
        problem_texts(change::apply(&configuration(1), &steps[..1])),
        ["workers[w5].data_centre = \"hal-b\": names no known data centre"]
    );
}

/// Covers every kind of step that can invalidate entries other than the one it modifies, and some steps that are
/// themselves invalid.
#[test]
fn a_change_that_invalidates_other_entries_is_refused() {
    let old = configuration(1);
    let mut small = worker(0);
    small.cpu_milli = 2_000;
    let mut same_address = worker(3);
    same_address.address = worker(0).address;
    let mut service = old.services[0].clone();
    service.default_each = Some(size(9));
    let cases = [
        (Op::RemoveTeam("shops".into()), "names no known team"),
        (Op::RemoveService("audit".into()), "names no known service"),
        (Op::RemoveDataCentre("hal-a".into()), "names no known data centre"),
        (Op::RemoveWorker("w0".into()), "is more than the whole cell has"),
        (Op::UpsertWorker(small), "is more than the whole cell has"),
        (Op::UpsertWorker(same_address), "is the address of `w0` too"),
        (Op::UpsertService(service), "fits no worker"),
        (Op::UpsertTeam(team("new", 9)), "is more than the whole cell has"),
        (Op::UpsertToken(common::token("x", "team", "none")), "names no known team"),
        (Op::SetRules(v1::Rules { max_attempts: 1_001, ..v1::Rules::default() }), "max_attempts"),
        (Op::UpsertStanding(v1::StandingWork { spec: None, ..standing("x") }), "is required"),
    ];
    for (step, expected) in cases {
        let problems = problem_texts(change::apply(&old, &[op(step.clone())])).join("\n");
        assert!(problems.contains(expected), "{step:?}: {problems}");
    }
}

#[test]
fn sizes_are_checked_when_the_first_worker_is_added() {
    let mut old = configuration(0);
    old.teams[0].quota = None;
    old.standing[0].spec.as_mut().unwrap().each = Some(size(9));
    assert_eq!(inventory::check(&old), []);
    let problems = problem_texts(change::apply(&old, &[op(Op::UpsertWorker(worker(0)))]));
    assert!(problems[0].ends_with("fits no worker"), "{problems:?}");
}

/// Applies random valid and invalid changes and compares the result of each with a full check as the oracle.
#[test]
fn incremental_and_full_checks_agree() {
    lilacpass_fuzz::check_lists::<[u8; 3]>(1_000, 0..=MAX_STEPS, |steps| {
        let mut current = configuration(steps.len() as u64 % 4);
        current.teams[0].quota.take_if(|_| current.workers.is_empty());
        for steps in steps.chunks(3) {
            let ops: Vec<_> = steps.iter().map(|step| op(random_step(&current, *step))).collect();
            let mut new = current.clone();
            match change::apply_to(&mut new, &ops) {
                Ok(()) => assert_eq!(inventory::check(&new), [], "{ops:?}"),
                Err(_) => assert_eq!(new, current, "rejected but not rolled back: {ops:?}"),
            }
            current = new;
        }
    });
}

/// Derives a step from random bytes: its kind, the entry that it refers to, and a value.
fn random_step(current: &v1::Configuration, [kind, which, value]: [u8; 3]) -> Op {
    let n = u64::from(which % 5);
    let cores = u64::from(value % 20);
    match kind % 12 {
        0 => Op::UpsertWorker(v1::WorkerSpec { cpu_milli: cores * 1_000, ..worker(n) }),
        1 => Op::UpsertWorker(v1::WorkerSpec {
            address: worker(u64::from(value % 5)).address,
            ..worker(n)
        }),
        2 => Op::RemoveWorker(worker(n).name),
        3 => drain(&worker(n).name, value % 2 == 0),
        4 => Op::UpsertTeam(team(["shops", "desks"][usize::from(which % 2)], cores * 2)),
        5 => Op::RemoveTeam(["shops", "desks"][usize::from(which % 2)].to_owned()),
        6 => Op::RemoveService("audit".to_owned()),
        7 => Op::UpsertService(v1::ServiceSpec {
            default_each: Some(size(cores)),
            ..configuration(1).services[0].clone()
        }),
        8 => {
            let mut work = standing(["watcher", "other"][usize::from(which % 2)]);
            let spec = work.spec.as_mut().unwrap();
            spec.tasks = u32::from(value % 6);
            spec.each = (value % 4 > 0).then(|| size(cores));
            Op::UpsertStanding(work)
        }
        9 => Op::RemoveStanding("watcher".to_owned()),
        10 => Op::RemoveDataCentre("hal-a".to_owned()),
        _ => Op::SetRules(v1::Rules {
            max_attempts: u32::from(value) * 5,
            ..current.rules.clone().unwrap_or_default()
        }),
    }
}

/// Sorts the entries of each section by name, since applying a diff does not preserve their order.
fn sorted(mut configuration: v1::Configuration) -> v1::Configuration {
    configuration.data_centres.sort_by(|a, b| a.name.cmp(&b.name));
    configuration.workers.sort_by(|a, b| a.name.cmp(&b.name));
    configuration.services.sort_by(|a, b| a.name.cmp(&b.name));
    configuration.standing.sort_by(|a, b| a.name.cmp(&b.name));
    configuration.teams.sort_by(|a, b| a.name.cmp(&b.name));
    configuration.tokens.sort_by(|a, b| a.name.cmp(&b.name));
    configuration
}

/// Applies two random lists of changes to the same configuration, then checks the diff between the two results.
#[test]
fn applying_a_diff_yields_the_new_configuration() {
    lilacpass_fuzz::check_lists::<[u8; 3]>(1_000, 0..=MAX_STEPS, |steps| {
        let (one, other) = steps.split_at(steps.len() / 2);
        let [from, to] = [one, other].map(|list| {
            list.iter().fold(configuration(3), |at, step| {
                change::apply(&at, &[op(random_step(&at, *step))]).unwrap_or(at)
            })
        });
        let steps = change::diff(&from, &to);
        assert_eq!(steps.is_empty(), from == to || sorted(from.clone()) == sorted(to.clone()));
        assert!(steps.iter().all(|step| !change::describe_op(step).is_empty()));
        if !steps.is_empty() {
            assert_eq!(sorted(change::apply(&from, &steps).unwrap()), sorted(to));
        }
    });
}

#[test]
fn a_diff_is_described_step_by_step_without_hashes() {
    let old = configuration(2);
    let mut new = old.clone();
    new.workers[0].draining = true;
    new.workers.remove(1);
    new.tokens.push(common::token("carl", "read-only", ""));
    new.rules.as_mut().unwrap().max_attempts = 4;
    let descriptions: Vec<_> = change::diff(&old, &new).iter().map(change::describe_op).collect();
    assert_eq!(
        descriptions,
        ["drain worker w0", "remove worker w1", "set token carl with role read-only", "set rules"]
    );
    let first = change::diff(&v1::Configuration::default(), &new);
    assert!(matches!(first.as_slice(), [v1::ConfigOp { op: Some(Op::Replace(_)) }]));
}

#[test]
fn effects_list_moving_tasks_and_limiting_quotas() {
    let mut old = configuration(4);
    old.teams.push(team("desks", 4));
    let load = Load {
        workers: vec![WorkerLoad { worker: WorkerId::new("w0"), tasks: 3 }],
        teams: vec![TeamLoad {
            team: TeamId::new("shops"),
            allocated: Resources::new(3_000, 12_288, 0, 0),
        }],
    };
    let effects_of = |modify: fn(&mut v1::Configuration)| {
        let mut new = old.clone();
        modify(&mut new);
        change::effects(&old, &new, &load)
    };
    let drained = effects_of(|c| c.workers[0].draining = true);
    assert_eq!(drained, ["worker w0 takes no new work; 3 tasks end there or move"]);
    let removed = effects_of(|c| drop(c.workers.remove(0)));
    assert_eq!(removed[0], "worker w0 goes with 3 tasks running: drain it first");
    assert!(removed[1].starts_with("the cell has 3 workers"), "{removed:?}");
    let moved = effects_of(|c| c.workers[0].address = "192.0.8.1:1".to_owned());
    assert!(moved[0].contains("another machine"), "{moved:?}");
    let limited = effects_of(|c| c.teams[0] = team("shops", 2));
    assert!(
        limited[0].contains("its quota binds") && limited[0].ends_with("is borrowed"),
        "{limited:?}"
    );
    let overcommitted = effects_of(|c| c.teams[1] = team("desks", 32));
    assert!(overcommitted[1].starts_with("quotas promise 36000m"), "{overcommitted:?}");
    let changed_rules = effects_of(|c| c.rules.as_mut().unwrap().max_attempts = 9);
    assert_eq!(changed_rules, ["rules change: max_attempts from 3 to 9"]);
    assert_eq!(effects_of(|c| c.standing.clear()), ["standing work watcher stops"]);
    assert_eq!(effects_of(|_| ()), Vec::<String>::new());
}
