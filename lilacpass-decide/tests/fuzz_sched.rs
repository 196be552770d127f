//! A scheduler under any order of requests, ends, cancellations and changes, against a list of
//! what became of each request.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use bolero::TypeGenerator;
use common::{at, ms, slots, spec, task, team_meta, whole_worker, worker_id};
use lilacpass_core::{Class, MonoTime, Resources, ids::TaskId, size::PerSecond};
use lilacpass_decide::{
    Cancelled, Decision, Outcome, Policy, QuickTask, RefusalReason, Scheduler, SchedulerOptions,
    TaskMeta, TeamShare,
};

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Op {
    Submit { class: u8, team: u8, size: u8, deadline_ms: u16, idempotent: bool },
    Burst { count: u8, class: u8, team: u8 },
    Again { task: u16 },
    End { task: u16, outcome: u8, ran_ms: u16 },
    EndMany { every: u8 },
    Cancel { task: u16 },
    Wave { every: u8 },
    Worker { worker: u8, listed: bool },
    Leaving { worker: u8, leaving: bool },
    Shares { may_borrow: bool, rate: u8 },
    Advance { ms: u16 },
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
enum Fate {
    Waits { deadline: MonoTime, class: Class },
    Runs { need: Resources },
    Ended,
    Refused,
    Cancelled,
}

const TEAMS: [&str; 3] = ["desks", "audits", "watch"];

struct Run {
    scheduler: Scheduler,
    fates: BTreeMap<TaskId, Fate>,
    needs: BTreeMap<TaskId, Resources>,
    next: u64,
    now: MonoTime,
}

impl Run {
    fn new() -> Self {
        let options = SchedulerOptions {
            max_queued: 60,
            max_queued_per_team: 40,
            ..SchedulerOptions::default()
        };
        let mut scheduler = Scheduler::new(options);
        common::fill_pool(&mut scheduler.pool, 3);
        let (fates, needs) = Default::default();
        Self { scheduler, fates, needs, next: 0, now: at(1) }
    }

    fn step(&mut self, op: Op) {
        match op {
            Op::Submit { class, team, size, deadline_ms, idempotent } => {
                self.submit(class, team, slots(u64::from(size % 10)), deadline_ms, idempotent);
            }
            Op::Burst { count, class, team } => {
                (0..count % 64).for_each(|_| self.submit(class, team, slots(1), 3_000, true));
            }
            Op::Again { task } => {
                let id = self.pick(task);
                let lives =
                    matches!(self.fates.get(&id), Some(Fate::Waits { .. } | Fate::Runs { .. }));
                if lives {
                    let request =
                        common::quick(0, team_meta(Class::Urgent, TEAMS[0]), at(u64::MAX));
                    let again = self.scheduler.submit(QuickTask { task: id, ..request }, self.now);
                    assert_eq!(again.unwrap_err().reason, RefusalReason::Duplicate);
                }
            }
            Op::End { task, outcome, ran_ms } => {
                let outcomes = [Outcome::Succeeded, Outcome::Failed, Outcome::Lost];
                let outcome = outcomes[usize::from(outcome) % outcomes.len()];
                let id = self.pick(task);
                self.end(&id, outcome, ran_ms);
            }
            Op::EndMany { every } => self.end_many(every),
            Op::Cancel { task } => {
                let id = self.pick(task);
                self.cancel(&id);
            }
            Op::Wave { every } => {
                let every = usize::from(every % 4) + 1;
                let ids: Vec<TaskId> = self.fates.keys().step_by(every).copied().collect();
                ids.iter().for_each(|id| self.cancel(id));
            }
            Op::Worker { worker, listed } => {
                let n = usize::from(worker % 4);
                match listed {
                    true => {
                        self.scheduler.pool.upsert_worker(spec(n), self.now);
                        self.scheduler.pool.set_limit(&worker_id(n), whole_worker(), self.now);
                    }
                    false => self.scheduler.pool.remove_worker(&worker_id(n)),
                }
            }
            Op::Leaving { worker, leaving } => {
                self.scheduler.pool.set_leaving(&worker_id(usize::from(worker % 4)), leaving);
            }
            Op::Shares { may_borrow, rate } => self.set_shares(may_borrow, rate),
            Op::Advance { ms: step } => self.now = self.now + ms(u64::from(step % 2_000)),
        }
        self.dispatch();
        self.check();
    }

    fn submit(&mut self, class: u8, team: u8, need: Resources, deadline_ms: u16, idempotent: bool) {
        let class = Class::ALL[usize::from(class) % 3];
        let team = TEAMS[usize::from(team) % TEAMS.len()];
        let meta = TaskMeta { idempotent, ..team_meta(class, team) };
        self.next += 1;
        let id = task(self.next);
        let deadline = self.now + ms(u64::from(deadline_ms));
        let run_declared = Some(ms(50));
        let request = QuickTask { task: id, need, meta, deadline, run_declared };
        let fate = match self.scheduler.submit(request, self.now) {
            Ok(()) => Fate::Waits { deadline, class },
            Err(_) => Fate::Refused,
        };
        self.fates.insert(id, fate);
        self.needs.insert(id, need);
    }

    fn pick(&self, n: u16) -> TaskId {
        task(u64::from(n) % (self.next + 1))
    }

    fn end(&mut self, id: &TaskId, outcome: Outcome, ran_ms: u16) {
        let released = self.scheduler.ended(id, outcome, ms(u64::from(ran_ms % 500)), self.now);
        let runs = matches!(self.fates.get(id), Some(Fate::Runs { .. }));
        assert_eq!(released.is_some(), runs);
        if runs {
            self.fates.insert(*id, Fate::Ended);
        }
    }

    fn end_many(&mut self, every: u8) {
        let runs = |fate: &Fate| matches!(fate, Fate::Runs { .. });
        let running = self.fates.iter().filter(|(_, fate)| runs(fate)).map(|(id, _)| *id);
        let ids: Vec<TaskId> = running.step_by(usize::from(every % 4) + 1).collect();
        ids.iter().for_each(|id| self.end(id, Outcome::Succeeded, 50));
    }

    fn cancel(&mut self, id: &TaskId) {
        let cancelled = self.scheduler.cancel(id, self.now);
        match self.fates.get(id) {
            Some(Fate::Waits { .. }) => {
                assert_eq!(cancelled, Cancelled::Queued);
                self.fates.insert(*id, Fate::Cancelled);
            }
            Some(Fate::Runs { .. }) => assert!(matches!(cancelled, Cancelled::Running(_))),
            _ => assert_eq!(cancelled, Cancelled::Unknown),
        }
    }

    fn set_shares(&mut self, may_borrow: bool, rate: u8) {
        let rate_limit = rate.is_multiple_of(2).then(|| PerSecond(u64::from(rate)));
        let share = |team: &&str| TeamShare {
            team: team_meta(Class::Batch, team).team,
            quota: slots(6),
            may_borrow,
            rate_limit,
        };
        let teams = TEAMS.iter().map(share).collect();
        self.scheduler.set_policy(Policy { teams, batch_aging: ms(500), ..Policy::default() });
    }

    fn dispatch(&mut self) {
        for decision in self.scheduler.dispatch(self.now) {
            match decision {
                Decision::Start { task, .. } => {
                    let need = self.needs[&task];
                    let earlier = self.fates.insert(task, Fate::Runs { need });
                    let in_time = matches!(
                        earlier, Some(Fate::Waits { deadline, .. }) if !deadline.reached(self.now)
                    );
                    assert!(in_time, "started twice, after its end, or too late: {earlier:?}");
                }
                Decision::Refuse { task, .. } => {
                    let earlier = self.fates.insert(task, Fate::Refused);
                    assert!(matches!(earlier, Some(Fate::Waits { .. })), "{earlier:?}");
                }
                Decision::Preempt(preempt) => {
                    let runs = matches!(self.fates[&preempt.task], Fate::Runs { .. });
                    assert!(runs, "only what runs makes room");
                }
            }
        }
    }

    fn check(&self) {
        for class in Class::ALL {
            let waits = |fate: &&Fate| matches!(fate, Fate::Waits { class: c, .. } if *c == class);
            assert_eq!(self.scheduler.queued(class), self.fates.values().filter(waits).count());
            let oldest = self.scheduler.oldest(class, self.now);
            assert_eq!(oldest.is_some(), self.scheduler.queued(class) > 0);
        }
        let late = |fate: &Fate| matches!(fate, Fate::Waits { deadline, .. } if deadline.reached(self.now));
        assert!(!self.fates.values().any(late), "a request waits beyond its deadline");
        let running = |(id, fate): (&TaskId, &Fate)| match fate {
            Fate::Runs { need } => Some((*id, need.slots)),
            _ => None,
        };
        let runs: BTreeSet<_> = self.fates.iter().filter_map(running).collect();
        let given: BTreeSet<_> = (0..4)
            .flat_map(|n| self.scheduler.pool.tasks_on(&worker_id(n)).collect::<Vec<_>>())
            .map(|(id, given)| (id, given.need.slots))
            .collect();
        assert_eq!(runs, given);
        (0..4).for_each(|n| {
            assert!(self.scheduler.pool.given(&worker_id(n)).fits(&whole_worker()));
        });
    }

    /// Time goes by and tasks end: in the end nothing may wait.
    fn drain(&mut self) {
        for _ in 0..200 {
            self.end_many(0);
            let wake = self.scheduler.next_wake(self.now);
            self.now = (self.now + ms(500)).max(wake.unwrap_or(self.now).min(self.now + ms(5_000)));
            self.dispatch();
        }
        self.end_many(0);
        let open = |fate: &Fate| matches!(fate, Fate::Waits { .. } | Fate::Runs { .. });
        assert!(!self.fates.values().any(open), "each request comes to an end");
        assert_eq!(self.scheduler.pool.task_count(), 0);
    }
}

#[test]
fn each_request_ends_in_exactly_one_way() {
    common::fuzz(80, |ops: &[Op]| {
        let mut run = Run::new();
        ops.iter().for_each(|op| run.step(*op));
        run.drain();
    });
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
struct Tick {
    arrivals: u8,
    ends: u8,
}

/// Urgent work keeps all slots busy. A batch request must start within the ageing time plus nine
/// starts for each batch request ahead of it, itself included.
#[test]
fn batch_never_starves_under_urgent_work() {
    const STARTS_PER_BATCH: u64 = 9;
    common::fuzz(100, |ticks: &[Tick]| {
        let mut scheduler = common::scheduler(1);
        let aging = ms(1_000);
        scheduler.set_policy(Policy { batch_aging: aging, ..Policy::default() });
        let mut next = 0;
        let mut submit = |scheduler: &mut Scheduler, class, now: MonoTime| {
            next += 1;
            let request = common::quick(next, team_meta(class, "team"), now + ms(600_000));
            scheduler.submit(request, now).expect("it is admitted");
            task(next)
        };
        let mut running: Vec<TaskId> = Vec::new();
        for _ in 0..30 {
            submit(&mut scheduler, Class::Urgent, at(0));
        }
        let batch: Vec<TaskId> =
            (0..3).map(|_| submit(&mut scheduler, Class::Batch, at(0))).collect();
        let (mut started_after_aging, mut batch_started) = (0, 0);
        for (n, tick) in ticks.iter().enumerate() {
            let now = at(50 * n as u64);
            // At least as many arrivals as ends: the urgent queue never runs dry.
            let ends = (usize::from(tick.ends) % 8).min(running.len());
            let arrivals = ends + usize::from(tick.arrivals % 2);
            for _ in 0..arrivals {
                submit(&mut scheduler, Class::Urgent, now);
            }
            for id in running.drain(..ends) {
                scheduler.ended(&id, Outcome::Succeeded, ms(100), now);
            }
            for id in common::started(&scheduler.dispatch(now)) {
                running.push(id);
                batch_started += u64::from(batch.contains(&id));
                started_after_aging += u64::from(now.since(at(0)) >= aging);
            }
            let due = (started_after_aging / STARTS_PER_BATCH).min(batch.len() as u64);
            assert!(batch_started >= due, "{batch_started} of {due} batch requests started");
        }
    });
}
