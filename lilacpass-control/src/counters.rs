//! Counters of the control state machine, read by the metrics page while control runs.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[doc = $doc:literal])* $name:ident,)*) => {
        /// Counters and gauges, each a plain number.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[doc = $doc])* pub $name: AtomicU64,)*
        }

        impl Counters {
            /// Visits each one with its name, its description and its value.
            pub fn each(&self, mut visit: impl FnMut(&'static str, &'static str, u64)) {
                $(visit(stringify!($name), concat!($($doc),*), self.$name.load(Ordering::Relaxed));)*
            }
        }
    };
}

counters! {
    /// Events that control has handled.
    events,
    /// Quick requests taken from callers.
    quick_requests,
    /// Quick requests answered with a result.
    quick_answered,
    /// Quick requests refused or given up.
    quick_refused,
    /// Attempts of quick requests, first ones included.
    quick_attempts,
    /// Retries of quick requests.
    quick_retries,
    /// Retries that the budget did not allow.
    retries_denied,
    /// Answers that came after their request had ended, dropped.
    late_answers,
    /// Requests forwarded to another entry instance.
    forwarded,
    /// Requests taken from other entry instances.
    forwarded_in,
    /// Tasks started on workers, quick requests included.
    starts,
    /// Starts given up because the permission lapsed before the bytes left.
    permits_lapsed,
    /// Starts whose outcome is not known until the worker reports.
    starts_unsettled,
    /// Tasks of a former holder that were taken over.
    adopted,
    /// Task ends written to the log.
    task_ends,
    /// Tasks whose worker lease lapsed.
    tasks_lapsed,
    /// Standing tasks that ended and were started again.
    standing_restarts,
    /// Attempts of jobs written to the log.
    attempts,
    /// Attempts that another record made void.
    attempts_void,
    /// Records read from the log.
    records_read,
    /// Records that did not decode: damaged, foreign or of a future version.
    records_bad,
    /// Records that the rules made void.
    records_void,
    /// Appends sent to the log.
    appends,
    /// Appends that failed, or whose outcome is not known.
    appends_failed,
    /// Snapshots written.
    snapshots,
    /// Times that records were gone from the log before they were read.
    history_lost,
    /// Streams whose history is lost, with no snapshot to start from, for two minutes or more.
    streams_stranded,
    /// Shards held now.
    shards_held,
    /// Workers that may be given work now.
    workers_serving,
    /// Workers held whose reports fail.
    workers_silent,
    /// Workers in quarantine.
    workers_quarantined,
    /// Peers that answer.
    peers_alive,
    /// Revision of the configuration in force.
    revision,
    /// 1 while the log service answers.
    log_reachable,
    /// Quick requests that wait for a worker.
    queued_urgent,
    /// Jobs that wait.
    jobs_waiting,
    /// Jobs with an active attempt.
    jobs_active,
    /// Standing tasks on held workers whose last heartbeat is older than ten seconds.
    watchers_silent,
    /// Processors given on held workers, in thousandths of a core.
    given_cpu_milli,
    /// Processors free on held workers, in thousandths of a core.
    free_cpu_milli,
    /// Tasks stopped, checkpointed or throttled to make room.
    preemptions,
}

/// Adds one.
pub(crate) fn bump(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Sets a gauge.
pub(crate) fn set(gauge: &AtomicU64, value: u64) {
    gauge.store(value, Ordering::Relaxed);
}
