//! Which of the requests that wait starts next, and where.

use std::{cmp::Reverse, collections::BTreeSet};

use lilacpass_core::{Class, MonoTime, Resources, ids::TaskId};

use crate::{
    pool::NoPlace,
    sched::{Decision, RefusalReason, Scheduler, Waiting},
};

/// Starts of more urgent work between two starts of batch work that has waited too long.
const STARTS_PER_AGED: u32 = 8;
/// Requests of one line that are looked at for one start, so that one that can't be placed never
/// blocks those behind it.
const MAX_LOOKED_AT: usize = 32;
/// Requests that find no room in one dispatch before the search gets short: only the first of each
/// line is looked at, and only while it may fit.
const MAX_BLOCKED: usize = 32;
/// Searches for tasks that make room in one dispatch; one in vain is the last.
const MAX_PREEMPTIONS: u32 = 2;

/// Needs that found no room in this dispatch: what needs as much finds none either.
#[derive(Default)]
struct Blocked {
    needs: Vec<(Class, bool, Resources)>,
    /// The requests that have these needs.
    tasks: Vec<TaskId>,
    /// Searches for tasks that can make room.
    preemptions: u32,
}

impl Blocked {
    fn covers(&self, request: &Waiting) -> bool {
        let meta = &request.meta;
        self.needs.iter().any(|(class, idempotent, need)| {
            meta.class >= *class
                && (meta.idempotent && !meta.standing) == *idempotent
                && need.fits(&request.need)
        })
    }

    fn add(&mut self, task: TaskId, request: &Waiting) {
        let meta = &request.meta;
        self.tasks.push(task);
        let idempotent = meta.idempotent && !meta.standing;
        // What this one covers too need not be kept.
        self.needs.retain(|(class, other, need)| {
            *class < meta.class || *other != idempotent || !request.need.fits(need)
        });
        self.needs.push((meta.class, idempotent, request.need));
    }
}

impl Scheduler {
    /// Starts all that can start, and refuses what can't meet its deadline any more.
    pub fn dispatch(&mut self, now: MonoTime) -> Vec<Decision> {
        let mut decisions = std::mem::take(&mut self.pending);
        self.pool.expire(now);
        self.refuse_late(now, &mut decisions);
        let mut blocked = Blocked::default();
        for class in Class::ALL {
            self.dispatch_class(class, &mut blocked, now, &mut decisions);
        }
        decisions
    }

    /// Refuses the requests whose answer can't be there in time even if they started now.
    ///
    /// Failure: a request that starts late is answered late, and takes the room of one that could
    /// still be in time; under overload every answer is then late.
    fn refuse_late(&mut self, now: MonoTime, decisions: &mut Vec<Decision>) {
        while let Some(Reverse((latest_start, number, task))) = self.by_latest_start.peek().copied()
        {
            let waits = self.is_waiting(number, &task);
            if waits && latest_start >= now {
                return;
            }
            self.by_latest_start.pop();
            if waits {
                let wait = self.take(&task).map(|request| now.since(request.since));
                let reason = RefusalReason::DeadlineTooClose;
                decisions.push(Decision::Refuse { task, reason, retry_after: wait });
            }
        }
    }

    fn dispatch_class(
        &mut self,
        class: Class,
        blocked: &mut Blocked,
        now: MonoTime,
        decisions: &mut Vec<Decision>,
    ) {
        let busy: Vec<usize> = self.lines[class as usize].busy().map(|(line, _)| line).collect();
        let mut lines: BTreeSet<(u64, usize)> =
            busy.into_iter().map(|line| (self.rank(class, line), line)).collect();
        while let Some((_, line)) = lines.pop_first() {
            if class < Class::Batch && self.is_turn_of_aged(now) {
                self.start_aged(blocked, now, decisions);
            }
            if self.look_at(class, line, blocked, now, decisions) {
                lines.insert((self.rank(class, line), line));
            }
        }
    }

    /// The rank of the team of a line: the least part of its quota in use goes first.
    fn rank(&self, class: Class, line: usize) -> u64 {
        let team = &self.lines[class as usize].get(line).team;
        let capacity = self.pool.capacity().plus(&self.elsewhere.capacity);
        let used = self.pool.team_given(team).plus(&self.elsewhere.given(team));
        self.shares.rank(team, &used, &capacity)
    }

    /// Starts the first request of a line that can be placed; whether there was one.
    fn look_at(
        &mut self,
        class: Class,
        line: usize,
        blocked: &mut Blocked,
        now: MonoTime,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let window = if blocked.tasks.len() < MAX_BLOCKED { MAX_LOOKED_AT } else { 1 };
        let tasks: Vec<TaskId> = self.lines[class as usize].tasks(line).take(window).collect();
        for task in tasks {
            let request = &self.waiting[&task];
            let many = blocked.tasks.len() >= MAX_BLOCKED;
            let hopeless = many && !self.pool.may_fit(&request.need)
                || blocked.covers(request) && !self.pool.is_kept_for(&task);
            if hopeless || !self.may_take(request) {
                continue;
            }
            match self.start(&task, now, false, decisions) {
                Ok(()) => {
                    self.count_overtaken(blocked);
                    return true;
                }
                Err(NoPlace::NeverFits) => self.refuse_unfit(&task, decisions),
                Err(_) => {
                    let request = &self.waiting[&task];
                    blocked.add(task, request);
                    self.make_room(&task, blocked, now, decisions);
                }
            }
        }
        false
    }

