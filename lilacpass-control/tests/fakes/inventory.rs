//! A small configuration for tests: workers in racks, two teams, a service.

use lilacpass_schema::v1;

pub(crate) const TEAM: &str = "shops";
pub(crate) const SERVICE: &str = "audits";

pub(crate) fn amount(cpu_milli: u64, memory_mib: u64, slots: u64) -> v1::Amount {
    v1::Amount { cpu_milli, memory_mib, accelerators: 0, slots }
}

/// `racks` racks of `per_rack` workers in each of the data centres.
pub(crate) fn configuration(
    data_centres: &[&str],
    racks: usize,
    per_rack: usize,
) -> v1::Configuration {
    let mut workers = Vec::new();
    for (d, data_centre) in data_centres.iter().enumerate() {
        for rack in 0..racks {
            for n in 0..per_rack {
                workers.push(worker(data_centre, d, rack, n));
            }
        }
    }
    v1::Configuration {
        data_centres: data_centres
            .iter()
            .map(|name| v1::DataCentre { name: (*name).to_owned(), region: "region".to_owned() })
            .collect(),
        workers,
        services: vec![v1::ServiceSpec {
            name: SERVICE.to_owned(),
            default_each: Some(amount(1_000, 1_024, 1)),
            default_deadline_ms: 2_000,
            non_idempotent_kinds: vec!["crawl".to_owned()],
        }],
        teams: vec![v1::Team {
            name: TEAM.to_owned(),
            quota: Some(amount(8_000, 8_192, 8)),
            may_borrow: true,
            rate_limit_per_s: 0,
        }],
        rules: Some(v1::Rules::default()),
        ..Default::default()
    }
}

fn worker(data_centre: &str, d: usize, rack: usize, n: usize) -> v1::WorkerSpec {
    v1::WorkerSpec {
        name: format!("{data_centre}-r{rack}-w{n}"),
        data_centre: data_centre.to_owned(),
        rack: format!("r{rack}"),
        address: format!("127.0.{d}.{}:{}", rack + 1, 7_000 + n),
        cpu_milli: 8_000,
        memory_mib: 16_384,
        accelerators: 1,
        slots: 8,
        connections: 64,
        draining: false,
    }
}

pub(crate) fn spec(payload: &str) -> v1::JobSpec {
    v1::JobSpec {
        team: TEAM.to_owned(),
        service: SERVICE.to_owned(),
        kind: "check".to_owned(),
        tasks: 1,
        each: Some(amount(1_000, 1_024, 1)),
        idempotent: true,
        payload: payload.to_owned(),
        ..Default::default()
    }
}
