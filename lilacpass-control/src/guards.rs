//! Switches that take single guards out, for tests that show what each one is there for.

/// Guards of the control state machine, all on by default. For tests only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A task on a silent worker counts as ended only once its lease has certainly lapsed.
    pub lapse_wait: bool,
    /// A start of unknown outcome is settled only by a report that was taken after it could arrive.
    pub settle_after_flight: bool,
    /// A call without an answer may have run.
    pub unanswered_may_have_run: bool,
    /// A result whose length is not the one that the worker names is not passed on.
    pub whole_result: bool,
    /// An attempt is started only once it was read back from the log and counts there.
    pub attempt_read_back: bool,
    /// A worker that is leaving or drained gets nothing new.
    pub leaving: bool,
    /// A planned stop waits for what is in flight.
    pub stop_waits: bool,
    /// A change counts only where it builds on the revision in force.
    pub compare_and_set: bool,
    /// Standing work that was changed starts only once its former job has ended.
    pub standing_successor_waits: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            lapse_wait: true,
            settle_after_flight: true,
            unanswered_may_have_run: true,
            whole_result: true,
            attempt_read_back: true,
            leaving: true,
            stop_waits: true,
            compare_and_set: true,
            standing_successor_waits: true,
        }
    }
}
