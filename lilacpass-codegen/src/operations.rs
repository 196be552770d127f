//! The operations of the HTTP interface with their bodies, parameters, roles and errors.

/// An operation of the interface: one HTTP method on one path.
pub(crate) struct Operation {
    /// HTTP method, in lower case.
    pub(crate) method: &'static str,
    /// Path, with its parameters in braces.
    pub(crate) path: &'static str,
    /// Operation id, from which generated clients derive the names of their functions.
    pub(crate) id: &'static str,
    /// One-line description of the operation.
    pub(crate) summary: &'static str,
    /// Roles of tokens that may call the operation.
    pub(crate) roles: &'static [&'static str],
    /// Names of the parameters, as defined in [`crate::openapi`].
    pub(crate) parameters: &'static [&'static str],
    /// Name of the message in the request body, if there is one.
    pub(crate) body: Option<&'static str>,
    /// Status code of a successful response.
    pub(crate) status: u16,
    /// Name of the message in the body of a successful response.
    pub(crate) response: &'static str,
    /// Error statuses in addition to those that all operations share.
    pub(crate) problems: &'static [u16],
}

/// All roles of tokens.
pub(crate) const ALL_ROLES: &[&str] = &["operator", "team", "read-only"];
/// Roles that may submit and cancel work.
const WORK_ROLES: &[&str] = &["operator", "team"];
/// Roles that may view the state of the whole system.
const VIEW_ROLES: &[&str] = &["operator", "read-only"];

/// Default values of the fields of an operation.
const DEFAULT: Operation = Operation {
    method: "get",
    path: "",
    id: "",
    summary: "",
    roles: ALL_ROLES,
    parameters: &[],
    body: None,
    status: 200,
    response: "",
    problems: &[],
};

/// All operations whose bodies are messages of the schema.
pub(crate) const OPERATIONS: &[Operation] = &[
    Operation {
        method: "post",
        path: "/v1/requests",
        id: "sendRequest",
        summary: "Runs a quick request and returns its result.",
        roles: WORK_ROLES,
        parameters: &["Idempotency-Key", "Deadline-Ms"],
        body: Some("JobSpec"),
        response: "QuickAnswer",
        problems: &[408, 409, 413, 422, 502],
        ..DEFAULT
    },
    Operation {
        method: "post",
        path: "/v1/jobs",
        id: "submitJob",
        summary: "Submits a job; responds once the job is durably stored.",
        roles: WORK_ROLES,
        parameters: &["Idempotency-Key"],
        body: Some("JobSpec"),
        status: 202,
        response: "JobView",
        problems: &[408, 409, 413, 422],
    },
    Operation {
        path: "/v1/jobs",
        id: "listJobs",
        summary: "Lists the jobs that the caller may see.",
        response: "JobList",
        ..DEFAULT
    },
    Operation {
        path: "/v1/jobs/{id}",
        id: "getJob",
        summary: "Shows a job, or waits for its end.",
        parameters: &["id", "wait_ms"],
        response: "JobView",
        problems: &[404],
        ..DEFAULT
    },
    Operation {
        method: "delete",
        path: "/v1/jobs/{id}",
        id: "cancelJob",
        summary: "Cancels a job; responds once the cancellation is durably stored.",
        roles: WORK_ROLES,
        parameters: &["id"],
        response: "JobView",
        problems: &[404],
        ..DEFAULT
    },
    Operation {
        path: "/v1/jobs/{id}/explain",
        id: "explainJob",
        summary: "Explains why a job is waiting and what would end the wait.",
        parameters: &["id"],
        response: "Explanation",
        problems: &[404],
        ..DEFAULT
    },
    Operation {
        method: "post",
        path: "/v1/changes",
        id: "changeConfiguration",
        summary: "Changes the configuration, or describes the effects of a change without applying it.",
        roles: &["operator"],
        parameters: &["If-Match"],
        body: Some("ChangeRequest"),
        response: "ChangeAnswer",
        problems: &[408, 412, 413, 428],
        ..DEFAULT
    },
    Operation {
        path: "/v1/changes",
        id: "listChanges",
        summary: "Lists the most recent accepted changes of the configuration.",
        roles: VIEW_ROLES,
        response: "ChangeList",
        ..DEFAULT
    },
    Operation {
        path: "/v1/inventory",
        id: "getInventory",
        summary: "Shows the current configuration; only operators see the hashes of tokens.",
        roles: VIEW_ROLES,
        response: "InventoryView",
        ..DEFAULT
    },
    Operation {
        path: "/v1/rules",
        id: "getRules",
        summary: "Shows the current rules, without the rest of the configuration.",
        roles: VIEW_ROLES,
        response: "InventoryView",
        ..DEFAULT
    },
    Operation {
        path: "/v1/workers",
        id: "listWorkers",
        summary: "Lists the workers with their current load.",
        roles: VIEW_ROLES,
        response: "WorkerList",
        ..DEFAULT
    },
    Operation {
        path: "/v1/status",
        id: "getStatus",
        summary: "Shows an overview of the state of the system.",
        response: "StatusView",
        ..DEFAULT
    },
    Operation {
        path: "/v1/audit",
        id: "listAudit",
        summary: "Lists the audit trail, newest last.",
        roles: VIEW_ROLES,
        response: "AuditList",
        ..DEFAULT
    },
];

/// A path for health and metrics probes. It requires no token, has no parameters and responds with plain text.
pub(crate) struct Probe {
    /// Path of the probe.
    pub(crate) path: &'static str,
    /// Operation id, from which generated clients derive the names of their functions.
    pub(crate) id: &'static str,
    /// One-line description of the probe.
    pub(crate) summary: &'static str,
    /// Status codes of responses with their meanings.
    pub(crate) responses: &'static [(u16, &'static str)],
}

/// All probes of the interface.
pub(crate) const PROBES: &[Probe] = &[
    Probe {
        path: "/healthz",
        id: "isAlive",
        summary: "Reports whether the process responds.",
        responses: &[(200, "The process responds.")],
    },
    Probe {
        path: "/readyz",
        id: "isReady",
        summary: "Reports whether the instance can serve traffic.",
        responses: &[(200, "The instance is ready."), (503, "The instance is not ready.")],
    },
    Probe {
        path: "/metrics",
        id: "getMetrics",
        summary: "Returns all metrics of the instance in the Prometheus text format.",
        responses: &[(200, "The metrics.")],
    },
];
