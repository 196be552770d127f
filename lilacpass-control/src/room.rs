//! Room for recorded tasks on held workers: set aside for an attempt, given back.

use std::time::Duration;

use lilacpass_core::{
    MonoTime,
    ids::{AttemptNo, JobId, TaskId, WorkerId},
};
use lilacpass_decide::HoldId;
use lilacpass_schema::v1;

use crate::{Control, calls::PeerOrigin, convert, event::PeerReply};

impl Control {
    /// Sets room aside for tasks of an attempt.
    pub(crate) fn on_hold(&mut self, origin: PeerOrigin, request: &v1::HoldRequest, now: MonoTime) {
        let parsed = request.job_id.parse::<JobId>().ok().zip(request.spec.as_ref());
        let Some((job, spec)) = parsed else {
            self.reply_peer(origin, Err("malformed hold".to_owned()));
            return;
        };
        let id = HoldId { job, attempt: AttemptNo(request.attempt) };
        let placements = self.hold_room(id, spec, request, now);
        let reason = if placements.len() < request.indexes.len() {
            self.no_room_reason(spec)
        } else {
            String::new()
        };
        let answer = v1::HoldAnswer { placements, reason, digest: self.digest(now) };
        self.reply_peer(origin, Ok(PeerReply::Hold(answer)));
    }

    fn hold_room(
        &mut self,
        id: HoldId,
        spec: &v1::JobSpec,
        request: &v1::HoldRequest,
        now: MonoTime,
    ) -> Vec<v1::Placement> {
        if self.is_leaving() {
            return Vec::new();
        }
        let avoid: Vec<WorkerId> =
            request.avoid.iter().map(|name| convert::worker_id(name)).collect();
        let expires = now + Duration::from_millis(request.hold_ms);
        let need = convert::task_size(spec);
        let meta = convert::meta(spec);
        let found =
            self.scheduler.pool.hold(id, &request.indexes, &need, &meta, &avoid, expires, now);
        let placements: Vec<v1::Placement> = found
            .iter()
            .filter_map(|(index, worker)| self.placement(*index, worker, now))
            .collect();
        if placements.len() < found.len() {
            self.scheduler.pool.unhold(&id);
            return Vec::new();
        }
        placements
    }

    /// The placement of a task on a held worker, where recorded tasks may be started there now.
    fn placement(&self, index: u32, worker: &WorkerId, now: MonoTime) -> Option<v1::Placement> {
        let limit = self.start_limit(worker, now).filter(|limit| limit.recorded)?;
        let incarnation = self.held.get(worker)?.incarnation?;
        Some(v1::Placement {
            index,
            worker: worker.to_string(),
            worker_incarnation: incarnation.0,
            epoch: limit.epoch.0,
            holder: self.settings.me.to_string(),
        })
    }

    fn no_room_reason(&self, spec: &v1::JobSpec) -> String {
        let need = convert::task_size(spec);
        let free = self.scheduler.pool.digest().largest;
        format!("needs {need}, most that is free on one worker is {free}")
    }

    /// Gives room back that was set aside.
    pub(crate) fn on_unhold(&mut self, origin: PeerOrigin, request: &v1::UnholdRequest) {
        if let Ok(job) = request.job_id.parse() {
            self.scheduler.pool.unhold(&HoldId { job, attempt: AttemptNo(request.attempt) });
        }
        self.reply_peer(origin, Ok(PeerReply::Unhold));
    }

    /// Whether room is set aside here for a task.
    pub(crate) fn holds_room(&self, task: &TaskId) -> bool {
        self.scheduler.pool.holds(&HoldId::of(task)).any(|(index, _)| index == task.index)
    }
}
