//! Random faults played to whole members, judged by what the fake workers and the callers saw.
//!
//! The oracle knows nothing of leases or the log: it only compares the runs on the workers with
//! the answers that callers got.

mod fakes;

use std::{collections::BTreeMap, time::Duration};

use bolero::TypeGenerator;
use fakes::{Cell, cell::Fault, inventory, log::Mode};
use lilacpass_control::event::Answer;
use lilacpass_core::ids::JobId;
use lilacpass_schema::v1;

const MEMBERS: usize = 4;
/// Plays in a plain run.
const SEEDS: u64 = 60;
/// Bytes that a play is made from.
const MAX_LEN: usize = 4_096;
const MAX_STEPS: usize = 120;
const SECOND: Duration = Duration::from_secs(1);

/// One thing that happens.
#[derive(Clone, Debug, TypeGenerator)]
enum Step {
    Wait(u8),
    Quick { member: u8, run: u8 },
    Crawl { member: u8, run: u8 },
    Sweep { member: u8, run: u8 },
    Gang { member: u8 },
    RepeatCrawl { member: u8 },
    Cancel { member: u8 },
    Pause(u8),
    Resume(u8),
    Kill(u8),
    Replace(u8),
    CutFromLog(u8, bool),
    CutFromPeers(u8, bool),
    Log(u8),
    WorkerSilent(u8, bool),
    WorkerLosesAnswers(u8, bool),
    WorkerDies(u8),
    WorkerRestarts(u8),
    Change { member: u8 },
    Stop(u8),
    LagReads(u8, u8),
}

/// What was asked for, to be compared with what ran.
#[derive(Default)]
struct Asked {
    quick: BTreeMap<u64, String>,
    crawls: Vec<(u64, JobId, String)>,
    idempotent: Vec<String>,
    number: usize,
}

struct Play {
    cell: Cell,
    members: Vec<usize>,
    killed: Vec<bool>,
    asked: Asked,
    incarnation: u64,
}

impl Play {
    fn new() -> Self {
        let mut cell = Cell::new(&["a", "b"], MEMBERS / 2, 2, 1);
        cell.run_for(3 * SECOND);
        Self {
            cell,
            members: (0..MEMBERS).collect(),
            killed: vec![false; MEMBERS],
            asked: Asked::default(),
            incarnation: 1,
        }
    }

    fn member(&self, n: u8) -> usize {
        self.members[usize::from(n) % MEMBERS]
    }

    fn worker(&mut self, n: u8) -> &mut fakes::worker::Worker {
        let at = usize::from(n) % self.cell.workers.len();
        self.cell.workers.values_mut().nth(at).unwrap()
    }

