//! A stream as the log keeps it, and a member that follows it.

use lilacpass_core::{
    MonoTime,
    ids::{JobId, Offset},
};
use lilacpass_records::{Follower, FollowerOptions, Jobs, JobsOptions, positions, snapshots};
use lilacpass_schema::v1::{self, record::Body};

use super::{accepted, record, spec};

/// The clock does not matter here.
pub const NOW: MonoTime = MonoTime(0);

/// A stream as the log keeps it, with what a member does with it.
pub struct Stream {
    pub records: Vec<Option<v1::Record>>,
    pub oldest: u64,
}

impl Stream {
    pub fn with_jobs(jobs: u128) -> Self {
        let mut stream = Self { records: Vec::new(), oldest: 0 };
        (0..jobs).for_each(|id| stream.job(id));
        stream
    }

    pub fn push(&mut self, body: Body) -> Offset {
        let offset = self.tail();
        let record_id = format!("r{offset}");
        self.records.push(Some(v1::Record { record_id, body: Some(body), written_unix_ms: 0 }));
        offset
    }

    pub fn push_all(&mut self, bodies: Vec<Body>) {
        for body in bodies {
            self.push(body);
        }
    }

    pub fn job(&mut self, id: u128) {
        self.push(Body::Job(record(JobId(id), accepted(spec(), "d"))));
    }

    pub fn tail(&self) -> Offset {
        Offset(self.records.len() as u64)
    }

    pub fn slots(&self, from: Offset) -> impl Iterator<Item = positions::Slot> {
        (from.0.max(self.oldest)..self.tail().0)
            .map(|at| (Offset(at), self.records[at as usize].clone().map(Box::new)))
    }
}

/// One member: its position and its jobs.
pub struct Member {
    pub follower: Follower,
    pub jobs: Jobs,
}

impl Member {
    pub fn new() -> Self {
        Self::holding_back(1_000)
    }

    pub fn holding_back(max_held_back: usize) -> Self {
        let follower =
            Follower::new(FollowerOptions { max_held_back, ..FollowerOptions::default() });
        Self { follower, jobs: Jobs::new(JobsOptions::default()) }
    }

    /// Reads to the tail; returns whether it was restored and what was lost.
    pub fn read(&mut self, stream: &Stream) -> (bool, Option<positions::Lost>) {
        let slots = stream.slots(self.follower.next());
        let jobs = &mut self.jobs;
        let mut covered = Offset(0);
        let restore = |covers, parts: &[&v1::Snapshot]| match restored(covers, parts) {
            Some(state) => {
                *jobs = state;
                covered = covers;
                true
            }
            None => false,
        };
        let outcome = self.follower.read(slots, stream.tail(), Offset(stream.oldest), restore);
        for (offset, record) in outcome.fold {
            assert!(offset >= covered, "a record that the snapshot covers is folded again");
            match &record.body {
                Some(Body::Job(job)) => {
                    self.jobs.fold(offset, &record.record_id, job, NOW);
                }
                Some(Body::Snapshot(v1::Snapshot {
                    body: Some(v1::snapshot::Body::Jobs(part)),
                    ..
                })) => {
                    self.jobs.fold_snapshot(part);
                }
                _ => {}
            }
        }
        (outcome.restored, outcome.lost)
    }

    /// The parts of a snapshot of the present state, of one job each.
    pub fn snapshot(&self, id: &str) -> Vec<Body> {
        let bodies: Vec<_> =
            self.jobs.snapshot(1).into_iter().map(v1::snapshot::Body::Jobs).collect();
        let parts = snapshots::to_parts(id, self.follower.next(), bodies.into_iter());
        parts.into_iter().map(Body::Snapshot).collect()
    }

    /// The same in parts the number of which only the last one says.
    pub fn snapshot_in_pieces(&self, id: &str) -> Vec<Body> {
        let bodies = self.jobs.freeze(1).map(v1::snapshot::Body::Jobs);
        let parts = snapshots::Writer::new(id.to_owned(), self.follower.next(), bodies);
        parts.map(Body::Snapshot).collect()
    }
}

fn restored(covers: Offset, parts: &[&v1::Snapshot]) -> Option<Jobs> {
    let bodies = parts.iter().filter_map(|part| match &part.body {
        Some(v1::snapshot::Body::Jobs(jobs)) => Some(jobs),
        _ => None,
    });
    Jobs::restore(JobsOptions::default(), bodies, covers, NOW).ok()
}

pub fn ids(member: &Member) -> Vec<JobId> {
    member.jobs.iter().map(lilacpass_records::Job::id).collect()
}
