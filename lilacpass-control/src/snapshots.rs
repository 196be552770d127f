//! Snapshots of the streams: written before the log drops what they cover, restored by members
//! that come later.

use lilacpass_core::{
    MonoTime,
    ids::{DataCentreId, InstanceId, Offset},
};
use lilacpass_decide::JobQueue;
use lilacpass_records::{
    jobs::{Frozen, Job, Jobs},
    snapshots,
};
use lilacpass_schema::v1::{self, snapshot::Body};

use crate::{Control, convert, counters, event::Stream};

/// Largest part of a snapshot, in bytes.
const MAX_PART_BYTES: usize = 128 << 10;
/// Parts of a snapshot of the jobs that are appended and not read back at once.
const MAX_PARTS_AHEAD: u32 = 8;

/// A snapshot of the jobs that is being written, a few parts in each slow round: all at once they
/// would hold the control thread, and stand in the outbox before records that callers wait for.
///
/// Where its writer dies or stands still halfway, the others see no more parts and one of them
/// writes another snapshot.
#[derive(Debug)]
pub(crate) struct JobsSnapshot {
    parts: snapshots::Writer<JobsBodies>,
    /// Parts that were appended and not read back yet.
    ahead: u32,
}

/// The bodies of the parts, each made when it is asked for.
type JobsBodies = std::iter::Map<Frozen, fn(v1::JobsSnapshot) -> Body>;

impl Control {
    /// Writes the snapshots that are due and that this member is the first to write.
    pub(crate) fn write_snapshots(&mut self, now: MonoTime) {
        if !self.log_reachable(now) || self.is_leaving() {
            return;
        }
        for stream in [Stream::Config, Stream::Holding, Stream::Jobs] {
            if self.snapshot_due(stream, now) {
                self.write_snapshot(stream, now);
            }
        }
        self.write_jobs_parts(now);
    }

    fn snapshot_due(&mut self, stream: Stream, now: MonoTime) -> bool {
        if stream == Stream::Jobs && self.jobs_snapshot.is_some() {
            return false;
        }
        let members = self.snapshot_writers(stream, now);
        let me = self.settings.me.clone();
        let Some(position) = self.streams.positions.get_mut(&stream) else { return false };
        let follower = &position.follower;
        if !follower.is_at_tail() {
            return false;
        }
        let rank = snapshots::rank(&me, &members, position.schedule.covers());
        let due = position.schedule.due(follower.next(), follower.oldest(), rank, now);
        if due {
            position.schedule.began(now);
        }
        due
    }

    /// The members that may write a snapshot of a stream: those that read it.
    fn snapshot_writers(&self, stream: Stream, now: MonoTime) -> Vec<InstanceId> {
        let silent = self.settings.silent;
        let reads = |data_centre: &DataCentreId| {
            stream != Stream::Holding || *data_centre == self.settings.data_centre
        };
        let peers = self
            .members
            .iter()
            .filter(|(_, peer)| peer.stays(silent, now) && reads(&peer.data_centre))
            .map(|(id, _)| id.clone());
        std::iter::once(self.settings.me.clone()).chain(peers).collect()
    }

    fn write_snapshot(&mut self, stream: Stream, now: MonoTime) {
        let Some(covers) = self.snapshot_covers(stream) else { return };
        let body = match stream {
            Stream::Config => self.config.snapshot().map(Body::Config),
            Stream::Holding => Some(Body::Holding(self.holding.snapshot())),
            Stream::Jobs => return self.begin_jobs_snapshot(covers),
            Stream::Audit => None,
        };
        let id = self.new_snapshot_id();
        for part in snapshots::to_parts(&id, covers, body.into_iter()) {
            self.append(stream, v1::record::Body::Snapshot(part), now);
        }
        counters::bump(&self.counters.snapshots);
    }

    fn new_snapshot_id(&mut self) -> String {
        self.last_record += 1;
        format!("{}.{}.{}", self.settings.me, self.settings.incarnation, self.last_record)
    }

    fn begin_jobs_snapshot(&mut self, covers: Offset) {
        let bodies: JobsBodies = self.jobs.freeze(MAX_PART_BYTES).map(Body::Jobs);
        let id = self.new_snapshot_id();
        let parts = snapshots::Writer::new(id, covers, bodies);
        self.jobs_snapshot = Some(JobsSnapshot { parts, ahead: 0 });
    }

