//! Holds back start orders while the registrations of workers are not known to be current.
//!
//! Load pattern: the store is out for seconds, a worker shrinks meanwhile, and hundreds of starts wait for the store. The
//! first append after the outage lets them all out at once, up to half a second before the next read of the
//! registrations, and the worker starts more than it has capacity for.

use lilacpass_jobs::{TaskName, WorkerName};

use crate::{event::Now, leader::Leader};

/// Maximum age in ms of the last read of the registrations. Reads follow each other every 0.5 s; one from a slow store
/// takes 0.6 s, and one whose response is lost 1 s.
const MAX_AGE_MS: u64 = 2_000;

/// A start order that waits for the next read of the registrations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldStart {
    /// The worker to which the run is assigned.
    pub worker: WorkerName,
    /// The task that is run.
    pub task: TaskName,
    /// Number of the run of the task.
    pub run: u32,
}

/// The time of the last read of the registrations, and the start orders that wait for the next one.
#[derive(Debug, Default)]
pub struct RegistrationAge {
    /// Time in ms on the monotonic clock at which the last successful read was sent; `None` before the first one.
    read_sent_ms: Option<u64>,
    held: Vec<HeldStart>,
}

impl RegistrationAge {
    /// Whether the registrations may be outdated. Before the first read no worker is known that could be.
    pub fn is_outdated(&self, now_ms: u64) -> bool {
        self.read_sent_ms.is_some_and(|sent_ms| now_ms > sent_ms + MAX_AGE_MS)
    }

    /// Whether all registrations have been read once.
    pub fn has_read(&self) -> bool {
        self.read_sent_ms.is_some()
    }

    /// Whether all registrations have been read lately, so that a worker that is not among them is not registered.
    pub fn is_current(&self, now_ms: u64) -> bool {
        self.has_read() && !self.is_outdated(now_ms)
    }

    /// Keeps a start order until the next read.
    pub fn hold(&mut self, start: HeldStart) {
        self.held.push(start);
    }

    /// Records a read that was sent at `sent_ms`. Returns the start orders that waited for it, unless the read itself
    /// took so long that its result may be outdated.
    pub fn record_read(&mut self, sent_ms: u64, now_ms: u64) -> Vec<HeldStart> {
        self.read_sent_ms = self.read_sent_ms.max(Some(sent_ms));
        if self.is_outdated(now_ms) { Vec::new() } else { std::mem::take(&mut self.held) }
    }
}

impl Leader {
    /// Sends the start order of a run that is stored, or holds it until the registrations have been read.
    pub(crate) fn send_or_hold_start(&mut self, start: HeldStart, now: Now) {
        if !self.registration_age.is_outdated(now.steady_ms) {
            return self.send_start(&start.worker, start.task, start.run, now);
        }
        log::info!(
            task:% = start.task, run = start.run, worker:% = start.worker;
            "start waits for the registrations to be read"
        );
        self.registration_age.hold(start);
    }

    /// Processes a read of all registrations: sends the start orders that waited for it.
    pub(crate) fn on_registrations_read(&mut self, sent_ms: u64, now: Now) {
        for start in self.registration_age.record_read(sent_ms, now.steady_ms) {
            self.send_start(&start.worker, start.task, start.run, now);
        }
    }
}
