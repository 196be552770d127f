//! The configuration in TOML: round trips, positions of problems, and all checks.

mod common;

use common::{configuration, size, standing, team, token, worker};
use lilacpass_config::inventory;
use lilacpass_schema::v1;

/// Returns the problems of the sample configuration after modifying it with `modify`.
fn problems_after(modify: impl FnOnce(&mut v1::Configuration)) -> Vec<String> {
    let mut modified = configuration(4);
    modify(&mut modified);
    inventory::check(&modified).iter().map(ToString::to_string).collect()
}

#[test]
fn a_configuration_is_the_same_after_a_round_trip() {
    let full = configuration(4);
    assert_eq!(inventory::check(&full), []);
    assert_eq!(inventory::parse(&inventory::to_toml(&full)).unwrap(), full);
    let empty = v1::Configuration::default();
    assert_eq!(inventory::parse(&inventory::to_toml(&empty)).unwrap(), empty);
}

#[test]
fn a_problem_is_shown_with_the_line_of_its_value() {
    let text = "[[data_centres]]\nname = \"hal-a\"\n\n[[workers]]\nname = \"w1\"\nrack = \"r1\"\n\
                data_centre = \"hal-x\"\naddress = \"192.0.2.1\"\ncpu_milli = 1\nmemory_mib = 1\n\
                slots = 0\n";
    let problems: Vec<_> =
        inventory::parse(text).unwrap_err().iter().map(ToString::to_string).collect();
    assert_eq!(
        problems,
        [
            "line 4: workers[w1].connections = 0: must be 1 to 65536",
            "line 7: workers[w1].data_centre = \"hal-x\": names no known data centre",
            "line 8: workers[w1].address = \"192.0.2.1\": must be IP:port of one worker, \
             such as 192.0.2.10:7100",
            "line 11: workers[w1].slots = 0: must be 1 to 65536",
        ]
    );
}

#[test]
fn unknown_keys_and_wrong_types_are_refused_with_their_lines() {
    let text = "[[workers]]\nname = 7\ncpu = 3\n[rules]\nmax_attempts = 4294967296\n";
    let problems: Vec<_> =
        inventory::parse(text).unwrap_err().iter().map(ToString::to_string).collect();
    assert_eq!(
        problems,
        [
            "line 2: workers[0].name: must be a string, is integer",
            "line 3: workers[0].cpu: unknown key; did you mean `cpu_milli`?",
            "line 5: rules.max_attempts = 4294967296: must be 0 to 4294967295",
        ]
    );
}

#[test]
fn defaults_of_standing_work_may_be_omitted() {
    let mut text = inventory::to_toml(&configuration(1));
    for line in ["class = \"standing\"\n", "tasks = 1\n", "standing = true\n"] {
        assert!(text.contains(line));
        text = text.replace(line, "");
    }
    assert_eq!(inventory::parse(&text).unwrap(), configuration(1));
}

#[test]
fn duplicate_names_are_refused() {
    let duplicate = problems_after(|c| {
        c.workers.push(v1::WorkerSpec { address: "192.0.9.9:1".into(), ..worker(0) });
    });
    assert_eq!(duplicate, ["workers[w0].name = w0: is there already"]);
    assert_eq!(
        problems_after(|c| c.teams.push(team("shops", 1))),
        ["teams[shops].name = shops: is there already"]
    );
    assert_eq!(
        problems_after(|c| c.standing.push(standing("watcher"))),
        ["standing[watcher].name = watcher: is there already"]
    );
    assert_eq!(problems_after(|c| c.tokens.push(token("anna", "operator", ""))).len(), 1);
    assert_eq!(problems_after(|c| c.data_centres.push(c.data_centres[0].clone())).len(), 1);
    assert_eq!(problems_after(|c| c.services.push(c.services[0].clone())).len(), 1);
}

/// Guards against two workers with the same address, for example because a row of the register was copied without
/// changing the address. Tasks of both would start on one machine and use twice its capacity.
#[test]
fn two_workers_behind_one_address_are_refused() {
    let problems = problems_after(|c| c.workers[1].address = worker(0).address);
    assert_eq!(problems, ["workers[w1].address = 192.0.0.1:7100: is the address of `w0` too"]);
}

