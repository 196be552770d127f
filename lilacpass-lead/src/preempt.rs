//! Preemption: stops less urgent work to free capacity for urgent work.
//!
//! Load pattern: a pool that is nearly full of small tasks. A gang that needs most of a worker would wait until all
//! tasks there happen to have ended, while small tasks of less urgent queues start there again and again. A task that
//! saves checkpoints loses only half a second when it is stopped and resumed elsewhere.

use lilacpass_core::Resources;
use lilacpass_jobs::{StepName, WorkerName};
use lilacpass_schema::v1;

use crate::{
    event::Now,
    leader::Leader,
    place,
    rank::Rank,
    reservations::Share,
    work::Part,
    worker::{AssignedRun, Phase, RunKey, Worker},
};

/// Time in ms for which capacity is reserved for a step after preemption. A stop takes up to 0.9 s, which is the
/// platform's bound, and the leader learns of it from the next poll.
const RESERVATION_MS: u64 = 1_500;
/// Maximum number of times that a task is preempted, so that it completes eventually.
const MAX_PREEMPTIONS_PER_TASK: u32 = 3;

/// A run that may be stopped for more urgent work, and the resources it uses.
type Victim = (RunKey, Resources);

/// How many tasks of a step a worker can hold, and what must be stopped for them.
struct Offer {
    worker: WorkerName,
    tasks: u64,
    stops: Vec<Victim>,
}

impl Leader {
    /// Returns whether any open job was less urgent than this step when the leader last compared the open jobs.
    fn may_preempt_any(&self, name: StepName) -> bool {
        let entry = self.jobs.get(&name.job);
        entry.is_some_and(|entry| entry.job.queue.priority < self.open_jobs.least_urgent_priority())
    }

    /// Returns whether runs may be stopped to free capacity for a step: its tasks end by themselves, and some open job
    /// was less urgent.
    pub(crate) fn may_preempt_for(&self, name: StepName, plan: &v1::WorkStep) -> bool {
        !plan.lasting && self.may_preempt_any(name)
    }

    /// Returns the capacity of a worker that would be free for a step with this rank if all less urgent work that may
    /// be preempted were stopped.
    pub(crate) fn capacity_with_preemption(&self, rank: &Rank, worker: &Worker) -> Resources {
        let freed = worker.preemptible_for(rank.priority, || {
            let victims = self.preemptible_runs(worker, rank.priority);
            victims.fold(Resources::ZERO, |sum, (_, assigned)| sum.plus(&assigned.need))
        });
        worker
            .free_capacity_after(&freed)
            .minus(&self.reservations.reserved_before(rank, &worker.registration.name))
    }

