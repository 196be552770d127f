//! Fuzzes the configuration fold with random sequences of reads, adoptions, snapshots and restarts.
//!
//! The oracle tracks only which of three workers are draining. It folds each record exactly once, in log order, at the
//! time of its append.

mod common;

use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicUsize, Ordering::Relaxed},
};

use common::{change, configuration, drain};
use lilacpass_config::fold::{ChangeOutcome, ConfigFold};
use lilacpass_core::ids::{Offset, Revision};
use lilacpass_schema::v1::{self, config_op::Op};

/// Number of lists of steps in a test run without fuzzing options.
const LISTS: u64 = 4_000;
/// Maximum number of steps in a list.
const MAX_STEPS: usize = 200;
const MEMBERS: usize = 4;
const WORKERS: u64 = 3;

/// Whether each worker is draining.
type Draining = [bool; WORKERS as usize];

#[derive(Clone, Copy, Debug, bolero::TypeGenerator)]
enum Step {
    /// An operator appends a change based on the revision of a member or on another revision.
    Append { member: u8, base: Base, worker: u8, kind: Kind },
    /// A member appends a snapshot of its configuration.
    AppendSnapshot { member: u8 },
    /// A member reads some records, starting `again` records before its position.
    Read { member: u8, again: u8, records: u8 },
    /// A member reads all records up to the end of the log.
    ReadAll { member: u8 },
    /// A member adopts the configuration of another one.
    Adopt { member: u8, from: u8 },
    /// A new instance without any state replaces a member.
    Replace { member: u8 },
    /// The log drops the records that the last snapshot covers, or all records.
    Truncate { all: bool },
}

/// Revision on which an appended change is based.
#[derive(Clone, Copy, Debug, bolero::TypeGenerator)]
enum Base {
    /// The revision of the member.
    Current,
    /// The same as `Current`; makes this case twice as likely.
    CurrentToo,
    /// An arbitrary revision.
    Other(u8),
}

/// Step of an appended change.
#[derive(Clone, Copy, Debug, bolero::TypeGenerator)]
enum Kind {
    /// Starts the drain of a worker.
    Drain,
    /// The same as `Drain`; makes this case twice as likely.
    DrainToo,
    /// Ends the drain of a worker.
    EndDrain,
    /// A step that is invalid in every configuration.
    Invalid,
}

/// A record of the log.
enum Record {
    Change(v1::ConfigChange),
    Snapshot(v1::Snapshot),
}

/// The correct outcome of a change.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Verdict {
    Accepted,
    Conflict,
    Invalid,
}

/// The log and the state of the oracle.
#[derive(Default)]
struct World {
    /// All records ever appended, by offset.
    log: Vec<Record>,
    /// Offset of the first record that the log has not dropped.
    first_kept: usize,
    /// Correct outcome of each change by its offset.
    verdicts: BTreeMap<usize, Verdict>,
    /// Correct state at each revision.
    states: BTreeMap<u64, Draining>,
}

impl World {
    /// Returns the newest revision.
    fn revision(&self) -> u64 {
        self.states.keys().next_back().copied().unwrap_or_default()
    }

    /// Appends a change and determines its correct outcome.
    fn append_change(&mut self, base: u64, worker: u8, kind: Kind) {
        let worker = usize::from(worker) % WORKERS as usize;
        let name = format!("w{worker}");
        let draining = matches!(kind, Kind::Drain | Kind::DrainToo);
        let step = match kind {
            Kind::Invalid => drain("nobody", true),
            _ if base == 0 => Op::Replace(configuration(WORKERS)),
            _ => drain(&name, draining),
        };
        let verdict = match kind {
            _ if base != self.revision() => Verdict::Conflict,
            Kind::Invalid => Verdict::Invalid,
            _ => Verdict::Accepted,
        };
        if verdict == Verdict::Accepted {
            let mut state = self.states.get(&base).copied().unwrap_or_default();
            if base > 0 {
                state[worker] = draining;
            }
            self.states.insert(self.log.len() as u64 + 1, state);
        }
        self.verdicts.insert(self.log.len(), verdict);
        self.log.push(Record::Change(change(base, &name, step)));
    }

    /// Appends a snapshot of a member's configuration, if the member may write one.
    fn append_snapshot(&mut self, member: &ConfigFold) {
        let (Some(config), Some(covers)) = (member.snapshot(), member.covers()) else { return };
        self.log.push(Record::Snapshot(v1::Snapshot {
            covers_offset: covers.0,
            parts: 1,
            body: Some(v1::snapshot::Body::Config(config)),
            ..v1::Snapshot::default()
        }));
    }

    /// Drops the records that the last snapshot covers, or all records.
    fn truncate(&mut self, all: bool) {
        let covered = self.log.iter().rev().find_map(|record| match record {
            Record::Snapshot(snapshot) => Some(snapshot.covers_offset as usize),
            Record::Change(_) => None,
        });
        let until = if all { self.log.len() } else { covered.unwrap_or_default() };
        self.first_kept = self.first_kept.max(until);
    }

