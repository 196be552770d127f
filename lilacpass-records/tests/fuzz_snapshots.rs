//! Random streams with torn snapshots, damaged records and retention, against a member that read
//! everything from the beginning.

mod common;

use bolero::TypeGenerator;
use common::stream::{Member, Stream, ids};
use lilacpass_schema::v1::record::Body;

/// Streams tried in a plain run.
const STREAMS: u64 = 1_000;
const MAX_STEPS: usize = 120;
const WRITERS: usize = 3;

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Op {
    Job,
    /// A writer takes a snapshot, giving up what was left of its last one.
    Take(u8),
    /// A writer appends the next part of its snapshot, or the last one again.
    Part(u8, bool),
    /// A record that does not decode.
    Bad,
    /// The log drops its oldest records.
    Drop(u8),
    /// The late member reads to the tail.
    Read,
    /// The late member is replaced.
    Replace,
}

struct World {
    stream: Stream,
    whole: Member,
    late: Member,
    pending: [Vec<Body>; WRITERS],
    jobs: u128,
    snapshots: u32,
}

impl World {
    fn new() -> Self {
        let (whole, late) = (Member::new(), Member::holding_back(40));
        let pending = Default::default();
        Self { stream: Stream::with_jobs(0), whole, late, pending, jobs: 0, snapshots: 0 }
    }

    fn step(&mut self, op: Op) {
        match op {
            Op::Job => {
                self.stream.job(self.jobs);
                self.jobs += 1;
            }
            Op::Take(writer) => {
                self.snapshots += 1;
                let id = format!("s{}", self.snapshots);
                let mut parts = match self.snapshots.is_multiple_of(2) {
                    true => self.whole.snapshot(&id),
                    false => self.whole.snapshot_in_pieces(&id),
                };
                parts.reverse();
                self.pending[usize::from(writer) % WRITERS] = parts;
            }
            Op::Part(writer, again) => {
                let parts = &mut self.pending[usize::from(writer) % WRITERS];
                let part = if again { parts.last().cloned() } else { parts.pop() };
                self.stream.push_all(part.into_iter().collect());
            }
            Op::Bad => self.stream.records.push(None),
            Op::Drop(n) => {
                let most = self.stream.tail().0;
                self.stream.oldest = most.min(self.stream.oldest + u64::from(n % 16));
            }
            Op::Read => self.read_late(),
            Op::Replace => self.late = Member::holding_back(40),
        }
        let oldest = std::mem::take(&mut self.stream.oldest);
        assert_eq!(self.whole.read(&self.stream), (false, None));
        self.stream.oldest = oldest;
    }

    fn read_late(&mut self) {
        let missed = self.late.follower.next().0 < self.stream.oldest;
        let (restored, lost) = self.late.read(&self.stream);
        assert_eq!(lost.is_some(), missed, "a gap is seen where there is one");
        let follower = &self.late.follower;
        assert_eq!(follower.next(), self.stream.tail());
        assert!(follower.is_at_tail() != follower.is_stranded());
        if missed {
            assert_eq!(follower.is_following(), restored, "it goes on only from a snapshot");
        }
        if follower.is_following() {
            assert_eq!(ids(&self.late), ids(&self.whole));
            let (late, whole) =
                (self.late.jobs.snapshot(1 << 20), self.whole.jobs.snapshot(1 << 20));
            assert_eq!(late, whole);
        }
    }
}

#[test]
fn a_member_that_follows_has_the_state_of_one_that_read_everything() {
    lilacpass_fuzz::check_lists::<Op>(STREAMS, 1..=MAX_STEPS, |ops| {
        let mut world = World::new();
        ops.iter().for_each(|op| world.step(*op));
    });
}