    /// Stops work of less urgent queues on workers where the step may start, if that frees capacity for at least one
    /// waiting task (for all of them in a gang), and reserves the capacity for the step.
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
        let mut unplaced = waiting;
        let mut shares: Vec<Share> = Vec::new();
        let mut stops = Vec::new();
        for offer in offers {
            if unplaced == 0 {
                break;
            }
            let tasks = offer.tasks.min(unplaced);
            unplaced -= tasks;
            shares.push((offer.worker.clone(), need.times(tasks)));
            stops.extend(offer.stops.into_iter().map(|(key, _)| (offer.worker.clone(), key)));
        }
        if stops.is_empty() || plan.gang && unplaced > 0 {
            return;
        }
        self.reservations.set(rank, shares, now.steady_ms + RESERVATION_MS);
        for (worker, key) in stops {
            log::info!(task:% = key.0, run = key.1, worker:% = worker, step:% = name; "run preempted");
            if let Some(entry) = self.jobs.get_mut(&key.0.step.job) {
                *entry.preemptions.entry(key.0).or_default() += 1;
            }
            self.stop_run(&worker, key, now);
        }
    }

    /// Returns the workers that the step may start on, each with the number of tasks that fit there and the runs that
    /// must be stopped for them.
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
            let max_tasks = waiting.min(self.remaining_task_limit(worker, name, plan));
            let reserved = self.reservations.reserved_before(rank, &worker.registration.name);
            let fits = |freed: &Resources| {
                place::count_fitting(
                    &worker.free_capacity_after(freed).minus(&reserved),
                    &need,
                    max_tasks,
                )
            };
            let victims = self.victims(worker, rank.priority);
            let (tasks, stops) = minimal_victims(max_tasks, victims, fits);
            (tasks > 0).then(|| Offer { worker: worker.registration.name.clone(), tasks, stops })
        };
        self.allowed_workers(name, now)
            .into_iter()
            .filter(|worker| self.could_start(worker, name, plan, now))
            .filter_map(|worker| offer(&worker))
            .collect()
    }

    /// Returns the runs on a worker that may be stopped for work of this priority, most recently started first.
    fn victims(&self, worker: &Worker, priority: u32) -> Vec<Victim> {
        let mut victims: Vec<(u64, Victim)> = self
            .preemptible_runs(worker, priority)
            .map(|(key, assigned)| (since_ms(assigned), (*key, assigned.need)))
            .collect();
        victims.sort_by_key(|(since_ms, _)| std::cmp::Reverse(*since_ms));
        victims.into_iter().map(|(_, victim)| victim).collect()
    }

    /// Returns the runs on a worker that may be stopped for work of this priority, in the order of their names.
    fn preemptible_runs<'a>(
        &'a self,
        worker: &'a Worker,
        priority: u32,
    ) -> impl Iterator<Item = (&'a RunKey, &'a AssignedRun)> {
        let runs = worker.runs.iter();
        self.visits.add(Part::Preemption, runs.len());
        runs.filter(move |(key, assigned)| self.may_preempt(**key, assigned, priority))
    }

    /// Returns whether a run may be stopped for work of this priority. It must be less urgent, able to resume from a
    /// checkpoint, not about to end, and not preempted too often before.
    fn may_preempt(&self, key: RunKey, assigned: &AssignedRun, priority: u32) -> bool {
        // What the run itself shows comes first: a search for advice asks this of all runs in the cell.
        let can_be_stopped = matches!(assigned.phase, Phase::Running { .. })
            && !assigned.progress.is_some_and(|progress| progress.is_nearly_done());
        if !can_be_stopped {
            return false;
        }
        let Some(entry) = self.jobs.get(&key.0.step.job) else { return false };
        let plan = entry.job.step_plan(key.0.step.step);
        let preemptions = || entry.preemptions.get(&key.0).copied().unwrap_or(0);
        entry.job.queue.priority > priority
            && plan.checkpointing
            && !plan.gang
            && !plan.lasting
            && !plan.fills
            && preemptions() < MAX_PREEMPTIONS_PER_TASK
    }
}

/// Returns the time since when a run is known to be running, on the monotonic clock; 0 if it is not running.
fn since_ms(assigned: &AssignedRun) -> u64 {
    match assigned.phase {
        Phase::Running { since_ms } => since_ms,
        Phase::Recording | Phase::Ordered | Phase::Uncertain { .. } | Phase::Stopping { .. } => 0,
    }
}

/// Returns how many tasks, up to `max_tasks`, a worker can hold, and the victims that must be stopped for them. `fits`
/// returns how many tasks fit once the given resources are freed.
fn minimal_victims(
    max_tasks: u64,
    victims: Vec<Victim>,
    fits: impl Fn(&Resources) -> u64,
) -> (u64, Vec<Victim>) {
    let mut freed = Resources::ZERO;
    let mut tasks = fits(&freed);
    let mut stops: Vec<Victim> = Vec::new();
    for victim in victims {
        if tasks == max_tasks {
            break;
        }
        freed = freed.plus(&victim.1);
        tasks = fits(&freed);
        stops.push(victim);
    }
    // Keep only the victims that are needed. Stopping some of them may not free the resource that is short.
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
