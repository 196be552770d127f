//! Which of the requests that wait starts next, and where.

use std::cmp::Reverse;

use lilacpass_core::{Class, MonoTime, Resources, ids::TaskId};

use crate::{
    pool::NoPlace,
    sched::{Decision, RefusalReason, Scheduler, Waiting},
};

/// Starts of more urgent work between two starts of batch work that has waited too long.
const STARTS_PER_AGED: u32 = 8;
/// Requests of one line that are looked at in one dispatch, so that one that can't be placed
/// never blocks those behind it.
const MAX_LOOKED_AT: usize = 32;

/// Needs that found no room in this dispatch: what needs as much finds none either.
#[derive(Default)]
struct Blocked {
    needs: Vec<(Class, bool, Resources)>,
    /// The requests that have these needs.
    tasks: Vec<TaskId>,
    /// Whether no more tasks can make room.
    no_victims: bool,
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
        self.needs.push((meta.class, meta.idempotent && !meta.standing, request.need));
    }
}

/// How looking at one line ended.
enum Looked {
    Started,
    Nothing,
}

impl Scheduler {
    /// Starts all that can start, and refuses what can't meet its deadline any more.
    pub fn dispatch(&mut self, now: MonoTime) -> Vec<Decision> {
        let mut decisions = std::mem::take(&mut self.pending);
        self.pool.expire(now);
        self.refuse_late(now, &mut decisions);
        let mut blocked = Blocked::default();
        for class in Class::ALL {
            self.trim(class);
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

    fn trim(&mut self, class: Class) {
        let waiting = &self.waiting;
        self.lines[class as usize]
            .trim(|(number, task)| waiting.get(task).is_some_and(|w| w.number == *number));
    }

    fn dispatch_class(
        &mut self,
        class: Class,
        blocked: &mut Blocked,
        now: MonoTime,
        decisions: &mut Vec<Decision>,
    ) {
        let mut done: Vec<usize> = Vec::new();
        while let Some(line) = self.next_line(class, &done) {
            if class < Class::Batch && self.is_turn_of_aged(now) {
                self.start_aged(blocked, now, decisions);
            }
            match self.look_at(class, line, blocked, now, decisions) {
                // Lines may have moved: a line that ran empty is gone.
                Looked::Started if self.lines[class as usize].lines.len() <= line => done.clear(),
                Looked::Started => {}
                Looked::Nothing => done.push(line),
            }
        }
    }

    /// The line whose team uses the least part of its quota, of those not done yet.
    fn next_line(&self, class: Class, done: &[usize]) -> Option<usize> {
        let lines = &self.lines[class as usize].lines;
        let capacity = self.pool.capacity().plus(&self.elsewhere.capacity);
        (0..lines.len()).filter(|line| !done.contains(line)).min_by_key(|&line| {
            let team = &lines[line].team;
            let used = self.pool.team_given(team).plus(&self.elsewhere.given(team));
            (self.shares.rank(team, &used, &capacity), team)
        })
    }

    /// Starts the first request of a line that can be placed.
    fn look_at(
        &mut self,
        class: Class,
        line: usize,
        blocked: &mut Blocked,
        now: MonoTime,
        decisions: &mut Vec<Decision>,
    ) -> Looked {
        let line = &self.lines[class as usize].lines[line];
        let live = line.iter().filter(|(number, task)| self.is_waiting(*number, task));
        let tasks: Vec<TaskId> = live.map(|(_, task)| *task).take(MAX_LOOKED_AT).collect();
        for task in tasks {
            let request = &self.waiting[&task];
            if blocked.covers(request) || !self.may_take(request) {
                continue;
            }
            match self.start(&task, now, false, decisions) {
                Ok(()) => {
                    self.count_overtaken(blocked);
                    return Looked::Started;
                }
                Err(NoPlace::NeverFits) => self.refuse_unfit(&task, decisions),
                Err(_) => {
                    let request = &self.waiting[&task];
                    blocked.add(task, request);
                    self.make_room(&task, blocked, now, decisions);
                }
            }
        }
        Looked::Nothing
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
        if may_preempt && !blocked.no_victims && self.is_slow() {
            let rules = self.policy.preemption();
            let chosen = self.pool.preempt_for(&need, &meta, &rules, now);
            blocked.no_victims = chosen.is_empty();
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
        let mut heads: Vec<(MonoTime, TaskId)> = self.lines[Class::Batch as usize]
            .lines
            .iter()
            .flat_map(|line| line.heads(|(number, task)| self.is_waiting(*number, task)))
            .map(|(_, task)| (self.waiting[task].since, *task))
            .collect();
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
