//! Standing work that the configuration lists: submitted, kept to one job each, and removed.

use std::{collections::BTreeMap, time::Duration};

use lilacpass_core::{
    MonoTime,
    ids::{JobId, TeamId},
};
use lilacpass_schema::v1;

use crate::{Control, event::Stream};

/// Origin that the acceptance of a standing job from the configuration names.
const ORIGIN_PREFIX: &str = "standing:";
/// A submission that has not been read back after this time is made again.
const SUBMIT_AGAIN: Duration = Duration::from_secs(5);

/// When jobs of the configuration were last submitted or cancelled from here.
pub(crate) type StandingAsked = BTreeMap<JobId, MonoTime>;

impl Control {
    /// Brings the jobs in the log in line with the standing work of the configuration.
    ///
    /// Work that was removed or changed is cancelled. Its successor is submitted only once every
    /// earlier job of that name has ended, so that two copies never run.
    pub(crate) fn align_standing(&mut self, now: MonoTime) {
        if !self.streams.is_complete(Stream::Jobs) || !self.log_reachable(now) {
            return;
        }
        let configuration = self.config.configuration().clone();
        let wanted: BTreeMap<JobId, &v1::StandingWork> = configuration
            .standing
            .iter()
            .filter_map(|work| Some((self.standing_job(work)?, work)))
            .collect();
        let open = self.standing_open.clone();
        for id in open.keys().filter(|id| !wanted.contains_key(id)) {
            if self.drives(id, now) && self.ask_again(*id, now) {
                self.append_cancel(*id, "configuration", now);
            }
        }
        for (id, work) in wanted {
            let waits = self.settings.guards.standing_successor_waits;
            let name_is_taken = waits && open.values().any(|name| *name == work.name);
            let known = self.jobs.get(&id).is_some();
            if known || name_is_taken || !self.drives(&id, now) || !self.ask_again(id, now) {
                continue;
            }
            self.submit_standing(id, work, now);
        }
    }

    /// Notes a job that was accepted for standing work of the configuration.
    pub(crate) fn note_standing(&mut self, id: JobId) {
        let job = self.jobs.get(&id).filter(|job| job.ended().is_none());
        let name = job.and_then(|job| job.entry().strip_prefix(ORIGIN_PREFIX));
        if let Some(name) = name {
            self.standing_open.insert(id, name.to_owned());
        }
    }

    fn submit_standing(&mut self, id: JobId, work: &v1::StandingWork, now: MonoTime) {
        let Some(mut spec) = work.spec.clone() else { return };
        spec.standing = true;
        spec.tasks = spec.tasks.max(1);
        if spec.class.is_empty() {
            "standing".clone_into(&mut spec.class);
        }
        let accepted = v1::JobAccepted {
            spec: Some(spec),
            body_digest: String::new(),
            entry: format!("{ORIGIN_PREFIX}{}", work.name),
        };
        self.append_job(id, v1::job_record::Body::Accepted(accepted), now);
    }

    /// Whether enough time has passed since this was last asked for.
    fn ask_again(&mut self, id: JobId, now: MonoTime) -> bool {
        let lately = self.standing_asked.get(&id).is_some_and(|at| now.since(*at) < SUBMIT_AGAIN);
        if !lately {
            self.standing_asked.retain(|_, at| now.since(*at) < SUBMIT_AGAIN);
            self.standing_asked.insert(id, now);
        }
        !lately
    }

    /// The job of an entry of standing work; another specification makes another job, and so does
    /// an entry that comes back after its job was cancelled.
    fn standing_job(&self, work: &v1::StandingWork) -> Option<JobId> {
        let spec = work.spec.as_ref()?;
        let team = TeamId::new(&spec.team);
        let id = |round: u32| {
            JobId::derive(&team, &format!("{ORIGIN_PREFIX}{}/{spec:?}/{round}", work.name))
        };
        let is_over = |id: &JobId| self.jobs.get(id).is_some_and(|job| job.ended().is_some());
        (0..).map(id).find(|id| !is_over(id))
    }
}
