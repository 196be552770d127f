//! What can be asked for over HTTP.

use lilacpass_control::event::Role;

/// One action, named by method and path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// `POST /v1/requests`: a quick request.
    Quick,
    /// `POST /v1/jobs`: accepts a job.
    Submit,
    /// `GET /v1/jobs`: lists jobs.
    Jobs,
    /// `GET /v1/jobs/{id}`: looks at a job; `?wait_ms=N` waits for its end.
    Job,
    /// `DELETE /v1/jobs/{id}`: cancels a job.
    Cancel,
    /// `GET /v1/jobs/{id}/explain`: why does it wait.
    Explain,
    /// `POST /v1/changes`: changes the configuration.
    Change,
    /// `GET /v1/changes`: lists the last changes.
    Changes,
    /// `GET /v1/inventory`: the whole configuration.
    Inventory,
    /// `GET /v1/rules`: its rules alone.
    Rules,
    /// `GET /v1/workers`: lists workers.
    Workers,
    /// `GET /v1/status`: the system at a glance.
    Status,
    /// `GET /v1/audit`: the audit trail.
    Audit,
}

impl Action {
    /// Method and path, for metrics and the audit trail.
    pub fn route(self) -> &'static str {
        match self {
            Self::Quick => "POST /v1/requests",
            Self::Submit => "POST /v1/jobs",
            Self::Jobs => "GET /v1/jobs",
            Self::Job => "GET /v1/jobs/{id}",
            Self::Cancel => "DELETE /v1/jobs/{id}",
            Self::Explain => "GET /v1/jobs/{id}/explain",
            Self::Change => "POST /v1/changes",
            Self::Changes => "GET /v1/changes",
            Self::Inventory => "GET /v1/inventory",
            Self::Rules => "GET /v1/rules",
            Self::Workers => "GET /v1/workers",
            Self::Status => "GET /v1/status",
            Self::Audit => "GET /v1/audit",
        }
    }

    /// Whether it carries a body.
    pub fn has_body(self) -> bool {
        matches!(self, Self::Quick | Self::Submit | Self::Change)
    }

    /// Whether it can have an effect.
    pub fn has_effect(self) -> bool {
        self.has_body() || self == Self::Cancel
    }

    /// Whether it makes sense before a configuration is in force: it shows the state of the
    /// instance, or gives a new cell its first configuration.
    pub fn needs_no_configuration(self) -> bool {
        matches!(self, Self::Change | Self::Changes | Self::Inventory | Self::Rules | Self::Status)
    }

    /// Whether callers of this role may ask for it.
    pub fn allowed_for(self, role: Role) -> bool {
        match role {
            Role::Operator => true,
            Role::ReadOnly => !self.has_effect(),
            Role::Team => matches!(
                self,
                Self::Quick
                    | Self::Submit
                    | Self::Jobs
                    | Self::Job
                    | Self::Cancel
                    | Self::Explain
                    | Self::Status
            ),
        }
    }
}
