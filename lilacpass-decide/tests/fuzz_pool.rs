//! A pool under any order of events, against a plain list of what is given and held.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use bolero::TypeGenerator;
use common::{at, meta, ms, task, worker_id};
use lilacpass_core::{
    Class, MonoTime, Resources,
    ids::{AttemptNo, JobId, RackId, TaskId, WorkerId},
};
use lilacpass_decide::{
    HoldId, How, Outcome, Policy, Pool, PoolOptions, Preempt, Rules, TaskMeta, WorkerSpec,
};

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Op {
    Upsert { worker: u8, shape: u8, draining: bool },
    Remove { worker: u8 },
    Limit { worker: u8, parts: u8 },
    Leaving { worker: u8, leaving: bool },
    Place { task: u8, work: Work, avoid: u8 },
    Try { task: u8, worker: u8, work: Work },
    Adopt { task: u8, worker: u8, work: Work },
    Release { task: u8, outcome: u8, ran_ms: u16 },
    Resize { task: u8, size: u8 },
    Hold { job: u8, tasks: u8, work: Work, for_ms: u16 },
    Commit { job: u8, index: u8 },
    Unhold { job: u8 },
    Reserve { task: u8, size: u8 },
    Preempt { work: Work },
    Cap { permille: u16 },
    Advance { ms: u16 },
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
struct Work {
    size: u8,
    class: u8,
    idempotent: bool,
    checkpointable: bool,
}

impl Work {
    fn need(self) -> Resources {
        size(self.size)
    }

    fn meta(self) -> TaskMeta {
        let class = Class::ALL[usize::from(self.class) % 3];
        let (idempotent, checkpointable) = (self.idempotent, self.checkpointable);
        TaskMeta { idempotent, checkpointable, ..meta(class) }
    }
}

fn size(n: u8) -> Resources {
    let n = u64::from(n);
    Resources::new(1_000 * (n % 7), 512 * (n % 5), u64::from(n % 16 == 0), 1 + n % 3)
}

fn worker(n: u8) -> WorkerId {
    worker_id(usize::from(n % 6))
}

/// What the oracle knows of a worker.
#[derive(Clone, Copy, Default)]
struct Known {
    listed: bool,
    draining: bool,
    leaving: bool,
    capacity: Resources,
    limit: Resources,
    connections: u64,
}

/// The oracle: plain lists.
#[derive(Default)]
struct Oracle {
    workers: BTreeMap<WorkerId, Known>,
    given: BTreeMap<TaskId, (WorkerId, Resources, TaskMeta)>,
    held: BTreeMap<TaskId, (WorkerId, Resources, TaskMeta)>,
    expires: BTreeMap<JobId, MonoTime>,
    preempted: BTreeSet<TaskId>,
    cap_permille: usize,
}

impl Oracle {
    fn sum(list: &BTreeMap<TaskId, (WorkerId, Resources, TaskMeta)>, on: &WorkerId) -> Resources {
        let here = list.values().filter(|(w, ..)| w == on);
        here.fold(Resources::ZERO, |sum, (_, need, _)| sum.plus(need))
    }

    /// Something new was just granted on a worker.
    fn check_grant(&self, on: &WorkerId, need: &Resources) {
        let known = self.workers[on];
        assert!(known.listed && !known.draining && !known.leaving, "{on} takes nothing new");
        self.check_growth(on, need);
        let count = |list: &BTreeMap<_, (WorkerId, _, _)>| {
            list.values().filter(|(w, ..)| w == on).count() as u64
        };
        assert!(count(&self.given) + count(&self.held) <= known.connections);
    }

    /// Tasks on a worker have just grown: in what they grew, the worker stays within its limit.
    ///
    /// Adoption may have brought it over its limit before, in other resources.
    fn check_growth(&self, on: &WorkerId, grown: &Resources) {
        let known = self.workers[on];
        let allowed = known.limit.min(&known.capacity);
        let sum = Self::sum(&self.given, on).plus(&Self::sum(&self.held, on));
        assert!(grown.cpu.0 == 0 || sum.cpu <= allowed.cpu);
        assert!(grown.memory.0 == 0 || sum.memory <= allowed.memory);
        assert!(grown.accelerators.0 == 0 || sum.accelerators <= allowed.accelerators);
        assert!(grown.slots.0 == 0 || sum.slots <= allowed.slots);
    }

    fn cap(&self) -> usize {
        let listed = self.workers.values().filter(|w| w.listed).count();
        match self.cap_permille {
            0 => 0,
            _ if listed < 2 => 0,
            permille => (listed * permille / 1_000).max(1),
        }
    }

    /// Forgets the workers that the pool may forget: not listed, and nothing on them.
    fn forget(&mut self) {
        let used: BTreeSet<_> =
            self.given.values().chain(self.held.values()).map(|(w, ..)| w.clone()).collect();
        self.workers.retain(|id, known| known.listed || used.contains(id));
    }

    fn expire(&mut self, now: MonoTime) {
        self.expires.retain(|_, at| !at.reached(now));
        self.held.retain(|task, _| self.expires.contains_key(&task.job));
    }

    fn check(&self, pool: &Pool) {
        assert_eq!(pool.task_count(), self.given.len());
        for id in self.workers.keys() {
            assert_eq!(pool.given(id), Self::sum(&self.given, id), "given on {id}");
            assert_eq!(pool.held(id), Self::sum(&self.held, id), "held on {id}");
            let on: BTreeSet<_> = pool.tasks_on(id).map(|(task, _)| task).collect();
            let expected: BTreeSet<_> =
                self.given.iter().filter(|(_, (w, ..))| w == id).map(|(task, _)| *task).collect();
            assert_eq!(on, expected);
        }
        let listed = self.workers.values().filter(|w| w.listed);
        let capacity = listed.clone().fold(Resources::ZERO, |sum, w| sum.plus(&w.capacity));
        assert_eq!(pool.capacity(), capacity);
        assert_eq!(pool.workers().count(), listed.count());
        assert!(pool.quarantined().count() <= self.cap(), "more in quarantine than the cap");
        assert_eq!(pool.digest().quarantined as usize, pool.quarantined().count());
        let given = self.given.values().fold(Resources::ZERO, |sum, (_, need, _)| sum.plus(need));
        assert_eq!(pool.usage().given(&meta(Class::Batch).team), given);
    }

    fn check_preempted(&self, chosen: &[Preempt], need: &Resources, class: Class) {
        let Some(first) = chosen.first() else { return };
        let mut room = self.workers[&first.worker].limit.min(&self.workers[&first.worker].capacity);
        for list in [&self.given, &self.held] {
            room = room.minus(&Self::sum(list, &first.worker));
        }
        for victim in chosen {
            let (on, given, meta) = &self.given[&victim.task];
            assert_eq!((on, on), (&first.worker, &victim.worker), "all on one worker");
            assert!(meta.class > class, "only less urgent work makes room");
            assert!(!self.preempted.contains(&victim.task), "none is chosen twice");
            let may_stop = meta.idempotent;
            assert!(match victim.how {
                How::Throttle => true,
                How::Checkpoint => meta.checkpointable,
                How::Stop => may_stop,
            });
            room = room.plus(&given.minus(&victim.keeps));
        }
        assert!(need.fits(&room), "what is chosen is enough");
    }
}

struct Run {
    pool: Pool,
    oracle: Oracle,
    now: MonoTime,
}

impl Run {
    fn step(&mut self, op: Op) {
        let now = self.now;
        match op {
            Op::Upsert { worker: n, shape, draining } => self.upsert(n, shape, draining),
            Op::Remove { worker: n } => {
                self.pool.remove_worker(&worker(n));
                if let Some(known) = self.oracle.workers.get_mut(&worker(n)) {
                    known.listed = false;
                    known.limit = Resources::ZERO;
                }
            }
            Op::Limit { worker: n, parts } => {
                let limit = Resources::new(2_000, 1_024, 1, 1);
                let limit = (0..parts % 8).fold(Resources::ZERO, |sum, _| sum.plus(&limit));
                self.pool.set_limit(&worker(n), limit, now);
                self.oracle.workers.entry(worker(n)).and_modify(|w| w.limit = limit);
            }
            Op::Leaving { worker: n, leaving } => {
                self.pool.set_leaving(&worker(n), leaving);
                self.oracle.workers.entry(worker(n)).and_modify(|w| w.leaving = leaving);
            }
            Op::Place { task: n, work, avoid } => {
                let id = task(u64::from(n % 32));
                let avoid = worker(avoid);
                let placed = self.pool.place_and_give(
                    id,
                    work.need(),
                    &work.meta(),
                    std::slice::from_ref(&avoid),
                    now,
                );
                if let Ok(on) = placed {
                    assert_ne!(on, avoid);
                    self.granted(id, on, work.need(), work.meta());
                }
            }
            Op::Try { task: n, worker: w, work } => {
                let id = task(u64::from(n % 32));
                if self.pool.try_give(id, &worker(w), work.need(), work.meta(), now) {
                    self.granted(id, worker(w), work.need(), work.meta());
                }
            }
            Op::Adopt { task: n, worker: w, work } => {
                let id = task(u64::from(n % 32));
                let earlier = self.pool.give(id, &worker(w), work.need(), work.meta(), now);
                self.oracle.workers.entry(worker(w)).or_default();
                let was = self.oracle.given.insert(id, (worker(w), work.need(), work.meta()));
                let moved = was.map(|(on, ..)| on).filter(|on| *on != worker(w));
                assert_eq!(earlier, moved);
                self.oracle.preempted.remove(&id);
            }
            Op::Release { task: n, outcome, ran_ms } => {
                let outcomes = [
                    Outcome::Succeeded,
                    Outcome::Failed,
                    Outcome::Stopped,
                    Outcome::Lost,
                    Outcome::NotStarted,
                ];
                let outcome = outcomes[usize::from(outcome) % outcomes.len()];
                let id = task(u64::from(n % 32));
                let released = self.pool.release(&id, outcome, ms(u64::from(ran_ms)), now);
                let expected = self.oracle.given.remove(&id);
                assert_eq!(released.map(|r| (r.worker, r.need, r.meta)), expected);
                self.oracle.preempted.remove(&id);
            }
            Op::Resize { task: n, size: s } => {
                let id = task(u64::from(n % 32));
                if self.pool.resize(&id, size(s), now) {
                    let given = self.oracle.given.get_mut(&id).expect("only what is given");
                    let grown = size(s).minus(&given.1);
                    given.1 = size(s);
                    let on = given.0.clone();
                    self.oracle.preempted.remove(&id);
                    self.oracle.check_growth(&on, &grown);
                }
            }
            Op::Hold { job, tasks, work, for_ms } => self.hold(job, tasks, work, for_ms),
            Op::Commit { job, index } => {
                let id = gang(job).task(u32::from(index % 6));
                let held = self.oracle.held.remove(&id);
                if let Some(on) = self.pool.commit_hold(id, now) {
                    let (worker, need, meta) = held.expect("only what is held");
                    assert_eq!(on, worker);
                    self.granted(id, on, need, meta);
                }
                self.close_empty(job);
            }
            Op::Unhold { job } => {
                self.pool.unhold(&gang(job));
                self.oracle.expires.remove(&gang(job).job);
            }
            Op::Reserve { task: n, size: s } => {
                let until = now + ms(100);
                self.pool.reserve(&task(u64::from(n % 32)), &size(s), until, now);
            }
            Op::Preempt { work } => {
                let (need, meta) = (work.need(), work.meta());
                let chosen = self.pool.preempt_for(&need, &meta, &Rules::default(), now);
                self.oracle.check_preempted(&chosen, &need, meta.class);
                self.oracle.preempted.extend(chosen.iter().map(|victim| victim.task));
            }
            Op::Cap { permille } => {
                let permille = permille % 1_001;
                let quarantine_cap_permille = u32::from(permille);
                self.pool.set_policy(Policy { quarantine_cap_permille, ..Policy::default() });
                self.oracle.cap_permille = usize::from(permille);
            }
            Op::Advance { ms: step } => self.now = now + ms(u64::from(step)),
        }
        self.pool.expire(self.now);
        self.oracle.expire(self.now);
        self.oracle.forget();
        self.oracle.check(&self.pool);
    }

    fn upsert(&mut self, n: u8, shape: u8, draining: bool) {
        let shape = u64::from(shape % 3) + 1;
        let capacity = Resources::new(4_000 * shape, 2_048 * shape, shape - 1, 3 * shape);
        let connections = 4 * shape as u32;
        let spec = WorkerSpec {
            rack: RackId::new(format!("rack-{shape}")),
            capacity,
            draining,
            connections,
            ..common::spec(usize::from(n % 6))
        };
        self.pool.upsert_worker(spec, self.now);
        let known = self.oracle.workers.entry(worker(n)).or_default();
        (known.listed, known.draining) = (true, draining);
        (known.capacity, known.connections) = (capacity, u64::from(connections));
    }

    fn hold(&mut self, job: u8, tasks: u8, work: Work, for_ms: u16) {
        let id = gang(job);
        let tasks: Vec<u32> = (0..u32::from(tasks % 6)).collect();
        let expires = self.now + ms(u64::from(for_ms));
        // A second hold of an attempt keeps the size and meta data of the first.
        let first = self.oracle.held.iter().find(|(task, _)| task.job == id.job);
        let (need, meta) = match first {
            Some((_, (_, need, meta))) => (*need, meta.clone()),
            None => (work.need(), work.meta()),
        };
        let placed = self.pool.hold(id, &tasks, &need, &meta, &[], expires, self.now);
        if expires.reached(self.now) {
            assert!(placed.is_empty());
            return;
        }
        self.oracle.expires.insert(id.job, expires);
        for (index, on) in placed {
            let earlier = self.oracle.held.insert(id.task(index), (on.clone(), need, meta.clone()));
            assert!(earlier.is_none(), "held twice");
            assert!(!self.oracle.given.contains_key(&id.task(index)), "held while given");
            self.oracle.check_grant(&on, &need);
        }
        self.close_empty(job);
    }

    fn close_empty(&mut self, job: u8) {
        let job = gang(job).job;
        if !self.oracle.held.keys().any(|task| task.job == job) {
            self.oracle.expires.remove(&job);
        }
    }

    fn granted(&mut self, id: TaskId, on: WorkerId, need: Resources, meta: TaskMeta) {
        let earlier = self.oracle.given.insert(id, (on.clone(), need, meta));
        assert!(earlier.is_none(), "{id} is given twice");
        self.oracle.check_grant(&on, &need);
    }
}

fn gang(job: u8) -> HoldId {
    HoldId { job: JobId(1_000 + u128::from(job % 3)), attempt: AttemptNo(1) }
}

#[test]
fn nothing_is_given_over_a_limit_lost_or_doubled() {
    common::fuzz(500, |ops: &[Op]| {
        let mut run = Run {
            pool: Pool::new(PoolOptions::default()),
            oracle: Oracle { cap_permille: 250, ..Oracle::default() },
            now: at(1),
        };
        for worker in 0..3 {
            run.step(Op::Upsert { worker, shape: worker, draining: false });
            run.step(Op::Limit { worker, parts: 7 });
        }
        ops.iter().for_each(|op| run.step(*op));
    });
}
