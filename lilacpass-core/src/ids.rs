//! Identifier types of instances, workers, jobs, log positions and other things.

use std::{fmt, str::FromStr, sync::Arc};

use crate::error::{self, Error};

/// Maximum length in bytes of the name of an instance, worker, team or similar.
pub const MAX_NAME_LEN: usize = 128;

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name without checking it. The caller must know that it is well formed.
            pub fn new(name: impl AsRef<str>) -> Self {
                Self(Arc::from(name.as_ref()))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(s: &str) -> Result<Self, Error> {
                check_name(stringify!($name), s)?;
                Ok(Self::new(s))
            }
        }
    };
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(s: &str) -> Result<Self, Error> {
                s.parse().map(Self).map_err(|_| error::malformed(stringify!($name), s))
            }
        }
    };
}

name_id! {
    /// An entry instance: one `lilacpassd` process, as named by its settings and the instance list.
    InstanceId
}
name_id! {
    /// A worker, which runs tasks.
    WorkerId
}
name_id! {
    /// A shard: a group of workers, by default those of a rack, that a single entry instance holds at any time.
    ShardId
}
name_id! {
    /// A data centre.
    DataCentreId
}
name_id! {
    /// A rack of workers.
    RackId
}
name_id! {
    /// A team that shares the cell and has its own quota.
    TeamId
}
name_id! {
    /// A service that workers offer, such as checking web pages.
    ServiceId
}
name_id! {
    /// A kind of job within a service. Sizes and run times are learned per kind, from tasks that have run.
    KindId
}
name_id! {
    /// An account of a team, such as one customer. Rules may prefer an account.
    AccountId
}

number_id! {
    /// The incarnation of a process; a restarted process has a greater number than its predecessor.
    Incarnation
}
number_id! {
    /// The epoch of a shard: increases with each valid claim of the shard and serves as fencing token.
    Epoch
}
number_id! {
    /// The offset of a record in a stream of the log service.
    Offset
}
number_id! {
    /// The revision of the configuration: the offset after the last accepted change, or 0 if there is none.
    Revision
}
number_id! {
    /// The number of an attempt to run a job, starting at 1.
    AttemptNo
}
number_id! {
    /// Identifies a request within one process, from its arrival to its response.
    RequestId
}

/// A job, identified by a 128-bit number that is printed as 32 hexadecimal digits.
///
/// The id is derived from the team and the idempotency key, so that two entry instances that receive the same request
/// use the same id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u128);

impl JobId {
    /// Returns the id of the job that `team` submits with the idempotency key `key`.
    pub fn derive(team: &TeamId, key: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(team.as_str().len() as u64).to_le_bytes());
        hasher.update(team.as_str().as_bytes());
        hasher.update(key.as_bytes());
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(u128::from_be_bytes(bytes))
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        if s.len() != 32 {
            return Err(error::malformed("JobId", s));
        }
        u128::from_str_radix(s, 16).map(Self).map_err(|_| error::malformed("JobId", s))
    }
}

/// A task of one attempt of a job, printed as `JOB.ATTEMPT.INDEX`.
///
/// A quick request, which is not recorded in the log, has a random job id, and each of its retries is a new attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The attempt of the job.
    pub attempt: AttemptNo,
    /// The index of the task within the attempt, starting at 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.attempt, self.index)
    }
}

impl FromStr for TaskId {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        let mut parts = s.split('.');
        let (Some(job), Some(attempt), Some(index), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(error::malformed("TaskId", s));
        };
        let index = index.parse().map_err(|_| error::malformed("TaskId", s))?;
        Ok(Self { job: job.parse()?, attempt: attempt.parse()?, index })
    }
}

fn check_name(kind: &'static str, name: &str) -> Result<(), Error> {
    let is_allowed =
        |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/' | ':');
    if name.is_empty() || name.len() > MAX_NAME_LEN || !name.chars().all(is_allowed) {
        return Err(error::malformed(kind, name));
    }
    Ok(())
}
