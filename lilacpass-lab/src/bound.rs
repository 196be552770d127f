//! An upper bound for the result of any policy. Each service has a single large worker with the total capacity of the
//! service's workers. It is never faulty, knows the run time of each task, and starts tasks without requesting advice
//! or storing anything. It serves steps by priority, and those of one priority by the time from which their job is
//! late.
//!
//! A policy that serves priorities in the same order can't do better; it falls short of the bound because of fragmented
//! capacity, the time that calls take, and faults. In an overload, sorting by deadline doesn't give the highest worth,
//! so there a policy may exceed the bound.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};

use lilacpass_core::Resources;

use crate::{
    arrivals::Arrival,
    callers::{Caller, JobStatus},
    outcome::{Outcome, Recorder},
    policy::Policy,
    scenario::{Class, Scenario},
};

/// An event. Events of the same time are handled in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A task of a job ends.
    TaskEnded { job: usize, step: usize },
    /// A caller submits a job.
    JobSubmitted { job: usize },
}

/// A waiting step: priority, time from which its job is late, number of the job and number of the step.
type WaitingStep = (u32, u64, usize, usize);

/// State of the simulation.
struct Bound<'a> {
    scenario: &'a Scenario,
    arrivals: &'a [Arrival],
    /// Free capacity of the single worker of each service.
    free_capacity: BTreeMap<&'a str, Resources>,
    /// Waiting steps in the order in which they are served.
    waiting: BTreeSet<WaitingStep>,
    /// For each job, two numbers of tasks of its current step: those that have not started, and those that have not
    /// ended.
    remaining: Vec<(usize, usize)>,
    /// Upcoming events by time in milliseconds.
    events: BinaryHeap<Reverse<(u64, Event)>>,
    /// The caller of each job, with the status of the job.
    callers: Vec<Caller>,
}

/// Simulates a scenario and returns the bound.
pub fn simulate(scenario: &Scenario, arrivals: &[Arrival], seed: u64) -> Outcome {
    let mut free_capacity: BTreeMap<&str, Resources> = BTreeMap::new();
    for pool in &scenario.pools {
        let capacities = (0..pool.workers).map(|number| pool.capacity(number));
        let pool_capacity = capacities.fold(Resources::ZERO, |sum, capacity| sum.plus(&capacity));
        let total = free_capacity.entry(pool.service.as_str()).or_insert(Resources::ZERO);
        *total = total.plus(&pool_capacity);
    }
    let submission =
        |(job, arrival): (usize, &Arrival)| Reverse((arrival.at_ms, Event::JobSubmitted { job }));
    let mut bound = Bound {
        scenario,
        arrivals,
        free_capacity,
        waiting: BTreeSet::new(),
        remaining: vec![(0, 0); arrivals.len()],
        events: arrivals.iter().enumerate().map(submission).collect(),
        callers: vec![Caller::default(); arrivals.len()],
    };
    while let Some(Reverse((now_ms, event))) = bound.events.pop() {
        bound.handle(event, now_ms);
        let next_ms = bound.events.peek().map(|Reverse((at_ms, _))| *at_ms);
        if next_ms != Some(now_ms) {
            bound.start_waiting_steps(now_ms);
        }
    }
    let recorder = Recorder::new(scenario.classes.len());
    recorder.finish(Policy::Bound.to_string(), seed, scenario, arrivals, &bound.callers)
}

impl<'a> Bound<'a> {
    fn class(&self, job: usize) -> &'a Class {
        &self.scenario.classes[self.arrivals[job].class]
    }

    fn handle(&mut self, event: Event, now_ms: u64) {
        match event {
            Event::JobSubmitted { job } => self.enqueue_step(job, 0),
            Event::TaskEnded { job, step } => self.handle_task_end(job, step, now_ms),
        }
    }

    fn enqueue_step(&mut self, job: usize, step: usize) {
        let class = self.class(job);
        let tasks = class.tasks as usize;
        self.remaining[job] = (tasks, tasks);
        let (late_from_ms, _) = self.arrivals[job].deadlines_ms(class);
        self.waiting.insert((class.priority, late_from_ms, job, step));
    }

    fn handle_task_end(&mut self, job: usize, step: usize, now_ms: u64) {
        let class = self.class(job);
        let free_capacity =
            self.free_capacity.entry(class.service.as_str()).or_insert(Resources::ZERO);
        *free_capacity = free_capacity.plus(&need(class));
        self.remaining[job].1 -= 1;
        if self.remaining[job].1 > 0 {
            return;
        }
        if step + 1 < class.steps as usize {
            self.enqueue_step(job, step + 1);
        } else {
            self.callers[job].status = JobStatus::Completed { at_ms: now_ms };
        }
    }

    fn start_waiting_steps(&mut self, now_ms: u64) {
        let waiting: Vec<WaitingStep> = self.waiting.iter().copied().collect();
        for waiting_step in waiting {
            let (_, _, job, step) = waiting_step;
            self.start_step(job, step, now_ms);
            if self.remaining[job].0 == 0 {
                self.waiting.remove(&waiting_step);
            }
        }
    }

    fn start_step(&mut self, job: usize, step: usize, now_ms: u64) {
        let class = self.class(job);
        let need = need(class);
        while self.remaining[job].0 > 0 {
            let Some(free_capacity) = self.free_capacity.get_mut(class.service.as_str()) else {
                return;
            };
            if !need.fits(free_capacity) {
                return;
            }
            *free_capacity = free_capacity.minus(&need);
            self.remaining[job].0 -= 1;
            let work_ms = self.arrivals[job].work_ms[step][self.remaining[job].0];
            self.events.push(Reverse((now_ms + work_ms, Event::TaskEnded { job, step })));
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
