//! Control of one instance over made-up seconds: idle, with tasks, with jobs elsewhere, with peers
//! and with quick requests.

use std::time::Duration;

use crate::{
    bytes::Kind,
    cost, fit,
    fit::Series,
    instance::{Instance, Load, Surroundings},
};

/// Of each measurement while idle: many heartbeats, so that their number is exact.
const IDLE_SECONDS: u32 = 20;
/// Of each measurement with jobs elsewhere or with quick requests.
const BUSY_SECONDS: u32 = 4;
const SMALL: Surroundings =
    Surroundings { workers: 400, held: 6, tasks_each: 0, near: 7, far: 0, running: 0, ended: 0 };

/// What one made-up second takes.
struct Second {
    cpu_us: f64,
    events: f64,
    appends: f64,
    answered: f64,
    heartbeats: f64,
    reports: f64,
    renewals: f64,
    log: f64,
}

fn second(around: Surroundings, load: Option<Load>) -> Second {
    let idle = load.is_none() && around.running + around.ended == 0;
    let seconds = if idle { IDLE_SECONDS } else { BUSY_SECONDS };
    let mut instance = Instance::new(around);
    assert_eq!(instance.serving(), around.held as u64, "all workers of the data centre are held");
    if let Some(load) = load {
        instance.load(load);
        instance.run_for(Duration::from_secs(1));
    }
    let cpu_us = cost::least(|| {
        instance.reset();
        instance.run_for(Duration::from_secs(1) * seconds);
        cost::us_each(instance.spent, seconds as usize)
    });
    let each = |count: usize| count as f64 / f64::from(seconds);
    let traffic = &instance.traffic;
    Second {
        cpu_us,
        events: each(instance.events),
        appends: each(instance.appends),
        answered: each(instance.answered),
        heartbeats: each(traffic.bytes(Kind::Heartbeat)),
        reports: each(traffic.bytes(Kind::Report)),
        renewals: each(traffic.bytes(Kind::Renewal)),
        log: each(traffic.bytes(Kind::LogRead) + traffic.bytes(Kind::LogAppend)),
    }
}

/// Measures at several sizes and prints the fits, and the bytes that grow.
fn over(what: &str, size: &'static str, sizes: &[usize], around: impl Fn(usize) -> Surroundings) {
    let mut cpu = Series::new(&format!("{what}: processor time"), "us/s", size);
    let mut bytes = Vec::new();
    for &n in sizes {
        let second = second(around(n), None);
        cpu.add(n, second.cpu_us);
        bytes.push((n, second));
    }
    cpu.print();
    type Pick = fn(&Second) -> f64;
    let kinds: [(&str, &'static str, Pick); 6] = [
        ("events", "1/s", |second| second.events),
        ("heartbeats", "bytes/s", |second| second.heartbeats),
        ("reports", "bytes/s", |second| second.reports),
        ("renewals of tasks", "bytes/s", |second| second.renewals),
        ("log, read and appended", "bytes/s", |second| second.log),
        ("appends", "1/s", |second| second.appends),
    ];
    for (kind, unit, pick) in kinds {
        let values = bytes.iter().map(|(_, second)| pick(second));
        let (least, most) = values.fold((f64::MAX, 0.0), |(a, b), v| (v.min(a), v.max(b)));
        if least == 0.0 || most < 1.1 * least {
            continue;
        }
        let mut series = Series::new(&format!("{what}: {kind}"), unit, size);
        bytes.iter().for_each(|(n, second)| series.add(*n, pick(second)));
        series.print();
    }
}

pub(crate) fn idle() {
    fit::head("Control, idle, 7 other members in the data centre");
    over("held workers", "held", &[6, 50, 290], |held| Surroundings { held, ..SMALL });
    over("290 held with tasks", "tasks each", &[1, 8, 20], |tasks_each| Surroundings {
        held: 290,
        tasks_each,
        ..SMALL
    });
    over("members near", "members", &[7, 31, 63], |near| Surroundings { near, ..SMALL });
    over("members far", "members", &[8, 32, 128], |far| Surroundings { far, ..SMALL });
}

pub(crate) fn elsewhere() {
    fit::head("Control, idle, with jobs that others run");
    over("jobs running", "jobs", &[10_000, 50_000, 100_000, 160_000], |running| Surroundings {
        running,
        ..SMALL
    });
    over("jobs ended", "jobs", &[25_000, 100_000, 250_000], |ended| Surroundings {
        ended,
        ..SMALL
    });
}

pub(crate) fn quick() {
    fit::head("Quick requests: processor time of control, the slope is that of one request");
    let rates = [200, 1_000, 2_000];
    let busy = Surroundings { held: 290, ..SMALL };
    requests("entry that holds the worker", &rates, busy, Load::Callers);
    requests("holder, from a peer", &rates, busy, Load::Peers);
    requests("holder of 50, from a peer", &rates, Surroundings { held: 50, ..busy }, Load::Peers);
    let entry = |far| Surroundings { held: 0, far, ..SMALL };
    requests("entry that holds nothing, 15 members", &rates, entry(8), Load::Callers);
    requests("entry that holds nothing, 71 members", &rates, entry(64), Load::Callers);
    requests("entry that holds nothing, 135 members", &rates, entry(128), Load::Callers);
}

fn requests(what: &str, rates: &[usize], around: Surroundings, load: fn(usize) -> Load) {
    let mut series = Series::new(what, "us/s", "requests/s");
    for &rate in rates {
        let second = second(around, Some(load(rate)));
        let share = second.answered / rate as f64;
        assert!(share > 0.99, "{what}: {share:.3} of {rate} requests a second were answered");
        series.add(rate, second.cpu_us);
    }
    series.print();
}
