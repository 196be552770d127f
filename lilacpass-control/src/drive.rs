//! Driving jobs: one entry instance per job looks for room, writes the attempt and has it started.
//!
//! The driver is the first member in rendezvous order. Two members may both think so for a while;
//! the first valid attempt in the log counts, so that costs time and nothing else.

use std::time::Duration;

use lilacpass_core::{
    MonoTime,
    ids::{AttemptNo, InstanceId, JobId},
};
use lilacpass_decide::WaitingJob;
use lilacpass_schema::v1;

use crate::{
    Control,
    calls::Pending,
    convert, counters,
    event::{CallFailure, PeerCall, PeerReply, Stream},
    history,
    preparing::{Phase, Preparing},
};

/// Jobs whose attempts are prepared at the same time.
const MAX_PREPARING: usize = 64;
/// Deadline of calls to holders.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Shortest pause before room is looked for again.
const LEAST_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause before room is looked for again.
const MOST_BACKOFF: Duration = Duration::from_secs(2);

impl Control {
    /// Whether this instance drives a job now.
    pub(crate) fn drives(&self, job: &JobId, now: MonoTime) -> bool {
        if self.is_leaving() {
            return false;
        }
        let silent = self.settings.silent;
        let own = rendezvous(job, &self.settings.me);
        self.members
            .iter()
            .filter(|(_, peer)| peer.stays(silent, now))
            .all(|(id, _)| rendezvous(job, id) < own)
    }

    /// Queues a job that has come to wait.
    pub(crate) fn queue_job(&mut self, id: JobId, now: MonoTime) {
        let Some(job) = self.jobs.get(&id) else { return };
        let spec = job.spec();
        let waiting = WaitingJob {
            job: id,
            meta: convert::meta(spec),
            each: convert::task_size(spec),
            tasks: convert::task_count(spec),
            since: now,
        };
        let ready_at = job.since() + job.backoff();
        self.queue.push(waiting);
        if !ready_at.reached(now) {
            self.queue.retry_at(&id, ready_at);
        }
    }

    /// Starts to prepare attempts of the jobs whose turn it is.
    pub(crate) fn drive(&mut self, now: MonoTime) {
        if !self.streams.is_complete(Stream::Jobs) || !self.log_reachable(now) || self.is_leaving()
        {
            return;
        }
        let room = MAX_PREPARING.saturating_sub(self.preparing.len());
        if room == 0 {
            return;
        }
        let usage = self.team_usage();
        // A job that another member drives is looked at again after a while: that member may die.
        for id in self.queue.next(&usage, now, room) {
            if self.preparing.contains_key(&id) {
                continue;
            }
            if self.drives(&id, now) {
                self.prepare(id, now);
            } else {
                self.queue.retry_at(&id, now + self.settings.heartbeat);
            }
        }
    }

    fn prepare(&mut self, id: JobId, now: MonoTime) {
        let Some((attempt, spec)) =
            self.jobs.get(&id).and_then(|job| Some((job.next_attempt()?, job.spec().clone())))
        else {
            self.queue.remove(&id);
            return;
        };
        let left = self.holders_for(&spec, now);
        self.last_round += 1;
        let preparing = Preparing {
            attempt,
            round: self.last_round,
            spec,
            placements: Vec::new(),
            phase: Phase::Asking { left },
            give_up_at: now + self.settings.task_hold,
        };
        self.preparing.insert(id, preparing);
        self.ask_next_holder(id, now);
    }

    /// The holders to ask for room: those in the preferred data centre and with the most room first
    /// for a single task; for a gang in the order of their names.
    fn holders_for(&self, spec: &v1::JobSpec, now: MonoTime) -> Vec<InstanceId> {
        let silent = self.settings.silent;
        let preferred = if spec.data_centre.is_empty() {
            self.settings.data_centre.as_str()
        } else {
            &spec.data_centre
        };
        let mut holders: Vec<(bool, u64, InstanceId)> = self
            .members
            .iter()
            .filter(|(_, peer)| peer.is_usable(silent, now))
            .filter_map(|(id, peer)| {
                let free = peer.digest.as_ref()?.free.as_ref()?;
                Some((peer.data_centre.as_str() != preferred, u64::MAX - free.slots, id.clone()))
            })
            .collect();
        if let Some(own) = self.digest(now) {
            let free = own.free.map_or(0, |free| free.slots);
            let far = self.settings.data_centre.as_str() != preferred;
            holders.push((far, u64::MAX - free, self.settings.me.clone()));
        }
        if convert::task_count(spec) > 1 {
            holders.sort_by(|a, b| a.2.cmp(&b.2));
        } else {
            holders.sort();
        }
        holders.reverse();
        holders.into_iter().map(|(_, _, id)| id).collect()
    }

