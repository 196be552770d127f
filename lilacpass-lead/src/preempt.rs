//! Stops work that can wait, so that urgent work finds room.
//!
//! Load pattern: a pool that is nearly full of small tasks. A gang that needs most of a worker waits until
//! all of them happen to have ended, while small ones of less urgent queues start there again and again.
//! Work that saves its progress loses half a second when it is stopped and goes on elsewhere.

use lilacpass_core::Resources;
use lilacpass_jobs::{StepName, WorkerName};
use lilacpass_schema::v1;

use crate::{
    event::Now,
    leader::Leader,
    place,
    rank::Rank,
    reservations::Share,
    worker::{AssignedRun, Phase, RunKey, Worker},
};

/// How long room is kept for a step once work was stopped for it. A stop takes up to 0.9 s, by the
/// platform's bound, and is heard of in the next look.
const KEPT_MS: u64 = 1_500;
/// Times that a task is stopped for others at most, so that it is done in the end.
const MOST_STOPS: u32 = 3;

/// A run that may be stopped for more urgent work, and what it takes.
type Victim = (RunKey, Resources);

/// How one worker can hold tasks of a step.
struct Offer {
    worker: WorkerName,
    tasks: u64,
    stops: Vec<Victim>,
}

impl Leader {
    /// Whether any work is less urgent than a step, as of the last review.
    pub(crate) fn may_preempt_any(&self, name: StepName) -> bool {
        let entry = self.jobs.get(&name.job);
        entry.is_some_and(|entry| entry.job.queue.priority < self.least_urgent_priority)
    }

    /// The room that a step with this rank would find on a worker if work that can wait were stopped.
    pub(crate) fn capacity_with_preemption(&self, rank: &Rank, worker: &Worker) -> Resources {
        let victims = self.victims(worker, rank.priority);
        let freed = victims.iter().fold(Resources::ZERO, |sum, (_, need)| sum.plus(need));
        worker
            .free_capacity_after(&freed)
            .minus(&self.reservations.reserved_before(rank, &worker.registration.name))
    }

    /// Stops work of less urgent queues where tasks of a step may start, if that gives room to tasks of it
    /// (to all that wait, for a gang), and keeps that room for them.
    pub(crate) fn preempt_for(
        &mut self,
        name: StepName,
        plan: &v1::WorkStep,
        waiting: u64,
        now: Now,
    ) {
        if self.reservations.has(name) || !self.may_preempt_any(name) {
            return;
        }
        let Some(rank) = self.waiting.rank_of(name) else { return };
        let need = place::need(plan);
        let mut offers = self.offers(name, plan, &rank, waiting, now);
        offers.sort_by_key(|offer| offer.stops.len());
        let mut left = waiting;
        let mut shares: Vec<Share> = Vec::new();
        let mut stops = Vec::new();
        for offer in offers {
            if left == 0 {
                break;
            }
            let tasks = offer.tasks.min(left);
            left -= tasks;
            shares.push((offer.worker.clone(), need.times(tasks)));
            stops.extend(offer.stops.into_iter().map(|(key, _)| (offer.worker.clone(), key)));
        }
        if stops.is_empty() || plan.gang && left > 0 {
            return;
        }
        self.reservations.set(rank, shares, now.steady_ms + KEPT_MS);
        for (worker, key) in stops {
            log::info!(task:% = key.0, run = key.1, worker:% = worker, step:% = name; "run preempted");
            if let Some(entry) = self.jobs.get_mut(&key.0.step.job) {
                *entry.preemptions.entry(key.0).or_default() += 1;
            }
            self.stop_run(&worker, key, now);
        }
    }

    /// The workers for which a step holds tickets, with the tasks that each could hold and what would
    /// have to stop for them.
    fn offers(
        &self,
        name: StepName,
        plan: &v1::WorkStep,
        rank: &Rank,
        waiting: u64,
        now: Now,
    ) -> Vec<Offer> {
        let need = place::need(plan);
        let offer = |worker: &&Worker| {
            let most = waiting.min(self.remaining_task_limit(worker, name, plan));
            let kept = self.reservations.reserved_before(rank, &worker.registration.name);
            let fits = |freed: &Resources| {
                place::fits(&worker.free_capacity_after(freed).minus(&kept), &need, most)
            };
            let victims = self.victims(worker, rank.priority);
            let (tasks, stops) = cheapest(most, victims, fits);
            (tasks > 0).then(|| Offer { worker: worker.registration.name.clone(), tasks, stops })
        };
        self.allowed(name, None, now)
            .into_iter()
            .filter(|worker| self.could_start(worker, name, plan, now))
            .filter_map(|worker| offer(&worker))
            .collect()
    }

    /// Runs on a worker that may be stopped for work of this priority, those that began last first.
    fn victims(&self, worker: &Worker, priority: u32) -> Vec<Victim> {
        let mut victims: Vec<(u64, Victim)> = worker
            .runs
            .iter()
            .filter(|(key, given)| self.may_preempt(**key, given, priority))
            .map(|(key, given)| (since_ms(given), (*key, given.need)))
            .collect();
        victims.sort_by_key(|(since_ms, _)| std::cmp::Reverse(*since_ms));
        victims.into_iter().map(|(_, victim)| victim).collect()
    }

    /// Whether a run may be stopped for work of this priority: it is less urgent, goes on where it was,
    /// is not about to end, and has not been stopped too often.
    fn may_preempt(&self, key: RunKey, given: &AssignedRun, priority: u32) -> bool {
        let Some(entry) = self.jobs.get(&key.0.step.job) else { return false };
        let plan = entry.job.step_plan(key.0.step.step);
        let stops = entry.preemptions.get(&key.0).copied().unwrap_or(0);
        entry.job.queue.priority > priority
            && plan.checkpointing
            && !plan.gang
            && !plan.lasting
            && !plan.fills
            && stops < MOST_STOPS
            && matches!(given.phase, Phase::Running { .. })
            && !given.progress.is_some_and(|seen| seen.is_nearly_done())
    }
}

fn since_ms(given: &AssignedRun) -> u64 {
    match given.phase {
        Phase::Running { since_ms } => since_ms,
        Phase::Recording | Phase::Ordered | Phase::Uncertain { .. } | Phase::Stopping { .. } => 0,
    }
}

/// How many tasks, at most `most`, a worker can hold, and the fewest victims that have to stop for them.
/// `fits` tells how many tasks it holds once runs that take so much have ended.
fn cheapest(
    most: u64,
    victims: Vec<Victim>,
    fits: impl Fn(&Resources) -> u64,
) -> (u64, Vec<Victim>) {
    let mut freed = Resources::ZERO;
    let mut tasks = fits(&freed);
    let mut stops: Vec<Victim> = Vec::new();
    for victim in victims {
        if tasks == most {
            break;
        }
        freed = freed.plus(&victim.1);
        tasks = fits(&freed);
        stops.push(victim);
    }
    // Some were taken in vain: they take little of what was short.
    let mut kept = Vec::new();
    for victim in stops {
        let without = freed.minus(&victim.1);
        if fits(&without) == tasks {
            freed = without;
        } else {
            kept.push(victim);
        }
    }
    (tasks, kept)
}
