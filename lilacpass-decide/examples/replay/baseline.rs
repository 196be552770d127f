//! What the decision code is compared with, on the same workload.
//!
//! - `bound`: one central queue that knows all true sizes and run times at once and pauses batch
//!   work at no cost: no real policy waits less for quick requests.
//! - `no pauses`: the same without pauses.
//! - `first fit`: one central queue in order of arrival, placed on the first worker with room.
//! - `random`, `least loaded`, `two choices`: each task goes to a worker at once and waits there
//!   in order of arrival; gang tasks count as single tasks. Loads are known as of now, which is
//!   better than any of them would have it.

use std::collections::VecDeque;

use lilacpass_core::Resources;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    events::Events,
    stats::Stats,
    workload::{self, DEADLINE_US, SECOND_US, Setup, Work},
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Baseline {
    Bound,
    Central,
    FirstFit,
    Random,
    LeastLoaded,
    TwoChoices,
}

impl Baseline {
    pub(crate) const ALL: [Self; 6] = [
        Self::Bound,
        Self::Central,
        Self::FirstFit,
        Self::Random,
        Self::LeastLoaded,
        Self::TwoChoices,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Bound => "all-knowing bound",
            Self::Central => "all-knowing, no pauses",
            Self::FirstFit => "first fit",
            Self::Random => "random",
            Self::LeastLoaded => "least loaded",
            Self::TwoChoices => "two choices",
        }
    }

    fn is_central(self) -> bool {
        matches!(self, Self::Bound | Self::Central | Self::FirstFit)
    }
}

enum Event {
    Arrival(usize),
    End { task: usize, run: u64 },
}

/// One task of a piece of work.
#[derive(Clone, Debug)]
struct Task {
    work: usize,
    left_us: u64,
    worker: usize,
    /// Zero while it does not run.
    run: u64,
    started_us: u64,
}

struct Cell<'a> {
    kind: Baseline,
    setup: &'a Setup,
    works: Vec<Work>,
    events: Events<Event>,
    tasks: Vec<Task>,
    room: Vec<Resources>,
    /// Tasks at each worker.
    on: Vec<Vec<usize>>,
    /// Queues of the workers, or the queues of quick requests and of jobs.
    queues: Vec<VecDeque<usize>>,
    open: Vec<u32>,
    runs: u64,
    rng: SmallRng,
    stats: Stats,
}

pub(crate) fn replay(kind: Baseline, setup: &Setup) -> Stats {
    let works = workload::arrivals(setup);
    let queues = if kind.is_central() { 2 } else { setup.workers };
    let mut cell = Cell {
        kind,
        setup,
        open: works.iter().map(|work| work.tasks).collect(),
        works,
        events: Events::new(),
        tasks: Vec::new(),
        room: vec![workload::worker_capacity(); setup.workers],
        on: vec![Vec::new(); setup.workers],
        queues: vec![VecDeque::new(); queues],
        runs: 0,
        rng: SmallRng::seed_from_u64(setup.seed + 1),
        stats: Stats::default(),
    };
    for (n, watcher) in workload::watchers(setup).iter().enumerate() {
        cell.room[n] = cell.room[n].minus(&watcher.size);
        cell.stats.used(&watcher.size, 0, setup.seconds * SECOND_US, setup);
    }
    for (n, work) in cell.works.iter().enumerate() {
        cell.events.add(work.arrives_us, Event::Arrival(n));
    }
    let end_us = setup.seconds * SECOND_US;
    while let Some((now_us, event)) = cell.events.next() {
        if now_us > end_us {
            break;
        }
        cell.step(now_us, event);
    }
    (0..cell.tasks.len()).for_each(|task| cell.count_use(task, end_us));
    cell.stats
}