    fn ask_next_holder(&mut self, id: JobId, now: MonoTime) {
        let Some(preparing) = self.preparing.get_mut(&id) else { return };
        let wanted = preparing.missing();
        if wanted.is_empty() {
            self.write_attempt(id, now);
            return;
        }
        let Phase::Asking { left } = &mut preparing.phase else { return };
        let Some(holder) = left.pop() else {
            self.give_up_preparing(id, now);
            return;
        };
        let avoid = self.tries.get(&id).map(|tries| tries.avoid.clone()).unwrap_or_default();
        let request = PeerCall::Hold(v1::HoldRequest {
            job_id: id.to_string(),
            attempt: preparing.attempt.0,
            spec: Some(preparing.spec.clone()),
            indexes: wanted,
            hold_ms: convert::millis(self.settings.task_hold),
            avoid,
        });
        let (attempt, round) = (preparing.attempt, preparing.round);
        let pending = Pending::Hold { job: id, attempt, round, holder: holder.clone() };
        self.call_peer(&holder, request, HOLDER_TIMEOUT, pending);
    }

    /// A holder has answered whether it sets room aside. The answer may come after the preparation
    /// was given up and another one begun; its room is given back then.
    pub(crate) fn hold_done(
        &mut self,
        id: JobId,
        (attempt, round): (AttemptNo, u64),
        holder: &InstanceId,
        result: Result<PeerReply, CallFailure>,
        now: MonoTime,
    ) {
        let under_way =
            self.preparing.get(&id).map(|preparing| (preparing.attempt, preparing.round));
        if under_way != Some((attempt, round)) {
            // A later round of the same attempt may count on the same room.
            if under_way.is_none_or(|(other, _)| other != attempt) {
                self.unhold_at(id, attempt, holder);
            }
            return;
        }
        let Some(preparing) = self.preparing.get_mut(&id) else { return };
        if let Ok(PeerReply::Hold(answer)) = result {
            if let Some(peer) = self.members.get_mut(holder)
                && answer.digest.is_some()
            {
                peer.digest = answer.digest;
                peer.digest_at = now;
            }
            preparing.placements.extend(answer.placements);
            if !answer.reason.is_empty() {
                self.tries.entry(id).or_default().reason = answer.reason;
            }
        }
        self.ask_next_holder(id, now);
    }

    fn unhold_at(&mut self, id: JobId, attempt: AttemptNo, holder: &InstanceId) {
        let unhold = v1::UnholdRequest { job_id: id.to_string(), attempt: attempt.0 };
        self.call_peer(holder, PeerCall::Unhold(unhold), HOLDER_TIMEOUT, Pending::Ignored);
    }

    /// Gives back the room that was set aside for a preparation.
    fn unhold_all(&mut self, id: JobId, preparing: &Preparing) {
        for holder in preparing.holders() {
            self.unhold_at(id, preparing.attempt, &holder);
        }
    }

    /// Not all tasks found room: everything set aside is given back, and the job waits a little.
    /// The pause is random, so that two gangs that stand in each other's way do not do so again.
    fn give_up_preparing(&mut self, id: JobId, now: MonoTime) {
        let Some(preparing) = self.preparing.remove(&id) else { return };
        self.unhold_all(id, &preparing);
        let tries = self.tries.entry(id).or_default();
        tries.failed += 1;
        let most = (LEAST_BACKOFF * 2_u32.saturating_pow(tries.failed.min(5))).min(MOST_BACKOFF);
        let pause = LEAST_BACKOFF + most.mul_f64(self.random_fraction());
        self.queue.retry_at(&id, now + pause);
    }

    fn write_attempt(&mut self, id: JobId, now: MonoTime) {
        let Some(preparing) = self.preparing.get(&id) else { return };
        let body = v1::job_record::Body::Attempt(v1::JobAttempt {
            attempt: preparing.attempt.0,
            driver: self.settings.me.to_string(),
            driver_incarnation: self.settings.incarnation.0,
            placements: preparing.placements.clone(),
        });
        counters::bump(&self.counters.attempts);
        let record_id = self.append_job(id, body, now);
        if let Some(preparing) = self.preparing.get_mut(&id) {
            preparing.phase = Phase::Writing { record_id: record_id.clone() };
        }
        if !self.settings.guards.attempt_read_back {
            self.start_attempt(id);
        }
    }

