//! Sample configuration entries for the tests.
#![allow(dead_code, unreachable_pub)]

use lilacpass_schema::v1::{self, config_op::Op};

/// A well-formed Argon2id hash that belongs to no token.
pub const HASH: &str = "$argon2id$v=19$m=19456,t=2,p=1$YWJjZGVmZ2hpamtsbW5vcA$bVRfpoVXWlW1zUmIvdSiTTQpzIZPmLyGrZVCfPWj+WE";

/// Size of a task with the given number of cores, 4 GiB of memory per core and one slot.
pub fn size(cores: u64) -> v1::Amount {
    v1::Amount { cpu_milli: cores * 1_000, memory_mib: cores * 4_096, accelerators: 0, slots: 1 }
}

/// Returns worker number `n`, which has 8 cores.
pub fn worker(n: u64) -> v1::WorkerSpec {
    v1::WorkerSpec {
        name: format!("w{n}"),
        data_centre: "hal-a".to_owned(),
        rack: format!("r{}", n / 8),
        address: format!("192.0.{}.{}:7100", n / 250, n % 250 + 1),
        cpu_milli: 8_000,
        memory_mib: 32_768,
        accelerators: 0,
        slots: 8,
        connections: 64,
        draining: false,
    }
}

/// Returns standing work of team `shops` with one task of one core.
pub fn standing(name: &str) -> v1::StandingWork {
    v1::StandingWork {
        name: name.to_owned(),
        spec: Some(v1::JobSpec {
            team: "shops".to_owned(),
            service: "audit".to_owned(),
            kind: "watch".to_owned(),
            class: "standing".to_owned(),
            tasks: 1,
            each: Some(size(1)),
            standing: true,
            ..v1::JobSpec::default()
        }),
    }
}

/// Returns a team with a quota of the given number of cores.
pub fn team(name: &str, cores: u64) -> v1::Team {
    v1::Team {
        name: name.to_owned(),
        quota: Some(v1::Amount { slots: 0, ..size(cores) }),
        may_borrow: true,
        rate_limit_per_s: 0,
    }
}

/// Returns a token entry that does not expire.
pub fn token(name: &str, role: &str, team: &str) -> v1::AccessToken {
    v1::AccessToken {
        name: name.to_owned(),
        role: role.to_owned(),
        team: team.to_owned(),
        hash: HASH.to_owned(),
        expires_unix_s: 0,
    }
}

/// Returns a configuration with the given number of workers and at least one entry in each other section. It is valid
/// if there are workers; without any, the quota of the team exceeds the capacity of the cell.
pub fn configuration(workers: u64) -> v1::Configuration {
    v1::Configuration {
        data_centres: vec![v1::DataCentre { name: "hal-a".into(), region: "nl-midden".into() }],
        workers: (0..workers).map(worker).collect(),
        services: vec![v1::ServiceSpec {
            name: "audit".to_owned(),
            default_each: Some(size(1)),
            default_deadline_ms: 2_000,
            non_idempotent_kinds: vec!["crawl".to_owned()],
        }],
        standing: vec![standing("watcher")],
        teams: vec![team("shops", 4)],
        rules: Some(v1::Rules {
            accounts: vec![v1::AccountRule {
                team: "shops".to_owned(),
                account: "bakery".to_owned(),
                priority: 5,
            }],
            urgent_reserve_permille: 100,
            batch_aging_s: 3_600,
            preempt_non_idempotent: false,
            quarantine_cap_permille: 200,
            max_attempts: 3,
        }),
        tokens: vec![token("anna", "operator", ""), token("shop-site", "team", "shops")],
    }
}

/// Wraps a step in its message.
pub fn op(op: Op) -> v1::ConfigOp {
    v1::ConfigOp { op: Some(op) }
}

/// Returns a change with one step.
pub fn change(base: u64, actor: &str, step: Op) -> v1::ConfigChange {
    v1::ConfigChange {
        base_revision: base,
        actor: actor.to_owned(),
        reason: format!("by {actor}"),
        ops: vec![op(step)],
    }
}

/// Returns a step that starts or ends the drain of a worker.
pub fn drain(name: &str, draining: bool) -> Op {
    Op::DrainWorker(v1::DrainWorker { worker: name.to_owned(), draining })
}