    fn payload(&mut self, run: u8, what: &str) -> String {
        self.asked.number += 1;
        format!("{} {what}-{}", u64::from(run) * 30, self.asked.number)
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Wait(n) => self.cell.run_for(Duration::from_millis(u64::from(n) * 20)),
            Step::Quick { member, run } => {
                let payload = self.payload(run, "quick");
                let member = self.member(member);
                let reply = self.cell.quick(member, inventory::spec(&payload), 4 * SECOND);
                self.asked.quick.insert(reply, payload);
            }
            Step::Crawl { member, run } => {
                let payload = self.payload(run, "crawl");
                let member = self.member(member);
                let spec = v1::JobSpec { kind: "crawl".to_owned(), ..inventory::spec(&payload) };
                let (reply, id) = self.cell.submit(member, spec, &payload);
                self.asked.crawls.push((reply, id, payload));
            }
            Step::Sweep { member, run } => {
                let payload = self.payload(run, "sweep");
                let member = self.member(member);
                self.cell.submit(member, inventory::spec(&payload), &payload);
                self.asked.idempotent.push(payload);
            }
            Step::Gang { member } => {
                let payload = self.payload(40, "gang");
                let member = self.member(member);
                let each = Some(inventory::amount(4_000, 1_024, 4));
                let spec = v1::JobSpec { tasks: 3, each, ..inventory::spec(&payload) };
                self.cell.submit(member, spec, &payload);
            }
            Step::RepeatCrawl { member } => {
                let Some((_, _, payload)) = self.asked.crawls.last().cloned() else { return };
                let member = self.member(member);
                let spec = v1::JobSpec { kind: "crawl".to_owned(), ..inventory::spec(&payload) };
                let (reply, id) = self.cell.submit(member, spec, &payload);
                self.asked.crawls.push((reply, id, payload));
            }
            Step::Cancel { member } => {
                let Some((_, id, _)) = self.asked.crawls.last().cloned() else { return };
                let member = self.member(member);
                self.cell.ask(member, lilacpass_control::event::Request::Cancel(id));
            }
            _ => self.fault(step),
        }
    }

    fn fault(&mut self, step: &Step) {
        match *step {
            Step::Pause(n) if !self.is_killed(n) => self.cell.fault(self.member(n), Fault::Paused),
            Step::Resume(n) if !self.is_killed(n) => self.cell.fault(self.member(n), Fault::None),
            Step::Kill(n) => {
                self.cell.fault(self.member(n), Fault::Killed);
                self.killed[usize::from(n) % MEMBERS] = true;
            }
            Step::Replace(n) if self.is_killed(n) => {
                self.incarnation += 1;
                let name = format!("new-{}", self.incarnation);
                let new = self.cell.replace(self.member(n), &name, self.incarnation);
                self.members[usize::from(n) % MEMBERS] = new;
                self.killed[usize::from(n) % MEMBERS] = false;
            }
            Step::CutFromLog(n, cut) => self.cell.cut_from_log(self.member(n), cut),
            Step::CutFromPeers(n, cut) => self.cell.cut_from_peers(self.member(n), cut),
            Step::Log(n) => {
                self.cell.log.mode =
                    [Mode::Up, Mode::Up, Mode::Down, Mode::LosesAnswers, Mode::Late]
                        [usize::from(n) % 5];
            }
            Step::WorkerSilent(n, silent) => self.worker(n).silent = silent,
            Step::WorkerLosesAnswers(n, loses) => self.worker(n).loses_answers = loses,
            Step::WorkerDies(n) => {
                let now = self.cell.now;
                self.worker(n).die(now);
            }
            Step::WorkerRestarts(n) if self.worker(n).dead => self.worker(n).restart(),
            Step::Change { member } => {
                let member = self.member(member);
                let rules = v1::Rules { max_attempts: 4, ..v1::Rules::default() };
                let op = v1::ConfigOp { op: Some(v1::config_op::Op::SetRules(rules)) };
                let base = self.cell.in_force.values().filter_map(|all| all.last()).max().copied();
                self.cell.change(member, base.unwrap_or(0), vec![op]);
            }
            Step::LagReads(n, lag) => {
                self.cell.lag_reads(self.member(n), Duration::from_millis(u64::from(lag)));
            }
            Step::Stop(n) if !self.is_killed(n) => {
                self.cell.stop(self.member(n));
            }
            _ => {}
        }
    }

    fn is_killed(&self, n: u8) -> bool {
        self.killed[usize::from(n) % MEMBERS]
    }

    /// The eight promises, as far as they can be seen from workers and callers.
    fn judge(&self) {
        assert_eq!(self.cell.over_capacity(), 0, "a worker was given more than it has");
        for payload in &self.asked.idempotent {
            assert_eq!(self.cell.doubled(payload), 0, "{payload} ran in two places at once");
        }
        for (reply, _, payload) in &self.asked.crawls {
            let runs = self.cell.runs_of(payload).len();
            assert!(runs <= 1, "{payload} is non-idempotent and ran {runs} times");
            let answer = self.cell.answers.get(reply).map(|(answer, _)| answer);
            let repeated =
                self.asked.crawls.iter().filter(|(_, _, other)| other == payload).count() > 1;
            if let Some(Answer::Problem(problem)) = answer
                && problem.verdict == "not_run"
                && !repeated
            {
                assert_eq!(runs, 0, "{payload} was said not to have run");
            }
        }
        for (reply, payload) in &self.asked.quick {
            match self.cell.answers.get(reply).map(|(answer, _)| answer) {
                Some(Answer::Quick(answer)) => {
                    assert_eq!(answer.result, format!("answer to {payload}"), "another's answer");
                }
                Some(Answer::Problem(problem)) if problem.verdict == "not_run" => {
                    assert_eq!(
                        self.cell.runs_of(payload).len(),
                        0,
                        "{payload} was said not to have run"
                    );
                }
                _ => {}
            }
        }
        for (member, revisions) in &self.cell.in_force {
            assert!(revisions.is_sorted(), "{member} went back: {revisions:?}");
        }
    }
}

#[test]
fn no_promise_is_broken_under_random_faults() {
    lilacpass_fuzz::check(SEEDS, MAX_LEN, |steps: &Vec<Step>| {
        let mut play = Play::new();
        for step in steps.iter().take(MAX_STEPS) {
            play.step(step);
        }
        play.cell.run_for(15 * SECOND);
        play.judge();
    });
}
