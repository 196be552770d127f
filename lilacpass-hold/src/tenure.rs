//! The member's own tenure of a shard: what it must know before it gives work, and how it ends.

use std::collections::BTreeMap;

use lilacpass_core::{
    MonoTime, Resources,
    ids::{Epoch, WorkerId},
};

use crate::{options::Guards, share};

/// What a worker reported.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// When the picture was taken, or earlier.
    pub taken_at: MonoTime,
    /// Sum of running tasks that this member did not itself start.
    pub others: Resources,
}

/// How the tenure began, as far as it bears on what may be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The shard was released before, or never held.
    Released,
    /// By a claim without a release.
    Unclean,
    /// From a claimant that was not cleared.
    Inherited,
}

/// A planned end of the tenure: nothing more is given.
#[derive(Clone, Copy, Debug)]
pub struct Ending {
    /// When giving stopped.
    pub since: MonoTime,
    /// When the release was sent last.
    pub sent: Option<MonoTime>,
}

/// A tenure of the member.
#[derive(Clone, Debug)]
pub struct OwnTenure {
    /// Its number, the fencing token of starts.
    pub epoch: Epoch,
    /// How it began.
    pub origin: Origin,
    /// Nothing is given on a worker before a report that was taken at or after this moment.
    pub report_from: MonoTime,
    /// Since when the shard is cleared; a report from then on makes the whole worker usable.
    pub cleared_from: Option<MonoTime>,
    /// The last report of each worker.
    pub reports: BTreeMap<WorkerId, Report>,
    /// Set once the tenure is being ended.
    pub ending: Option<Ending>,
}

impl OwnTenure {
    /// The moment from which a report of the worker is needed, unless there is one.
    pub fn needs_report(&self, worker: &WorkerId, guards: &Guards) -> Option<MonoTime> {
        if self.origin == Origin::Released && !guards.report_after_release {
            return None;
        }
        let taken_at = self.reports.get(worker).map(|r| r.taken_at);
        let wanted = [Some(self.report_from), self.cleared_from];
        wanted.into_iter().flatten().find(|&from| taken_at.is_none_or(|at| at < from))
    }

    /// The most that may be given on the worker in all under a valid lease; nothing while a first
    /// report is missing.
    pub fn share(&self, worker: &WorkerId, has: &Resources, guards: &Guards) -> Option<Resources> {
        if self.origin == Origin::Released && !guards.report_after_release {
            return Some(*has);
        }
        let report = self.reports.get(worker).filter(|r| r.taken_at >= self.report_from)?;
        let whole = self.cleared_from.is_some_and(|from| report.taken_at >= from);
        if whole || !guards.claimed_half {
            return Some(*has);
        }
        match self.origin {
            Origin::Inherited if guards.inherited_total => Some(share::inherited(has)),
            _ => Some(share::claimed(has, &report.others)),
        }
    }

    /// Notes a report; one that is older than the last changes nothing.
    pub fn report(&mut self, worker: &WorkerId, report: Report) {
        let last = self.reports.get(worker);
        if last.is_none_or(|last| last.taken_at <= report.taken_at) {
            self.reports.insert(worker.clone(), report);
        }
    }

    /// Stops giving, for good.
    pub fn end(&mut self, now: MonoTime) {
        self.ending.get_or_insert(Ending { since: now, sent: None });
    }
}
