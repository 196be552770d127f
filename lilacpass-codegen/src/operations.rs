//! What the HTTP interface offers: each operation with its bodies, parameters, roles and problems.

/// One method on one path.
pub(crate) struct Operation {
    /// Method of HTTP, in lower case.
    pub(crate) method: &'static str,
    /// Path, with its parameters in braces.
    pub(crate) path: &'static str,
    /// Name for generated clients.
    pub(crate) id: &'static str,
    /// What it does, in a line.
    pub(crate) summary: &'static str,
    /// Roles of tokens that may ask for it.
    pub(crate) roles: &'static [&'static str],
    /// Its parameters, by their names in [`crate::openapi`].
    pub(crate) parameters: &'static [&'static str],
    /// Message that it takes as body.
    pub(crate) body: Option<&'static str>,
    /// Status of its answer.
    pub(crate) status: u16,
    /// Message that it answers with.
    pub(crate) answer: &'static str,
    /// Statuses of its problems beside those that each operation has.
    pub(crate) problems: &'static [u16],
}

/// All roles of tokens.
pub(crate) const ALL_ROLES: &[&str] = &["operator", "team", "read-only"];
const WORK_ROLES: &[&str] = &["operator", "team"];
const LOOK_ROLES: &[&str] = &["operator", "read-only"];

const NONE: Operation = Operation {
    method: "get",
    path: "",
    id: "",
    summary: "",
    roles: ALL_ROLES,
    parameters: &[],
    body: None,
    status: 200,
    answer: "",
    problems: &[],
};

/// All operations that take and give messages.
pub(crate) const OPERATIONS: &[Operation] = &[
    Operation {
        method: "post",
        path: "/v1/requests",
        id: "sendRequest",
        summary: "Runs a quick request and answers with its result.",
        roles: WORK_ROLES,
        parameters: &["Idempotency-Key", "Deadline-Ms"],
        body: Some("JobSpec"),
        answer: "QuickAnswer",
        problems: &[408, 409, 413, 422, 502],
        ..NONE
    },
    Operation {
        method: "post",
        path: "/v1/jobs",
        id: "submitJob",
        summary: "Accepts a job; answered once it is certain to be kept.",
        roles: WORK_ROLES,
        parameters: &["Idempotency-Key"],
        body: Some("JobSpec"),
        status: 202,
        answer: "JobView",
        problems: &[408, 409, 413, 422],
    },
    Operation {
        path: "/v1/jobs",
        id: "listJobs",
        summary: "Lists the jobs that the caller may see.",
        answer: "JobList",
        ..NONE
    },
    Operation {
        path: "/v1/jobs/{id}",
        id: "getJob",
        summary: "Shows a job, or waits for its end.",
        parameters: &["id", "wait_ms"],
        answer: "JobView",
        problems: &[404],
        ..NONE
    },
    Operation {
        method: "delete",
        path: "/v1/jobs/{id}",
        id: "cancelJob",
        summary: "Cancels a job; answered once the cancellation is certain to be kept.",
        roles: WORK_ROLES,
        parameters: &["id"],
        answer: "JobView",
        problems: &[404],
        ..NONE
    },
    Operation {
        path: "/v1/jobs/{id}/explain",
        id: "explainJob",
        summary: "Says why a job waits and what would end the wait.",
        parameters: &["id"],
        answer: "Explanation",
        problems: &[404],
        ..NONE
    },
    Operation {
        method: "post",
        path: "/v1/changes",
        id: "changeConfiguration",
        summary: "Changes the configuration, or says what the change would do.",
        roles: &["operator"],
        parameters: &["If-Match"],
        body: Some("ChangeRequest"),
        answer: "ChangeAnswer",
        problems: &[408, 412, 413, 428],
        ..NONE
    },
    Operation {
        path: "/v1/changes",
        id: "listChanges",
        summary: "Lists the last accepted changes of the configuration.",
        roles: LOOK_ROLES,
        answer: "ChangeList",
        ..NONE
    },
    Operation {
        path: "/v1/inventory",
        id: "getInventory",
        summary: "Shows the configuration in force; only operators see the hashes of tokens.",
        roles: LOOK_ROLES,
        answer: "InventoryView",
        ..NONE
    },
    Operation {
        path: "/v1/rules",
        id: "getRules",
        summary: "Shows the rules in force, without the rest of the configuration.",
        roles: LOOK_ROLES,
        answer: "InventoryView",
        ..NONE
    },
    Operation {
        path: "/v1/workers",
        id: "listWorkers",
        summary: "Lists the workers with what they hold.",
        roles: LOOK_ROLES,
        answer: "WorkerList",
        ..NONE
    },
    Operation {
        path: "/v1/status",
        id: "getStatus",
        summary: "Shows the state of the system at a glance.",
        answer: "StatusView",
        ..NONE
    },
    Operation {
        path: "/v1/audit",
        id: "listAudit",
        summary: "Lists the audit trail, newest last.",
        roles: LOOK_ROLES,
        answer: "AuditList",
        ..NONE
    },
];

/// A path for probes: it needs no token, takes nothing and answers with text.
pub(crate) struct Probe {
    /// Path.
    pub(crate) path: &'static str,
    /// Name for generated clients.
    pub(crate) id: &'static str,
    /// What it says, in a line.
    pub(crate) summary: &'static str,
    /// Statuses with their meaning.
    pub(crate) answers: &'static [(u16, &'static str)],
}

/// All paths for probes.
pub(crate) const PROBES: &[Probe] = &[
    Probe {
        path: "/healthz",
        id: "isAlive",
        summary: "Whether the process answers.",
        answers: &[(200, "It does.")],
    },
    Probe {
        path: "/readyz",
        id: "isReady",
        summary: "Whether the instance can take traffic.",
        answers: &[(200, "It can."), (503, "Not now.")],
    },
    Probe {
        path: "/metrics",
        id: "getMetrics",
        summary: "All figures of the instance, in the text format of Prometheus.",
        answers: &[(200, "The figures.")],
    },
];
