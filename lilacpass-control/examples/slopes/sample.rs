//! Made-up configurations, jobs and tasks of the form that the target asks for.

use lilacpass_core::ids::{JobId, TeamId};
use lilacpass_schema::v1::{self, config_op::Op, job_record::Body, record};

/// Data centre of the instance that is measured.
pub(crate) const OWN: &str = "north-1";
/// The instance that is measured.
pub(crate) const ME: &str = "north-1-entry-0";
/// Teams of the target.
pub(crate) const TEAMS: usize = 180;
const SERVICES: usize = 20;
const PER_RACK: usize = 40;
const OTHERS: [&str; 8] =
    ["north-2", "north-3", "south-1", "south-2", "east-1", "east-2", "west-1", "west-2"];

pub(crate) fn amount(cpu_milli: u64, memory_mib: u64, slots: u64) -> v1::Amount {
    v1::Amount { cpu_milli, memory_mib, accelerators: 0, slots }
}

/// Name of the `n`-th worker of the own data centre.
pub(crate) fn own_worker(n: usize) -> String {
    format!("{OWN}-rack-{}-worker-{n}", n / PER_RACK)
}

fn worker(data_centre: &str, n: usize) -> v1::WorkerSpec {
    let network = if data_centre == OWN { 10 } else { 11 };
    v1::WorkerSpec {
        name: format!("{data_centre}-rack-{}-worker-{n}", n / PER_RACK),
        data_centre: data_centre.to_owned(),
        rack: format!("rack-{}", n / PER_RACK),
        address: format!("{network}.{}.{}.{}:7000", n / 65_536, n / 256 % 256, n % 256),
        cpu_milli: 32_000,
        memory_mib: 131_072,
        accelerators: 2,
        slots: 16,
        connections: 64,
        draining: false,
    }
}

/// `total` workers, `own` of them in the data centre of the measured instance.
pub(crate) fn configuration(total: usize, own: usize) -> v1::Configuration {
    let far = (0..total - own).map(|n| worker(OTHERS[n % OTHERS.len()], n));
    let data_centre =
        |name: &str| v1::DataCentre { name: name.to_owned(), region: name[..4].to_owned() };
    v1::Configuration {
        data_centres: std::iter::once(OWN).chain(OTHERS).map(data_centre).collect(),
        workers: (0..own).map(|n| worker(OWN, n)).chain(far).collect(),
        services: (0..SERVICES)
            .map(|n| v1::ServiceSpec {
                name: format!("service-{n}"),
                default_each: Some(amount(1_000, 1_024, 1)),
                default_deadline_ms: 2_000,
                non_idempotent_kinds: Vec::new(),
            })
            .collect(),
        teams: (0..TEAMS)
            .map(|n| v1::Team {
                name: team(n),
                quota: Some(amount(1_000, 1_024, 1)),
                may_borrow: true,
                rate_limit_per_s: 0,
            })
            .collect(),
        rules: Some(v1::Rules::default()),
        ..Default::default()
    }
}

/// The `n`-th piece of standing work that a configuration lists.
pub(crate) fn standing(n: usize) -> v1::StandingWork {
    let spec = v1::JobSpec { standing: true, class: "standing".to_owned(), ..spec(n) };
    v1::StandingWork { name: format!("standing-service-{n}"), spec: Some(spec) }
}

/// A change of one worker: in service again, or drained.
pub(crate) fn worker_change(base: u64, worker: usize, draining: bool) -> v1::ConfigChange {
    let drain = v1::DrainWorker { worker: own_worker(worker), draining };
    v1::ConfigChange {
        base_revision: base,
        actor: "operator-of-the-day".to_owned(),
        reason: "maintenance of the rack".to_owned(),
        ops: vec![v1::ConfigOp { op: Some(Op::DrainWorker(drain)) }],
    }
}

/// The first change: everything.
pub(crate) fn first_change(configuration: v1::Configuration) -> v1::ConfigChange {
    v1::ConfigChange {
        ops: vec![v1::ConfigOp { op: Some(Op::Replace(configuration)) }],
        ..Default::default()
    }
}

fn team(n: usize) -> String {
    format!("team-{}", n % TEAMS)
}

/// What a caller asks for in the `n`-th job.
pub(crate) fn spec(n: usize) -> v1::JobSpec {
    v1::JobSpec {
        team: team(n),
        account: format!("account-{}", n % 1_000),
        service: format!("service-{}", n % SERVICES),
        kind: "nightly-check".to_owned(),
        class: "batch".to_owned(),
        tasks: 1,
        each: Some(amount(1_000, 1_024, 1)),
        run_ms: 60_000,
        idempotent: true,
        payload: format!("{{\"shop\":{n},\"pages\":[\"front\",\"basket\",\"pay\"]}}"),
        ..Default::default()
    }
}

/// An urgent quick request.
pub(crate) fn urgent(n: usize) -> v1::JobSpec {
    v1::JobSpec { class: "urgent".to_owned(), run_ms: 50, ..spec(n) }
}

/// Id of the `n`-th job.
pub(crate) fn job_id(n: usize) -> JobId {
    JobId::derive(&TeamId::new(team(n)), &format!("key-{n}"))
}

/// The only task of the `n`-th job.
pub(crate) fn task(n: usize) -> v1::TaskKey {
    v1::TaskKey { job_id: job_id(n).to_string(), attempt: 1, index: 0 }
}

/// The records of the `n`-th job on `worker` at `holder`: accepted, attempt, and the task's end.
pub(crate) fn job(n: usize, worker: String, holder: &str) -> [v1::JobRecord; 3] {
    let job_id = job_id(n).to_string();
    let accepted = v1::JobAccepted {
        spec: Some(spec(n)),
        body_digest: format!("{n:064x}"),
        entry: holder.to_owned(),
    };
    let placement = v1::Placement {
        index: 0,
        worker,
        worker_incarnation: 1,
        epoch: 1,
        holder: holder.to_owned(),
    };
    let attempt = v1::JobAttempt {
        attempt: 1,
        driver: holder.to_owned(),
        driver_incarnation: 1,
        placements: vec![placement],
    };
    let end = v1::TaskEnded {
        attempt: 1,
        outcome: v1::TaskOutcome::Succeeded.into(),
        result: format!("{{\"shop\":{n},\"findings\":0}}"),
        run_ms: 60_000,
        holder: holder.to_owned(),
        epoch: 1,
        ..Default::default()
    };
    [Body::Accepted(accepted), Body::Attempt(attempt), Body::TaskEnded(end)]
        .map(|body| v1::JobRecord { job_id: job_id.clone(), body: Some(body) })
}

/// A record of the log around `body`, with an id as instances make them.
pub(crate) fn record(n: usize, body: record::Body) -> v1::Record {
    let record_id = format!("{ME}.1.{n}");
    v1::Record { record_id, written_unix_ms: 1_764_000_000_000, body: Some(body) }
}
