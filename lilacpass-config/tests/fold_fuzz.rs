//! The configuration fold under any order of reading, adopting, restoring and restarting.
//!
//! The oracle knows three workers, of which each is draining or not, and folds each record once,
//! in log order, when it is appended.

mod common;

use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicUsize, Ordering::Relaxed},
};

use common::{change, configuration, drain};
use lilacpass_config::fold::{ChangeOutcome, ConfigFold};
use lilacpass_core::ids::{Offset, Revision};
use lilacpass_schema::v1::{self, config_op::Op};

/// Lists of steps in a plain run.
const LISTS: u64 = 4_000;
/// Steps of the longest one.
const MAX_STEPS: usize = 200;
const MEMBERS: usize = 4;
const WORKERS: u64 = 3;

/// Which workers are draining.
type Draining = [bool; WORKERS as usize];

#[derive(Clone, Copy, Debug, bolero::TypeGenerator)]
enum Step {
    /// An operator appends a change on top of what a member holds, or of another revision.
    Append { member: u8, base: Base, worker: u8, kind: Kind },
    /// A member appends a snapshot of what it holds.
    AppendSnapshot { member: u8 },
    /// A member reads some records, the first of them for the second time.
    Read { member: u8, again: u8, records: u8 },
    /// A member reads to the tail.
    ReadAll { member: u8 },
    /// A member gets the configuration of another.
    Adopt { member: u8, from: u8 },
    /// A new instance takes a member's place.
    Replace { member: u8 },
    /// The log drops what the last snapshot covers, or more.
    Truncate { more: bool },
}

#[derive(Clone, Copy, Debug, bolero::TypeGenerator)]
enum Base {
    Held,
    HeldAgain,
    Other(u8),
}

#[derive(Clone, Copy, Debug, bolero::TypeGenerator)]
enum Kind {
    Drain,
    DrainAgain,
    EndDrain,
    /// A step that no configuration allows.
    Bad,
}

enum Record {
    Change(v1::ConfigChange),
    Snapshot(v1::Snapshot),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Verdict {
    Accepted,
    Conflict,
    Invalid,
}

/// What is right, and what is in the log.
#[derive(Default)]
struct World {
    log: Vec<Record>,
    first_kept: usize,
    verdicts: BTreeMap<usize, Verdict>,
    states: BTreeMap<u64, Draining>,
}

impl World {
    fn revision(&self) -> u64 {
        self.states.keys().next_back().copied().unwrap_or_default()
    }

    fn append_change(&mut self, base: u64, worker: u8, kind: Kind) {
        let worker = usize::from(worker) % WORKERS as usize;
        let name = format!("w{worker}");
        let draining = matches!(kind, Kind::Drain | Kind::DrainAgain);
        let step = match kind {
            Kind::Bad => drain("nobody", true),
            _ if base == 0 => Op::Replace(configuration(WORKERS)),
            _ => drain(&name, draining),
        };
        let verdict = match kind {
            _ if base != self.revision() => Verdict::Conflict,
            Kind::Bad => Verdict::Invalid,
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

    fn append_snapshot(&mut self, member: &ConfigFold) {
        let (Some(config), Some(covers)) = (member.snapshot(), member.covers()) else { return };
        self.log.push(Record::Snapshot(v1::Snapshot {
            covers_offset: covers.0,
            parts: 1,
            body: Some(v1::snapshot::Body::Config(config)),
            ..v1::Snapshot::default()
        }));
    }

    fn truncate(&mut self, more: bool) {
        let covered = self.log.iter().rev().find_map(|record| match record {
            Record::Snapshot(snapshot) => Some(snapshot.covers_offset as usize),
            Record::Change(_) => None,
        });
        let until = if more { self.log.len() } else { covered.unwrap_or_default() };
        self.first_kept = self.first_kept.max(until);
    }

    /// A member reads records from `again` before its position on.
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

    /// Reads to the tail, once more from the snapshot where one closed a gap.
    fn read_all(&self, member: &mut ConfigFold) {
        self.read(member, 0, usize::MAX);
        self.read(member, 0, usize::MAX);
    }

    fn check_outcome(&self, offset: usize, outcome: &ChangeOutcome) {
        let right = self.verdicts[&offset];
        match outcome {
            ChangeOutcome::Accepted(revision) => {
                assert_eq!(right, Verdict::Accepted, "at {offset}");
                assert_eq!(revision.0, offset as u64 + 1);
            }
            ChangeOutcome::Conflict { winner } => {
                assert_eq!(right, Verdict::Conflict, "at {offset}");
                assert!(winner.revision <= offset as u64);
            }
            ChangeOutcome::Invalid(problems) => {
                assert_eq!(right, Verdict::Invalid, "at {offset}");
                assert!(!problems.is_empty());
            }
            ChangeOutcome::Duplicate | ChangeOutcome::Undecided => {}
        }
    }

    /// The same configuration everywhere at the same revision.
    fn check_state(&self, member: &ConfigFold) {
        let workers = &member.configuration().workers;
        if member.revision() == Revision(0) {
            assert!(workers.is_empty());
            return;
        }
        let right = self.states.get(&member.revision().0).expect("a revision that was accepted");
        assert_eq!(workers.iter().map(|w| w.draining).collect::<Vec<_>>(), right);
    }

    fn at_tail(&self, member: &ConfigFold) -> bool {
        !member.has_gap() && member.position().0 as usize == self.log.len()
    }
}

/// Runs the steps; returns how many changes were accepted and how often a member was at the tail.
fn run(steps: &[Step]) -> (usize, usize) {
    let mut world = World::default();
    let mut members: [ConfigFold; MEMBERS] = Default::default();
    let mut at_tail = 0;
    for step in steps {
        let before = members.each_ref().map(ConfigFold::revision);
        let replaced = take(&mut world, &mut members, *step);
        for (i, member) in members.iter().enumerate() {
            assert!(member.revision() >= before[i] || replaced == Some(i), "member {i} went back");
            world.check_state(member);
            if world.at_tail(member) {
                assert_eq!(member.revision().0, world.revision(), "member {i} at the tail");
                at_tail += 1;
            }
        }
    }
    (world.states.len(), at_tail)
}

/// Takes one step; returns the member that was replaced.
fn take(world: &mut World, members: &mut [ConfigFold; MEMBERS], step: Step) -> Option<usize> {
    let index = |member: u8| usize::from(member) % MEMBERS;
    match step {
        Step::Append { member, base, worker, kind } => {
            let held = members[index(member)].revision().0;
            let base = match base {
                Base::Held | Base::HeldAgain => held,
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
        Step::Truncate { more } => world.truncate(more),
    }
    None
}

/// Never goes back, is the same everywhere at the same revision, and a member that has read to
/// the tail is where the oracle is. The counts show that the lists reach all that.
#[test]
fn members_agree_and_never_go_back_in_any_order_of_events() {
    let accepted = AtomicUsize::new(0);
    let at_tail = AtomicUsize::new(0);
    let lists = AtomicUsize::new(0);
    lilacpass_fuzz::check_lists::<Step>(LISTS, 0..=MAX_STEPS, |steps| {
        let (changes, tails) = run(steps);
        accepted.fetch_add(changes, Relaxed);
        at_tail.fetch_add(tails, Relaxed);
        lists.fetch_add(1, Relaxed);
    });
    let lists = lists.into_inner();
    assert!(accepted.load(Relaxed) > lists, "{accepted:?} changes accepted");
    assert!(at_tail.load(Relaxed) > 10 * lists, "{at_tail:?} times at the tail");
}
