//! The fold of the jobs stream: time per record, memory per job, snapshots.

use std::time::Duration;

use lilacpass_core::{MonoTime, ids::Offset};
use lilacpass_records::{Jobs, JobsOptions, codec, snapshots};
use lilacpass_schema::v1::{self, record, snapshot::Body};

use crate::{cost, fit, fit::Series, sample};

const RUNNING: [usize; 3] = [10_000, 50_000, 160_000];
const ENDED: [usize; 3] = [25_000, 100_000, 250_000];
/// Jobs whose records are made before they are folded.
const CHUNK: usize = 1_000;
const PART_BYTES: usize = 128 << 10;
const NOW: MonoTime = MonoTime(1_000_000);

struct Filled {
    count: usize,
    jobs: Jobs,
    records: usize,
    spent: Duration,
    bytes: u64,
}

/// `count` jobs of which `kept` records each are folded: 2 leave them running, 3 ended.
fn filled(count: usize, kept: usize) -> Filled {
    let before = cost::resident();
    let mut jobs = Jobs::new(JobsOptions::default());
    let mut spent = Duration::ZERO;
    let mut records = 0;
    for first in (0..count).step_by(CHUNK) {
        let made: Vec<(String, v1::JobRecord)> = (first..first + CHUNK)
            .flat_map(|n| {
                sample::job(n, sample::own_worker(n % 2_300), sample::ME).into_iter().take(kept)
            })
            .enumerate()
            .map(|(n, job)| (format!("{}.1.{}", sample::ME, first * 3 + n), job))
            .collect();
        let (took, ()) = cost::time(|| {
            for (id, job) in &made {
                jobs.fold(Offset(records as u64), id, job, NOW);
                records += 1;
            }
        });
        spent += took;
    }
    let bytes = cost::resident().saturating_sub(before);
    Filled { count, jobs, records, spent, bytes }
}

pub(crate) fn run() {
    fit::head("Jobs");
    // All states are kept until the end, so that none reuses the memory of another.
    let ended: Vec<Filled> = ENDED.into_iter().map(|count| filled(count, 3)).collect();
    let running: Vec<Filled> = RUNNING.into_iter().map(|count| filled(count, 2)).collect();
    for (what, all) in [("running", running), ("ended", ended)] {
        let mut fold = Series::new(&format!("fold of a record, jobs {what}"), "us", "jobs");
        let mut memory = Series::new(&format!("memory of jobs {what}"), "KB", "jobs");
        for state in &all {
            fold.add(state.count, cost::us_each(state.spent, state.records));
            memory.add(state.count, state.bytes as f64 / 1e3);
        }
        let mut scan = Series::new(&format!("one look at all jobs {what}"), "us", "jobs");
        for state in &all {
            let look = || {
                let (spent, _) = cost::time(|| std::hint::black_box(looked_at(&state.jobs)));
                cost::us_each(spent, 1)
            };
            scan.add(state.count, cost::least(look));
        }
        fold.print();
        memory.print();
        scan.print();
        snapshots_of(what, &all);
    }
}

fn snapshots_of(what: &str, all: &[Filled]) {
    let mut write = Series::new(&format!("snapshot of jobs {what}, written"), "us", "jobs");
    let mut read = Series::new(&format!("snapshot of jobs {what}, restored"), "us", "jobs");
    let mut bytes = Series::new(&format!("snapshot of jobs {what}, bytes"), "bytes", "jobs");
    for state in all {
        let covers = Offset(state.records as u64);
        let (took, parts) = cost::time(|| written(&state.jobs, covers));
        write.add(state.count, took.as_secs_f64() * 1e6);
        let size: usize = parts.iter().map(Vec::len).sum();
        bytes.add(state.count, size as f64);
        let (took, jobs) = cost::time(|| restored(&parts, covers));
        assert_eq!(jobs.len(), state.count, "a snapshot restores all jobs");
        read.add(state.count, took.as_secs_f64() * 1e6);
    }
    write.print();
    read.print();
    bytes.print();
}

fn written(jobs: &Jobs, covers: Offset) -> Vec<Vec<u8>> {
    let bodies: Vec<Body> = jobs.snapshot(PART_BYTES).into_iter().map(Body::Jobs).collect();
    snapshots::to_parts("snapshot", covers, bodies.into_iter())
        .into_iter()
        .enumerate()
        .map(|(n, part)| codec::encode(&sample::record(n, record::Body::Snapshot(part))))
        .collect()
}

fn restored(parts: &[Vec<u8>], covers: Offset) -> Jobs {
    let bodies: Vec<v1::JobsSnapshot> = parts
        .iter()
        .filter_map(|bytes| match codec::decode(bytes).ok()?.body? {
            record::Body::Snapshot(v1::Snapshot { body: Some(Body::Jobs(jobs)), .. }) => Some(jobs),
            _ => None,
        })
        .collect();
    Jobs::restore(JobsOptions::default(), &bodies, covers, NOW).expect("restores")
}

/// Goes over all jobs and over the active ones once, as each slow round of control does.
fn looked_at(jobs: &Jobs) -> usize {
    let open = jobs.iter().filter(|job| job.ended().is_none()).count();
    open + jobs.active().filter(|(_, attempt)| attempt.running().count() > 0).count()
}
