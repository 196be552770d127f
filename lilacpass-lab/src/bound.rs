//! A bound on what any policy can reach: one large worker for each service that has what all its workers
//! have together, is sound, knows how long each task takes, starts without advice or record, and
//! gives room to the step whose job is late first.
//!
//! No policy does better in the order in which it serves priorities; fragments of room, calls and faults
//! are what lies between. Sorting by lateness is not the best order for the worth in an overload, so
//! there a policy may come out above it.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};

use lilacpass_core::Resources;

use crate::{
    arrivals::Arrival,
    callers::{Caller, Standing},
    outcome::{Outcome, Recorder},
    policy::Policy,
    scenario::{Class, Scenario},
};

/// What happens at a time, in the order in which it is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Moment {
    /// A task of a job ends.
    Ends { job: usize, step: usize },
    /// A job comes.
    Comes { job: usize },
}

/// A step that waits: its place first.
type Place = (u32, u64, usize, usize);

struct Bound<'a> {
    scenario: &'a Scenario,
    arrivals: &'a [Arrival],
    room: BTreeMap<&'a str, Resources>,
    waiting: BTreeSet<Place>,
    /// By job: tasks of its step that have not started, and that have not ended.
    left: Vec<(usize, usize)>,
    moments: BinaryHeap<Reverse<(u64, Moment)>>,
    callers: Vec<Caller>,
}

/// Plays the bound.
pub fn play(scenario: &Scenario, arrivals: &[Arrival], seed: u64) -> Outcome {
    let mut room: BTreeMap<&str, Resources> = BTreeMap::new();
    for pool in &scenario.pools {
        let count = pool.workers as u64;
        let all = Resources::new(
            pool.cores * 1_000 * count,
            pool.memory_mb * count,
            pool.accelerators * count,
            0,
        );
        let known = room.entry(pool.service.as_str()).or_insert(Resources::ZERO);
        *known = known.plus(&all);
    }
    let comes = |(job, arrival): (usize, &Arrival)| Reverse((arrival.at_ms, Moment::Comes { job }));
    let mut bound = Bound {
        scenario,
        arrivals,
        room,
        waiting: BTreeSet::new(),
        left: vec![(0, 0); arrivals.len()],
        moments: arrivals.iter().enumerate().map(comes).collect(),
        callers: vec![Caller::default(); arrivals.len()],
    };
    while let Some(Reverse((now_ms, moment))) = bound.moments.pop() {
        bound.take_in(moment, now_ms);
        let next_ms = bound.moments.peek().map(|Reverse((at_ms, _))| *at_ms);
        if next_ms != Some(now_ms) {
            bound.start_waiting(now_ms);
        }
    }
    let recorder = Recorder::new(scenario.classes.len());
    recorder.finish(Policy::Bound.to_string(), seed, scenario, arrivals, &bound.callers)
}

impl<'a> Bound<'a> {
    fn class(&self, job: usize) -> &'a Class {
        &self.scenario.classes[self.arrivals[job].class]
    }

    fn take_in(&mut self, moment: Moment, now_ms: u64) {
        match moment {
            Moment::Comes { job } => self.step_waits(job, 0),
            Moment::Ends { job, step } => self.task_ends(job, step, now_ms),
        }
    }

    fn step_waits(&mut self, job: usize, step: usize) {
        let class = self.class(job);
        let tasks = class.tasks as usize;
        self.left[job] = (tasks, tasks);
        let (late_from_ms, _) = self.arrivals[job].due_ms(class);
        self.waiting.insert((class.priority, late_from_ms, job, step));
    }

    fn task_ends(&mut self, job: usize, step: usize, now_ms: u64) {
        let class = self.class(job);
        let room = self.room.entry(class.service.as_str()).or_insert(Resources::ZERO);
        *room = room.plus(&need(class));
        self.left[job].1 -= 1;
        if self.left[job].1 > 0 {
            return;
        }
        if step + 1 < class.steps as usize {
            self.step_waits(job, step + 1);
        } else {
            self.callers[job].standing = Standing::Completed { at_ms: now_ms };
        }
    }

    fn start_waiting(&mut self, now_ms: u64) {
        let places: Vec<Place> = self.waiting.iter().copied().collect();
        for place in places {
            let (_, _, job, step) = place;
            self.start_step(job, step, now_ms);
            if self.left[job].0 == 0 {
                self.waiting.remove(&place);
            }
        }
    }

    fn start_step(&mut self, job: usize, step: usize, now_ms: u64) {
        let class = self.class(job);
        let need = need(class);
        while self.left[job].0 > 0 {
            let Some(room) = self.room.get_mut(class.service.as_str()) else { return };
            if !need.fits(room) {
                return;
            }
            *room = room.minus(&need);
            self.left[job].0 -= 1;
            let work_ms = self.arrivals[job].work_ms[step][self.left[job].0];
            self.moments.push(Reverse((now_ms + work_ms, Moment::Ends { job, step })));
        }
    }
}

fn need(class: &Class) -> Resources {
    Resources::new(
        u64::from(class.cpu_milli),
        u64::from(class.memory_mb),
        u64::from(class.accelerators),
        0,
    )
}