    /// An attempt was read from the log and counts.
    pub(crate) fn attempt_folded(&mut self, id: JobId, record_id: &str) {
        self.queue.remove(&id);
        let own =
            self.preparing.get_mut(&id).filter(|preparing| preparing.is_written_as(record_id));
        let Some(preparing) = own else {
            self.drop_preparing(id);
            return;
        };
        preparing.phase = Phase::Starting;
        if let Some(tries) = self.tries.get_mut(&id) {
            tries.failed = 0;
        }
        self.start_attempt(id);
    }

    /// Tells the holders of an attempt to start its tasks.
    fn start_attempt(&mut self, id: JobId) {
        let Some(preparing) = self.preparing.get(&id) else { return };
        let checkpoints =
            self.jobs.get(&id).map(|job| job.checkpoints().to_vec()).unwrap_or_default();
        let attempt = preparing.attempt;
        let calls: Vec<(InstanceId, v1::StartHeldRequest)> = preparing
            .holders()
            .into_iter()
            .map(|h| (h.clone(), preparing.start_request(id, &h, &checkpoints)))
            .collect();
        for (holder, request) in calls {
            let pending = Pending::StartHeld { job: id, attempt };
            self.call_peer(&holder, PeerCall::StartHeld(request), HOLDER_TIMEOUT, pending);
        }
    }

    /// Another record made our attempt void.
    pub(crate) fn attempt_void(&mut self, id: JobId, record_id: &str, now: MonoTime) {
        counters::bump(&self.counters.attempts_void);
        let own =
            self.preparing.get(&id).is_some_and(|preparing| preparing.is_written_as(record_id));
        if own {
            self.give_up_preparing(id, now);
        }
    }

    /// Gives back the room of an attempt that is no longer prepared.
    fn drop_preparing(&mut self, id: JobId) {
        let Some(preparing) = self.preparing.remove(&id) else { return };
        self.unhold_all(id, &preparing);
    }

    /// A holder has answered whether it starts its tasks. A refusal is in the log as the end of the
    /// task; a call without an answer is settled by the holder's own report or by its successor.
    pub(crate) fn start_held_done(&mut self, id: JobId, attempt: AttemptNo) {
        // The answers of other holders come when the next attempt may be in preparation already.
        let is_over = |preparing: &Preparing| {
            preparing.attempt == attempt && matches!(preparing.phase, Phase::Starting)
        };
        if self.preparing.get(&id).is_some_and(is_over) {
            self.preparing.remove(&id);
        }
    }

    /// Gives up preparations that take too long, such as while the log is slow.
    pub(crate) fn expire_preparing(&mut self, now: MonoTime) {
        let late: Vec<JobId> = self
            .preparing
            .iter()
            .filter(|(_, preparing)| preparing.give_up_at.reached(now))
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            let written = self.preparing.get(&id).and_then(Preparing::record_id);
            if let Some(record_id) = written {
                // Never sent, or refused: it is taken out. Sent with an unknown outcome: it may
                // still be read, and then the holders refuse it, since the room is given back.
                self.take_unsent(Stream::Jobs, |record| record.record_id == record_id);
            }
            self.give_up_preparing(id, now);
        }
    }

    /// Keeps gangs whole: where one task of an attempt has ended without success, the others stop.
    pub(crate) fn keep_gangs_whole(&mut self, now: MonoTime) {
        let broken: Vec<(JobId, AttemptNo, Vec<InstanceId>)> = self
            .broken
            .iter()
            .filter_map(|job| Some((*job, self.jobs.get(job)?.attempt()?)))
            .map(|(job, attempt)| (job, attempt.number, history::running_holders(attempt)))
            .collect();
        for (job, attempt, holders) in broken {
            if !self.drives(&job, now) {
                continue;
            }
            for holder in holders {
                let request = PeerCall::StopTasks(v1::StopTasksRequest {
                    job_id: job.to_string(),
                    attempt: attempt.0,
                    checkpoint: false,
                    reason: "another task of the gang has ended".to_owned(),
                });
                self.call_peer(&holder, request, HOLDER_TIMEOUT, Pending::Ignored);
            }
        }
    }
}

/// Weight of a member for a job, the same everywhere; the greatest one drives it.
fn rendezvous(job: &JobId, member: &InstanceId) -> u64 {
    lilacpass_core::rendezvous::weight(&job.0.to_le_bytes(), member.as_str())
}
