//! Bytes of messages and records as they are encoded, without what HTTP/2, TCP and IP add.

use std::collections::BTreeMap;

use lilacpass_records::codec;
use lilacpass_schema::v1::{self, holding_record, record, snapshot::Body};
use prost::Message;

use crate::{fit, fit::Series, instance, sample};

/// A kind of message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    /// Heartbeats of peers, asked and answered.
    Heartbeat,
    /// Reports of workers, asked and answered.
    Report,
    /// Renewals of task leases, asked and answered.
    Renewal,
    /// Records read.
    LogRead,
    /// Records appended.
    LogAppend,
}

/// Messages that were counted, by kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct Traffic {
    counted: BTreeMap<Kind, (usize, usize)>,
}

impl Traffic {
    /// Counts a message, or a call and its answer.
    pub(crate) fn count(&mut self, kind: Kind, bytes: usize) {
        let (messages, sum) = self.counted.entry(kind).or_default();
        *messages += 1;
        *sum += bytes;
    }

    /// Bytes of one kind.
    pub(crate) fn bytes(&self, kind: Kind) -> usize {
        self.counted.get(&kind).map_or(0, |(_, bytes)| *bytes)
    }
}

/// Prints what records and messages take.
pub(crate) fn run() {
    println!("\n### Records, as they stand in the log\n\n| record | bytes |\n|---|---|");
    let [accepted, attempt, end] = sample::job(123_456, sample::own_worker(1_234), sample::ME);
    let holding = |body| {
        record::Body::Holding(v1::HoldingRecord {
            member: sample::ME.to_owned(),
            incarnation: 3,
            body: Some(body),
            read_offset: 1_000_000,
            sequence: 100_000,
            leaving: false,
        })
    };
    let claim = v1::Claim {
        shard: "north-1/rack-12".to_owned(),
        epoch: 12,
        last_renew_offset: 999_000,
        from: "north-1-entry-3".to_owned(),
    };
    let audit = v1::AuditEntry {
        actor: "operator-of-the-day".to_owned(),
        origin: "10.2.3.4".to_owned(),
        entry: sample::ME.to_owned(),
        action: "change".to_owned(),
        subject: "configuration".to_owned(),
        from_revision: 50_000,
        to_revision: 50_001,
        accepted: true,
        detail: "drain north-1-rack-12-worker-480".to_owned(),
        at_unix_ms: 1_764_000_000_000,
    };
    let rows = [
        ("job accepted", record::Body::Job(accepted)),
        ("attempt, one task", record::Body::Job(attempt)),
        ("end of a task", record::Body::Job(end)),
        ("renewal of a member", holding(holding_record::Body::Renew(v1::Renew {}))),
        ("claim of a shard", holding(holding_record::Body::Claim(claim))),
        ("change of one worker", record::Body::Config(sample::worker_change(50_000, 480, true))),
        ("entry of the audit trail", record::Body::Audit(audit)),
    ];
    for (what, body) in rows {
        println!("| {what} | {} |", codec::encode(&sample::record(100_000, body)).len());
    }
    fit::head("Messages and snapshots");
    configurations();
    reports();
    whole();
}

fn configurations() {
    let mut workers = Series::new("snapshot of the configuration, workers", "bytes", "workers");
    for total in [48, 2_300, 21_000] {
        workers.add(total, snapshot(sample::configuration(total, 6)).len() as f64);
    }
    workers.print();
    let mut standing = Series::new("the same, 48 workers and standing work", "bytes", "standing");
    for listed in [1_000, 8_000, 32_000] {
        let configuration = v1::Configuration {
            standing: (0..listed).map(sample::standing).collect(),
            ..sample::configuration(48, 6)
        };
        standing.add(listed, snapshot(configuration).len() as f64);
    }
    standing.print();
}

/// Prints whether the snapshot of a whole configuration can be read back.
fn whole() {
    println!("\n| workers | standing work | bytes | decoded |\n|---|---|---|---|");
    for listed in [0, 8_000, 16_000, 32_000] {
        let configuration = v1::Configuration {
            standing: (0..listed).map(sample::standing).collect(),
            ..sample::configuration(21_000, 6)
        };
        let bytes = snapshot(configuration);
        let decoded = match codec::decode(&bytes) {
            Ok(_) => "yes".to_owned(),
            Err(error) => format!("no: {error}"),
        };
        println!("| 21000 | {listed} | {} | {decoded} |", bytes.len());
    }
}

/// The record of a snapshot.
fn snapshot(configuration: v1::Configuration) -> Vec<u8> {
    let config = v1::ConfigSnapshot { revision: 50_000, configuration: Some(configuration) };
    let part = v1::Snapshot {
        covers_offset: 50_000,
        parts: 1,
        body: Some(Body::Config(config)),
        ..Default::default()
    };
    codec::encode(&sample::record(1, record::Body::Snapshot(part)))
}

fn reports() {
    let mut report = Series::new("report of a worker, answer", "bytes", "tasks");
    let mut renewal = Series::new("renewal of task leases, call", "bytes", "tasks");
    for tasks in [0, 8, 20] {
        let answer = v1::ReportAnswer {
            version: 100,
            worker_incarnation: 1,
            age_ms: 3,
            tasks: (0..tasks).map(instance::reported).collect(),
            leaving: false,
        };
        report.add(tasks, answer.encoded_len() as f64);
        let call = v1::RenewTasksRequest {
            tasks: (0..tasks).map(sample::task).collect(),
            lease_ms: 10_000,
            epoch: 12,
        };
        renewal.add(tasks, call.encoded_len() as f64);
    }
    report.print();
    renewal.print();
}