    /// Whether the quota of the team allows the request.
    fn may_take(&self, request: &Waiting) -> bool {
        let team = &request.meta.team;
        let used = self.pool.team_given(team).plus(&self.elsewhere.given(team));
        self.shares.may_take(team, &used, &request.need)
    }

    fn start(
        &mut self,
        task: &TaskId,
        now: MonoTime,
        aged: bool,
        decisions: &mut Vec<Decision>,
    ) -> Result<(), NoPlace> {
        let request = &self.waiting[task];
        let worker = match aged {
            true => self.pool.place_and_give_aged(*task, request.need, &request.meta, now)?,
            false => self.pool.place_and_give(*task, request.need, &request.meta, &[], now)?,
        };
        let waited = now.since(request.since);
        if request.meta.class < Class::Batch {
            self.starts_since_aged = self.starts_since_aged.saturating_add(1);
        }
        self.take(task);
        decisions.push(Decision::Start { task: *task, worker, waited });
        Ok(())
    }

    fn count_overtaken(&mut self, blocked: &Blocked) {
        for task in &blocked.tasks {
            if let Some(request) = self.waiting.get_mut(task) {
                request.overtaken += 1;
            }
        }
    }

    /// An inventory change can make a request unfit that was admitted.
    fn refuse_unfit(&mut self, task: &TaskId, decisions: &mut Vec<Decision>) {
        self.take(task);
        let reason = RefusalReason::NeverFits;
        decisions.push(Decision::Refuse { task: *task, reason, retry_after: None });
    }

    /// Makes room for a request that has waited long enough: by preemption where it is urgent,
    /// and by keeping a worker for it.
    fn make_room(
        &mut self,
        task: &TaskId,
        blocked: &mut Blocked,
        now: MonoTime,
        decisions: &mut Vec<Decision>,
    ) {
        let request = &self.waiting[task];
        let waited = now.since(request.since);
        let (need, meta) = (request.need, request.meta.clone());
        let may_preempt = meta.class == Class::Urgent && !request.has_preempted;
        if may_preempt && blocked.preemptions < MAX_PREEMPTIONS && self.is_slow() {
            let rules = self.policy.preemption();
            let chosen = self.pool.preempt_for(&need, &meta, &rules, now);
            blocked.preemptions = match chosen.is_empty() {
                true => MAX_PREEMPTIONS,
                false => blocked.preemptions + 1,
            };
            if let Some(request) = self.waiting.get_mut(task) {
                request.has_preempted = !chosen.is_empty();
            }
            decisions.extend(chosen.into_iter().map(Decision::Preempt));
        }
        let overtaken = self.waiting[task].overtaken;
        if waited >= self.options.reserve_after && overtaken >= self.options.reserve_after_overtaken
        {
            let until = now + self.options.reserve_after * 10;
            self.pool.reserve(task, &need, until, now);
        }
    }

    /// Whether urgent requests would wait for too long, with the room that is being made already.
    ///
    /// Quick tasks end all the time, so most requests need nobody to make room: one preemption for
    /// each that waits would throw away far more work than the wait is worth.
    fn is_slow(&self) -> bool {
        let class = Class::Urgent as usize;
        let side_by_side = self.pool.running(Class::Urgent) + self.pool.preempting();
        let side_by_side = u32::try_from(side_by_side).unwrap_or(u32::MAX).max(1);
        self.work[class] / side_by_side > self.options.preempt_wait
    }

    /// Whether the next start belongs to batch work that has waited too long.
    ///
    /// Failure: while urgent work keeps all workers busy, batch work never starts. One start in
    /// a fixed number is set aside for it, so each request waits for a bounded number of starts.
    fn is_turn_of_aged(&self, now: MonoTime) -> bool {
        self.starts_since_aged >= STARTS_PER_AGED
            && self.queued(Class::Batch) > 0
            && self.oldest(Class::Batch, now).is_some_and(|age| age >= self.policy.batch_aging)
    }

    fn start_aged(&mut self, blocked: &mut Blocked, now: MonoTime, decisions: &mut Vec<Decision>) {
        let heads = self.lines[Class::Batch as usize].heads();
        let mut heads: Vec<(MonoTime, TaskId)> =
            heads.map(|task| (self.waiting[&task].since, task)).collect();
        heads.sort_unstable();
        for (_, task) in heads.into_iter().take(MAX_LOOKED_AT) {
            let request = &self.waiting[&task];
            if blocked.covers(request) || !self.may_take(request) {
                continue;
            }
            if self.start(&task, now, true, decisions).is_ok() {
                self.count_overtaken(blocked);
                self.starts_since_aged = 0;
                return;
            }
            blocked.add(task, &self.waiting[&task]);
            self.make_room(&task, blocked, now, decisions);
        }
    }
}