impl Cell<'_> {
    fn step(&mut self, now_us: u64, event: Event) {
        match event {
            Event::Arrival(work) => self.arrive(work, now_us),
            Event::End { task, run } if self.tasks[task].run == run => self.end(task, now_us),
            Event::End { .. } => {}
        }
    }

    fn arrive(&mut self, work: usize, now_us: u64) {
        self.stats.arrived(&self.works[work], self.setup);
        for _ in 0..self.works[work].tasks {
            let left_us = self.works[work].run_us;
            self.tasks.push(Task { work, left_us, worker: 0, run: 0, started_us: 0 });
            let task = self.tasks.len() - 1;
            let queue = self.queue_for(work);
            self.queues[queue].push_back(task);
        }
        self.schedule(now_us);
    }

    fn queue_for(&mut self, work: usize) -> usize {
        let workers = self.setup.workers;
        let load = |w: usize| self.on[w].len() + self.queues[w].len();
        match self.kind {
            Baseline::Bound | Baseline::Central => usize::from(!self.works[work].is_quick()),
            Baseline::FirstFit => 0,
            Baseline::Random => self.rng.random_range(0..workers),
            Baseline::LeastLoaded => (0..workers).min_by_key(|&w| load(w)).unwrap_or(0),
            Baseline::TwoChoices => {
                let (a, b) = (self.rng.random_range(0..workers), self.rng.random_range(0..workers));
                if load(b) < load(a) { b } else { a }
            }
        }
    }

    fn schedule(&mut self, now_us: u64) {
        match self.kind {
            Baseline::Bound | Baseline::Central => self.schedule_bound(now_us),
            Baseline::FirstFit => self.schedule_first_fit(now_us),
            _ => (0..self.setup.workers).for_each(|worker| self.schedule_worker(worker, now_us)),
        }
    }

    fn schedule_worker(&mut self, worker: usize, now_us: u64) {
        while let Some(&task) = self.queues[worker].front() {
            if !self.works[self.tasks[task].work].size.fits(&self.room[worker]) {
                return;
            }
            self.queues[worker].pop_front();
            self.start(task, worker, now_us);
        }
    }

    fn schedule_first_fit(&mut self, now_us: u64) {
        while let Some(&task) = self.queues[0].front() {
            let gang = self.works[self.tasks[task].work].tasks as usize;
            let Some(workers) = self.fit(task, gang.min(self.queues[0].len())) else { return };
            for worker in workers {
                let task = self.queues[0].pop_front().expect("the gang waits");
                self.start(task, worker, now_us);
            }
        }
    }

    /// Workers for `count` tasks of the size of `task`, first fit.
    fn fit(&self, task: usize, count: usize) -> Option<Vec<usize>> {
        let size = self.works[self.tasks[task].work].size;
        let mut workers = Vec::new();
        for (worker, room) in self.room.iter().enumerate() {
            let mut room = *room;
            while workers.len() < count && size.fits(&room) {
                room = room.minus(&size);
                workers.push(worker);
            }
        }
        (workers.len() == count).then_some(workers)
    }

    fn schedule_bound(&mut self, now_us: u64) {
        while let Some(task) = self.queues[0].pop_front() {
            let work = &self.works[self.tasks[task].work];
            if now_us + work.run_us > work.arrives_us + DEADLINE_US {
                continue;
            }
            match self.tightest(task).or_else(|| self.pause_for(task, now_us)) {
                Some(worker) => self.start(task, worker, now_us),
                None => {
                    self.queues[0].push_front(task);
                    break;
                }
            }
        }
        let waiting: Vec<usize> = self.queues[1].drain(..).collect();
        let mut blocked: Vec<Resources> = Vec::new();
        let mut next = 0;
        while next < waiting.len() {
            let task = waiting[next];
            let work = self.tasks[task].work;
            let gang = waiting[next..].iter().take_while(|&&t| self.tasks[t].work == work).count();
            let size = self.works[work].size;
            let hopeless = blocked.iter().any(|b| b.fits(&size)) && gang == 1;
            match if hopeless { None } else { self.fit(task, gang) } {
                Some(workers) => {
                    for (n, worker) in workers.into_iter().enumerate() {
                        self.start(waiting[next + n], worker, now_us);
                    }
                }
                None => {
                    if gang == 1 {
                        blocked.push(size);
                    }
                    self.queues[1].extend(&waiting[next..next + gang]);
                }
            }
            next += gang;
        }
    }

    fn tightest(&self, task: usize) -> Option<usize> {
        let size = self.works[self.tasks[task].work].size;
        (0..self.room.len())
            .filter(|&w| size.fits(&self.room[w]))
            .min_by_key(|&w| (self.room[w].slots, self.room[w].cpu))
    }

    /// Pauses the batch work on one worker that was started last.
    fn pause_for(&mut self, task: usize, now_us: u64) -> Option<usize> {
        if self.kind == Baseline::Central {
            return None;
        }
        let size = self.works[self.tasks[task].work].size;
        let victim = self
            .on
            .iter()
            .flatten()
            .copied()
            .filter(|&t| !self.works[self.tasks[t].work].is_quick())
            .filter(|&t| {
                let room = self.room[self.tasks[t].worker];
                size.fits(&room.plus(&self.works[self.tasks[t].work].size))
            })
            .max_by_key(|&t| self.tasks[t].started_us)?;
        let worker = self.tasks[victim].worker;
        let ran_us = now_us - self.tasks[victim].started_us;
        self.leave(victim, now_us);
        self.tasks[victim].left_us = self.tasks[victim].left_us.saturating_sub(ran_us);
        self.queues[1].push_front(victim);
        self.stats.preempted += 1;
        Some(worker)
    }

    fn start(&mut self, task: usize, worker: usize, now_us: u64) {
        self.runs += 1;
        let work = self.tasks[task].work;
        self.room[worker] = self.room[worker].minus(&self.works[work].size);
        self.on[worker].push(task);
        let first = self.tasks[task].left_us == self.works[work].run_us;
        let last = self.tasks[..=task].iter().rev().skip(1).take(1).all(|t| t.work != work);
        if first && (self.works[work].tasks == 1 || last) {
            self.stats.started(&self.works[work], now_us, self.setup);
        }
        let entry = &mut self.tasks[task];
        (entry.worker, entry.run, entry.started_us) = (worker, self.runs, now_us);
        let ends_us = now_us + entry.left_us;
        self.events.add(ends_us, Event::End { task, run: self.runs });
    }

    fn count_use(&mut self, task: usize, now_us: u64) {
        let entry = &self.tasks[task];
        if entry.run != 0 {
            let size = self.works[entry.work].size;
            self.stats.used(&size, entry.started_us, now_us, self.setup);
        }
    }

    fn leave(&mut self, task: usize, now_us: u64) {
        self.count_use(task, now_us);
        let entry = &mut self.tasks[task];
        entry.run = 0;
        let worker = entry.worker;
        self.room[worker] = self.room[worker].plus(&self.works[entry.work].size);
        self.on[worker].retain(|t| *t != task);
    }

    fn end(&mut self, task: usize, now_us: u64) {
        self.leave(task, now_us);
        let work = self.tasks[task].work;
        self.open[work] -= 1;
        if self.works[work].is_quick() {
            self.stats.answered(&self.works[work], now_us, true, self.setup);
        } else if self.open[work] == 0 {
            self.stats.jobs_done += 1;
        }
        match self.kind.is_central() {
            true => self.schedule(now_us),
            false => self.schedule_worker(self.tasks[task].worker, now_us),
        }
    }
}