    /// Lets a member read `records` records, starting `again` records before its position. Checks the outcome of each.
    fn read(&self, member: &mut ConfigFold, again: usize, records: usize) {
        member.handle_truncation(Offset(self.first_kept as u64));
        let start = (member.position().0 as usize).saturating_sub(again).max(self.first_kept);
        for (i, record) in self.log.iter().enumerate().skip(start).take(records) {
            let offset = Offset(i as u64);
            match record {
                Record::Change(change) => {
                    self.check_outcome(i, &member.fold(offset, change));
                    let accepted = self.verdicts[&i] == Verdict::Accepted;
                    assert!(accepted || !member.was_accepted(offset), "at {i}");
                }
                Record::Snapshot(snapshot) => {
                    member.restore(snapshot);
                    member.skip(offset);
                }
            }
        }
    }

    /// Lets a member read up to the end of the log. Reads twice, since a snapshot may close a gap in the first pass and
    /// leave the records before it to be read again.
    fn read_all(&self, member: &mut ConfigFold) {
        self.read(member, 0, usize::MAX);
        self.read(member, 0, usize::MAX);
    }

    /// Checks the outcome that a member reports for the change at `offset`.
    fn check_outcome(&self, offset: usize, outcome: &ChangeOutcome) {
        let expected = self.verdicts[&offset];
        match outcome {
            ChangeOutcome::Accepted(revision) => {
                assert_eq!(expected, Verdict::Accepted, "at {offset}");
                assert_eq!(revision.0, offset as u64 + 1);
            }
            ChangeOutcome::Conflict { winner } => {
                assert_eq!(expected, Verdict::Conflict, "at {offset}");
                assert!(winner.revision <= offset as u64);
            }
            ChangeOutcome::Invalid(problems) => {
                assert_eq!(expected, Verdict::Invalid, "at {offset}");
                assert!(!problems.is_empty());
            }
            ChangeOutcome::Duplicate | ChangeOutcome::Undecided => {}
        }
    }

    /// Checks that a member's configuration is the correct one for its revision.
    fn check_state(&self, member: &ConfigFold) {
        let workers = &member.configuration().workers;
        if member.revision() == Revision(0) {
            assert!(workers.is_empty());
            return;
        }
        let expected = self.states.get(&member.revision().0).expect("a revision that was accepted");
        assert_eq!(workers.iter().map(|w| w.draining).collect::<Vec<_>>(), expected);
    }

    /// Returns whether a member has read all records.
    fn is_at_end(&self, member: &ConfigFold) -> bool {
        !member.has_gap() && member.position().0 as usize == self.log.len()
    }
}

/// Runs the steps and returns the number of accepted changes and how often a member had read the whole log.
fn run(steps: &[Step]) -> (usize, usize) {
    let mut world = World::default();
    let mut members: [ConfigFold; MEMBERS] = Default::default();
    let mut times_at_end = 0;
    for step in steps {
        let before = members.each_ref().map(ConfigFold::revision);
        let replaced = run_step(&mut world, &mut members, *step);
        for (i, member) in members.iter().enumerate() {
            assert!(
                member.revision() >= before[i] || replaced == Some(i),
                "the revision of member {i} decreased"
            );
            world.check_state(member);
            if world.is_at_end(member) {
                assert_eq!(
                    member.revision().0,
                    world.revision(),
                    "member {i} at the end of the log"
                );
                times_at_end += 1;
            }
        }
    }
    (world.states.len(), times_at_end)
}

/// Runs one step and returns the index of the member that it replaced, if any.
fn run_step(world: &mut World, members: &mut [ConfigFold; MEMBERS], step: Step) -> Option<usize> {
    let index = |member: u8| usize::from(member) % MEMBERS;
    match step {
        Step::Append { member, base, worker, kind } => {
            let current = members[index(member)].revision().0;
            let base = match base {
                Base::Current | Base::CurrentToo => current,
                Base::Other(other) => u64::from(other) % (world.log.len() as u64 + 2),
            };
            world.append_change(base, worker, kind);
        }
        Step::AppendSnapshot { member } => world.append_snapshot(&members[index(member)]),
        Step::Read { member, again, records } => {
            let (again, records) = (usize::from(again % 8), usize::from(records % 16));
            world.read(&mut members[index(member)], again, records);
        }
        Step::ReadAll { member } => world.read_all(&mut members[index(member)]),
        Step::Adopt { member, from } => {
            if let Some(snapshot) = members[index(from)].snapshot() {
                members[index(member)].adopt(&snapshot);
            }
        }
        Step::Replace { member } => {
            members[index(member)] = ConfigFold::new();
            return Some(index(member));
        }
        Step::Truncate { all } => world.truncate(all),
    }
    None
}

/// Checks three properties: a member's revision never decreases; all members have the same configuration at the same
/// revision; and a member that has read the whole log has the revision of the oracle.
///
/// The final assertions ensure that the random lists accept changes and read to the end often enough to test this.
#[test]
fn members_agree_and_never_go_back_in_any_order_of_events() {
    let accepted = AtomicUsize::new(0);
    let times_at_end = AtomicUsize::new(0);
    let lists = AtomicUsize::new(0);
    lilacpass_fuzz::check_lists::<Step>(LISTS, 0..=MAX_STEPS, |steps| {
        let (changes, ends) = run(steps);
        accepted.fetch_add(changes, Relaxed);
        times_at_end.fetch_add(ends, Relaxed);
        lists.fetch_add(1, Relaxed);
    });
    let lists = lists.into_inner();
    assert!(accepted.load(Relaxed) > lists, "{accepted:?} changes accepted");
    assert!(
        times_at_end.load(Relaxed) > 10 * lists,
        "{times_at_end:?} times at the end of the log"
    );
}
