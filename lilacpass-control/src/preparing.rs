//! An attempt that its driver prepares, and what the driver remembers between two tries.

use std::collections::BTreeMap;

use lilacpass_core::{
    MonoTime,
    ids::{AttemptNo, InstanceId, JobId},
};
use lilacpass_schema::v1;

use crate::convert;

/// How far the preparation of an attempt is.
#[derive(Debug)]
pub(crate) enum Phase {
    /// Holders are asked for room, one after the other in the order of their names, so that two
    /// gangs that want the same room meet at the same holder first.
    Asking { left: Vec<InstanceId> },
    /// The attempt's record is on its way into the log.
    Writing { record_id: String },
    /// Holders are told to start.
    Starting,
}

/// An attempt that this instance prepares as driver.
#[derive(Debug)]
pub(crate) struct Preparing {
    pub(crate) attempt: AttemptNo,
    /// Tells this preparation from earlier ones of the same attempt.
    pub(crate) round: u64,
    pub(crate) spec: v1::JobSpec,
    pub(crate) placements: Vec<v1::Placement>,
    pub(crate) phase: Phase,
    pub(crate) give_up_at: MonoTime,
}

/// What a driver remembers of a job between two tries.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tries {
    /// Tries in a row that found no room.
    pub(crate) failed: u32,
    /// Why the last one found none.
    pub(crate) reason: String,
    /// Workers where a task of the job ended without success lately.
    pub(crate) avoid: Vec<String>,
}

impl Tries {
    /// Most workers that are avoided at once; the oldest is forgotten first.
    const MAX_AVOIDED: usize = 4;

    /// Looks elsewhere than on this worker first.
    pub(crate) fn avoid(&mut self, worker: String) {
        self.avoid.retain(|other| *other != worker);
        if self.avoid.len() >= Self::MAX_AVOIDED {
            self.avoid.remove(0);
        }
        self.avoid.push(worker);
    }
}

/// All attempts that this instance prepares.
pub(crate) type PreparingJobs = BTreeMap<JobId, Preparing>;

impl Preparing {
    /// Tasks that no room was found for yet.
    pub(crate) fn missing(&self) -> Vec<u32> {
        let placed =
            |index: &u32| self.placements.iter().any(|placement| placement.index == *index);
        (0..convert::task_count(&self.spec)).filter(|index| !placed(index)).collect()
    }

    /// The holders of its placements, each once.
    pub(crate) fn holders(&self) -> Vec<InstanceId> {
        let mut holders: Vec<InstanceId> = self
            .placements
            .iter()
            .map(|placement| convert::instance_id(&placement.holder))
            .collect();
        holders.sort();
        holders.dedup();
        holders
    }

    /// The id of its record, while that is on its way.
    pub(crate) fn record_id(&self) -> Option<String> {
        match &self.phase {
            Phase::Writing { record_id } => Some(record_id.clone()),
            Phase::Asking { .. } | Phase::Starting => None,
        }
    }

    /// Whether its record has this id.
    pub(crate) fn is_written_as(&self, id: &str) -> bool {
        matches!(&self.phase, Phase::Writing { record_id } if record_id == id)
    }

    /// What one of its holders is told to start.
    pub(crate) fn start_request(
        &self,
        id: JobId,
        holder: &InstanceId,
        checkpoints: &[String],
    ) -> v1::StartHeldRequest {
        let own = |placement: &&v1::Placement| placement.holder == holder.as_str();
        v1::StartHeldRequest {
            job_id: id.to_string(),
            attempt: self.attempt.0,
            spec: Some(self.spec.clone()),
            placements: self.placements.iter().filter(own).cloned().collect(),
            checkpoints: checkpoints.to_vec(),
        }
    }
}
