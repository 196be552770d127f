//! Prints what the jobs of a day and the tasks of a large cell take in memory and time.
//!
//! `cargo run --release -p lilacpass-records --example size`

use std::{fs, time::Instant};

use lilacpass_core::{
    MonoTime,
    ids::{JobId, Offset},
};
use lilacpass_records::{Jobs, JobsOptions};
use lilacpass_schema::v1::{self, TaskOutcome, job_record::Body};
use prost::Message;

/// Jobs of one day, all ended.
const ENDED_JOBS: u64 = 250_000;
/// Tasks that run at once, one a job.
const RUNNING_TASKS: u64 = 160_000;
/// Workers that they run on.
const WORKERS: u64 = 2_300;
/// Largest part of a snapshot, in bytes.
const PART_BYTES: usize = 512 << 10;

struct Run {
    jobs: Jobs,
    next: Offset,
}

impl Run {
    fn fold(&mut self, job: JobId, body: Body) {
        let record = v1::JobRecord { job_id: job.to_string(), body: Some(body) };
        let id = format!("entry-{}/1700000000/{}", self.next.0 % 8, self.next);
        self.jobs.fold(self.next, &id, &record, MonoTime(self.next.0));
        self.next = self.next.next();
    }

    fn start(&mut self, number: u64) {
        let job = job_id(number);
        let spec = v1::JobSpec {
            team: "vindbaar".into(),
            account: "bakkerij-01".into(),
            service: "auditdienst".into(),
            kind: "crawl".into(),
            class: "batch".into(),
            tasks: 1,
            each: Some(v1::Amount { cpu_milli: 500, memory_mib: 512, accelerators: 0, slots: 1 }),
            run_ms: 60_000,
            payload: format!("{{\"site\":\"https://shop-{number}.example/\"}}"),
            ..Default::default()
        };
        let accepted = v1::JobAccepted {
            spec: Some(spec),
            body_digest: format!("{number:064x}"),
            entry: "entry-1".into(),
        };
        self.fold(job, Body::Accepted(accepted));
        let placement = v1::Placement {
            index: 0,
            worker: format!("hal-a-worker-{:04}", number % WORKERS),
            worker_incarnation: 1,
            epoch: 7,
            holder: "entry-1".into(),
        };
        let attempt = v1::JobAttempt {
            attempt: 1,
            driver: "entry-1".into(),
            driver_incarnation: 1,
            placements: vec![placement],
        };
        self.fold(job, Body::Attempt(attempt));
    }

    fn end(&mut self, number: u64) {
        let end = v1::TaskEnded {
            attempt: 1,
            index: 0,
            outcome: TaskOutcome::Succeeded.into(),
            result: format!("{{\"score\":{},\"pages\":120,\"broken\":[]}}", number % 100),
            run_ms: 50_000,
            holder: "entry-1".into(),
            epoch: 7,
            ..Default::default()
        };
        self.fold(job_id(number), Body::TaskEnded(end));
    }
}

fn main() {
    let before = resident_bytes();
    let mut run = Run { jobs: Jobs::new(JobsOptions::default()), next: Offset(0) };
    let began = Instant::now();
    for number in 0..ENDED_JOBS {
        run.start(number);
        run.end(number);
    }
    let ended = resident_bytes();
    report("ended job", ENDED_JOBS, ended - before);
    (ENDED_JOBS..ENDED_JOBS + RUNNING_TASKS).for_each(|number| run.start(number));
    report("running task", RUNNING_TASKS, resident_bytes() - ended);
    let fold_us = began.elapsed().as_micros() as f64 / run.next.0 as f64;
    println!("fold_us_per_record={fold_us:.2} records={}", run.next);

    let began = Instant::now();
    let mut frozen = run.jobs.freeze(PART_BYTES);
    let freeze_us = began.elapsed().as_micros();
    let mut parts = Vec::new();
    let mut longest_part_us = 0;
    loop {
        let began = Instant::now();
        let Some(part) = frozen.next() else { break };
        longest_part_us = longest_part_us.max(began.elapsed().as_micros());
        parts.push(part);
    }
    let bytes: usize = parts.iter().map(Message::encoded_len).sum();
    println!("snapshot_parts={} snapshot_bytes={bytes}", parts.len());
    println!("freeze_us={freeze_us} longest_part_us={longest_part_us}");

    let began = Instant::now();
    let restored = Jobs::restore(JobsOptions::default(), &parts, run.next, MonoTime(0));
    let restore_ms = began.elapsed().as_millis();
    println!("restored_jobs={} restore_ms={restore_ms}", restored.map_or(0, |jobs| jobs.len()));
}

fn job_id(number: u64) -> JobId {
    JobId(u128::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835))
}

fn report(what: &str, count: u64, bytes: u64) {
    println!("{what}: count={count} bytes={bytes} bytes_each={}", bytes / count);
}

/// Resident memory of this process, in bytes; 0 where the system does not tell.
fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|text| text.trim().strip_suffix("kB")?.trim().parse::<u64>().ok());
    kib.unwrap_or(0) << 10
}
