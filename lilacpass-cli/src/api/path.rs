//! URL paths of the HTTP interface.

use lilacpass_core::ids::JobId;

/// Path for submitting and listing jobs.
pub const JOBS: &str = "/v1/jobs";
/// Path for sending quick requests.
pub const REQUESTS: &str = "/v1/requests";
/// Path for making and listing configuration changes.
pub const CHANGES: &str = "/v1/changes";
/// Path of the current configuration.
pub const INVENTORY: &str = "/v1/inventory";
/// Path of the list of workers.
pub const WORKERS: &str = "/v1/workers";
/// Path of the status summary of an entry instance.
pub const STATUS: &str = "/v1/status";
/// Path of the audit trail.
pub const AUDIT: &str = "/v1/audit";

/// Returns the path of one job.
pub fn job(id: JobId) -> String {
    format!("{JOBS}/{id}")
}

/// Returns the path of a job whose response the server delays until the job has ended or `wait_ms` have passed.
pub fn wait(id: JobId, wait_ms: u64) -> String {
    format!("{JOBS}/{id}?wait_ms={wait_ms}")
}

/// Returns the path of the explanation why a job waits.
pub fn explain(id: JobId) -> String {
    format!("{JOBS}/{id}/explain")
}
