//! Job ids and other words as parts of a path.

use lilacpass_core::ids::JobId;

/// Path of the jobs.
pub const JOBS: &str = "/v1/jobs";
/// Path of the quick requests.
pub const REQUESTS: &str = "/v1/requests";
/// Path of the changes of the configuration.
pub const CHANGES: &str = "/v1/changes";
/// Path of the configuration in force.
pub const INVENTORY: &str = "/v1/inventory";
/// Path of the workers.
pub const WORKERS: &str = "/v1/workers";
/// Path of the state at a glance.
pub const STATUS: &str = "/v1/status";
/// Path of the audit trail.
pub const AUDIT: &str = "/v1/audit";

/// Path of one job.
pub fn job(id: JobId) -> String {
    format!("{JOBS}/{id}")
}

/// Path that answers once the job has ended or `wait_ms` have passed.
pub fn wait(id: JobId, wait_ms: u64) -> String {
    format!("{JOBS}/{id}?wait_ms={wait_ms}")
}

/// Path of the reason why a job waits.
pub fn explain(id: JobId) -> String {
    format!("{JOBS}/{id}/explain")
}