    /// Appends the next parts of the snapshot of the jobs, as far as those before were read back.
    fn write_jobs_parts(&mut self, now: MonoTime) {
        let Some(mut snapshot) = self.jobs_snapshot.take() else { return };
        if self.is_useless(snapshot.parts.covers()) {
            log::warn!(covers:% = snapshot.parts.covers(); "a snapshot of jobs is given up halfway");
            return;
        }
        while snapshot.ahead < MAX_PARTS_AHEAD {
            let Some(part) = snapshot.parts.next() else {
                counters::bump(&self.counters.snapshots);
                return;
            };
            self.append(Stream::Jobs, v1::record::Body::Snapshot(part), now);
            snapshot.ahead += 1;
        }
        self.jobs_snapshot = Some(snapshot);
    }

    /// Whether nobody could start from a snapshot that covers so little: another one covers as
    /// much, or the log has dropped records behind it.
    fn is_useless(&self, covers: Offset) -> bool {
        self.streams.positions.get(&Stream::Jobs).is_none_or(|position| {
            position.schedule.covers() >= covers || position.follower.oldest() > covers
        })
    }

    fn jobs_part_read(&mut self, part: &v1::Snapshot) {
        if let Some(snapshot) = &mut self.jobs_snapshot
            && snapshot.parts.snapshot_id() == part.snapshot_id
        {
            snapshot.ahead = snapshot.ahead.saturating_sub(1);
        }
    }

    /// The offset before which the state of a stream holds all records. A configuration that was
    /// adopted from a peer may be ahead of what was read.
    fn snapshot_covers(&self, stream: Stream) -> Option<Offset> {
        match stream {
            Stream::Config => self.config.covers(),
            _ => self.streams.positions.get(&stream).map(|position| position.follower.next()),
        }
    }

    /// A part of a snapshot was read in its turn.
    pub(crate) fn on_snapshot_part(
        &mut self,
        stream: Stream,
        offset: Offset,
        part: &v1::Snapshot,
        now: MonoTime,
    ) {
        if let Some(position) = self.streams.positions.get_mut(&stream) {
            position.schedule.saw_part(offset, part, now);
        }
        if let (Stream::Jobs, Some(Body::Jobs(jobs))) = (stream, &part.body) {
            self.jobs_part_read(part);
            self.jobs.fold_snapshot(jobs);
        }
    }

    /// Replaces the state of a stream by a whole snapshot. Returns whether it was taken.
    pub(crate) fn restore(
        &mut self,
        stream: Stream,
        covers: Offset,
        parts: &[&v1::Snapshot],
        now: MonoTime,
    ) -> bool {
        match stream {
            Stream::Config => parts.first().is_some_and(|part| self.config.restore(part)),
            Stream::Holding => match parts.first().and_then(|part| part.body.as_ref()) {
                Some(Body::Holding(snapshot)) => {
                    self.holding.restore(snapshot, covers, now);
                    true
                }
                _ => false,
            },
            Stream::Jobs => self.restore_jobs(covers, parts, now),
            Stream::Audit => false,
        }
    }

    fn restore_jobs(&mut self, covers: Offset, parts: &[&v1::Snapshot], now: MonoTime) -> bool {
        let bodies = parts.iter().filter_map(|part| match &part.body {
            Some(Body::Jobs(jobs)) => Some(jobs),
            _ => None,
        });
        match Jobs::restore(self.jobs.options().clone(), bodies, covers, now) {
            Ok(jobs) => {
                self.jobs = jobs;
                true
            }
            Err(error) => {
                log::warn!(error:% = error; "snapshot of jobs refused");
                false
            }
        }
    }

    /// A snapshot was restored: what hangs on the state of the stream is brought in line.
    pub(crate) fn restored(&mut self, stream: Stream, now: MonoTime) {
        log::info!(stream:? = stream; "restored from a snapshot");
        match stream {
            Stream::Config => self.config_changed(now),
            Stream::Jobs => {
                self.queue = JobQueue::new();
                self.queue.set_policy(convert::policy(self.config.configuration()));
                let waiting: Vec<_> = self.jobs.waiting().map(Job::id).collect();
                for id in waiting {
                    self.queue_job(id, now);
                }
                self.standing_open.clear();
                self.broken.clear();
                let open: Vec<_> =
                    self.jobs.iter().filter(|job| job.ended().is_none()).map(Job::id).collect();
                for id in open {
                    self.note_standing(id);
                    self.note_broken(id);
                }
            }
            Stream::Holding | Stream::Audit => {}
        }
    }
}
