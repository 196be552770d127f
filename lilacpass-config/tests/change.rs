//! Changes: all steps or none, and the same verdict as a check of everything.

mod common;

use common::{configuration, drain, op, size, standing, team, worker};
use lilacpass_config::{change, inventory};
use lilacpass_schema::v1::{self, config_op::Op};

fn shown(result: Result<v1::Configuration, Vec<lilacpass_config::Problem>>) -> Vec<String> {
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
        shown(change::apply(&old, &steps)),
        ["ops[1] = \"w9\": names nothing that is there", "ops[2]: is empty or of an unknown kind"]
    );
    assert_eq!(old, configuration(2));
    assert_eq!(shown(change::apply(&old, &[])), ["ops = 0: must be 1 to 100000 steps"]);
}

#[test]
fn a_step_may_build_on_a_later_one() {
    let mut there = worker(5);
    there.data_centre = "hal-b".to_owned();
    let centre = v1::DataCentre { name: "hal-b".into(), region: String::new() };
    let steps = [op(Op::UpsertWorker(there)), op(Op::UpsertDataCentre(centre))];
    assert!(change::apply(&configuration(1), &steps).is_ok());
    assert_eq!(
        shown(change::apply(&configuration(1), &steps[..1])),
        ["workers[w5].data_centre = \"hal-b\": names no known data centre"]
    );
}

/// Each step that can break something that it doesn't touch itself.
#[test]
fn a_change_that_breaks_what_refers_to_it_is_refused() {
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
    for (step, wanted) in cases {
        let problems = shown(change::apply(&old, &[op(step.clone())])).join("\n");
        assert!(problems.contains(wanted), "{step:?}: {problems}");
    }
}

#[test]
fn the_first_worker_shows_what_never_fits() {
    let mut old = configuration(0);
    old.teams[0].quota = None;
    old.standing[0].spec.as_mut().unwrap().each = Some(size(9));
    assert_eq!(inventory::check(&old), []);
    let problems = shown(change::apply(&old, &[op(Op::UpsertWorker(worker(0)))]));
    assert!(problems[0].ends_with("fits no worker"), "{problems:?}");
}

/// Applies random steps, good and bad, and checks everything after each as the oracle.
#[test]
fn checking_what_changed_gives_the_verdict_of_checking_everything() {
    bolero::check!().with_iterations(2_000).with_type::<Vec<[u8; 3]>>().for_each(|steps| {
        let mut current = configuration(steps.len() as u64 % 4);
        current.teams[0].quota.take_if(|_| current.workers.is_empty());
        for step in steps {
            let step = op(some_step(&current, *step));
            let unchecked = change::apply(&current, std::slice::from_ref(&step));
            if let Ok(new) = unchecked {
                assert_eq!(inventory::check(&new), [], "{step:?}");
                current = new;
            }
        }
    });
}

fn some_step(current: &v1::Configuration, [kind, which, how]: [u8; 3]) -> Op {
    let n = u64::from(which % 5);
    let cores = u64::from(how % 20);
    match kind % 12 {
        0 => Op::UpsertWorker(v1::WorkerSpec { cpu_milli: cores * 1_000, ..worker(n) }),
        1 => Op::UpsertWorker(v1::WorkerSpec {
            address: worker(u64::from(how % 5)).address,
            ..worker(n)
        }),
        2 => Op::RemoveWorker(worker(n).name),
        3 => drain(&worker(n).name, how % 2 == 0),
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
            spec.tasks = u32::from(how % 6);
            spec.each = (how % 4 > 0).then(|| size(cores));
            Op::UpsertStanding(work)
        }
        9 => Op::RemoveStanding("watcher".to_owned()),
        10 => Op::RemoveDataCentre("hal-a".to_owned()),
        _ => Op::SetRules(v1::Rules {
            max_attempts: u32::from(how) * 5,
            ..current.rules.clone().unwrap_or_default()
        }),
    }
}