#[test]
fn workers_that_are_unreachable_or_have_no_capacity_are_refused() {
    for address in [
        "",
        "hal-a:7100",
        "192.0.2.1",
        "192.0.2.1:0",
        "192.0.2.1:07100",
        "[::ffff:192.0.2.1]:7100",
        "0.0.0.0:7100",
        "224.0.0.1:7100",
    ] {
        let problems = problems_after(|c| c.workers[0].address = address.to_owned());
        assert_eq!(problems.len(), 1, "{address}");
        assert!(problems[0].contains("must be IP:port of one worker"), "{}", problems[0]);
    }
    let zero = problems_after(|c| {
        c.workers[3] =
            v1::WorkerSpec { cpu_milli: 0, memory_mib: 0, slots: 0, connections: 0, ..worker(3) };
    });
    assert_eq!(zero.len(), 4);
    assert_eq!(zero[1], "workers[w3].memory_mib = 0: must be 1 to 1073741824 MiB");
    assert!(problems_after(|c| c.workers[0].rack = String::new())[0].contains("workers[w0].rack"));
    assert!(problems_after(|c| c.workers[0].name = "a b".into())[0].contains("must be a name of"));
}

#[test]
fn dangling_references_are_refused() {
    assert_eq!(
        problems_after(|c| c.teams.clear()),
        [
            "standing[watcher].spec.team = \"shops\": names no known team",
            "tokens[shop-site].team = \"shops\": names no known team",
            "rules.accounts[0].team = \"shops\": names no known team",
        ]
    );
    assert_eq!(
        problems_after(|c| c.services.clear()),
        ["standing[watcher].spec.service = \"audit\": names no known service"]
    );
    assert_eq!(problems_after(|c| c.data_centres.clear()).len(), 4);
    let preferred =
        problems_after(|c| c.standing[0].spec.as_mut().unwrap().data_centre = "hal-b".into());
    assert_eq!(
        preferred,
        ["standing[watcher].spec.data_centre = \"hal-b\": names no known data centre"]
    );
}

#[test]
fn sizes_that_can_never_fit_are_refused() {
    let spec = |c: &mut v1::Configuration, tasks, cores| {
        let spec = c.standing[0].spec.as_mut().unwrap();
        (spec.tasks, spec.each) = (tasks, Some(size(cores)));
    };
    assert!(problems_after(|c| spec(c, 1, 9))[0].contains("standing[watcher].spec.each"));
    assert!(problems_after(|c| spec(c, 1, 9))[0].ends_with("fits no worker"));
    assert_eq!(problems_after(|c| spec(c, 4, 8)), Vec::<String>::new());
    assert!(
        problems_after(|c| spec(c, 5, 8))[0]
            .ends_with("fits 4 times into the whole cell, 5 tasks are asked for")
    );
    assert!(
        problems_after(|c| c.teams[0] = team("shops", 33))[0]
            .contains("is more than the whole cell has")
    );
    assert!(
        problems_after(|c| c.services[0].default_each = Some(size(9)))[0]
            .contains("fits no worker")
    );
    assert!(problems_after(|c| c.services[0].default_each = None).len() == 3);
}

#[test]
fn bad_classes_roles_hashes_and_rules_are_refused() {
    let spec =
        |c: &mut v1::Configuration| c.standing[0].spec.as_mut().unwrap().class = "soon".into();
    assert_eq!(
        problems_after(spec),
        ["standing[watcher].spec.class = \"soon\": must be one of urgent, standing, batch"]
    );
    let role = problems_after(|c| c.tokens[0].role = "root".into());
    assert_eq!(role, ["tokens[anna].role = \"root\": must be one of operator, team, read-only"]);
    let team_of_operator = problems_after(|c| c.tokens[0].team = "shops".into());
    assert_eq!(team_of_operator, ["tokens[anna].team = shops: must be empty with role operator"]);
    let expensive = common::HASH.replace("m=19456", "m=4194304");
    for hash in
        ["", "secret", "$argon2id$v=19$m=19456,t=2,p=1$YWJjZGVmZ2hpamtsbW5vcA", expensive.as_str()]
    {
        let problems = problems_after(|c| c.tokens[0].hash = hash.to_owned());
        assert_eq!(problems.len(), 1, "{hash}");
        assert!(
            problems[0].starts_with("tokens[anna].hash: must be an $argon2id$"),
            "{}",
            problems[0]
        );
    }
    let rules = problems_after(|c| {
        let rules = c.rules.as_mut().unwrap();
        rules.urgent_reserve_permille = 1_001;
        rules.accounts.push(rules.accounts[0].clone());
        rules.accounts[0].priority = 1_000_001;
    });
    assert_eq!(
        rules,
        [
            "rules.urgent_reserve_permille = 1001: must be 0 to 1000 parts per thousand",
            "rules.accounts[0].priority = 1000001: must be 0 to 1000000",
            "rules.accounts[1].account = bakery: has a rule already",
        ]
    );
}
