//! Identifiers of instances, workers, jobs and log positions, each a type of its own.

use std::{fmt, str::FromStr, sync::Arc};

use crate::error::{self, Error};

/// Longest name that is accepted for an instance, worker, team and the like, in bytes.
pub const MAX_NAME_LEN: usize = 128;

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name that is known to be well formed.
            pub fn new(name: impl AsRef<str>) -> Self {
                Self(Arc::from(name.as_ref()))
            }

            /// The name as text.
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
            /// The number that follows this one.
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
    /// A worker: a target instance that runs tasks.
    WorkerId
}
name_id! {
    /// A group of workers that one entry instance holds together, by default a rack.
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
    /// A team that shares the cell, with its quota.
    TeamId
}
name_id! {
    /// A service that workers offer, such as a page check.
    ServiceId
}
name_id! {
    /// A kind of job within a service; sizes and run times are learned per kind.
    KindId
}
name_id! {
    /// An account of a team, such as one customer; rules may prefer it.
    AccountId
}

number_id! {
    /// The start number of a process; a restarted process has a greater one than its predecessor.
    Incarnation
}
number_id! {
    /// The number of a holder's tenure of a shard; grows with each valid claim, used as fencing token.
    Epoch
}
number_id! {
    /// The position of a record in a stream of the log service.
    Offset
}
number_id! {
    /// The revision of the configuration: the offset behind the last change that was accepted, and 0
    /// where there is none.
    Revision
}
number_id! {
    /// The number of an attempt to run a job, from 1.
    AttemptNo
}
number_id! {
    /// A request inside one process, from its arrival to its answer.
    RequestId
}

/// A job, named by a 128-bit number that is printed as 32 hexadecimal digits.
///
/// It is derived from the team and the idempotency key, so that two entry instances
/// that get the same request name the same job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u128);

impl JobId {
    /// The id of the job that `team` submits under idempotency key `key`.
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

/// One task of one attempt of a job; printed as `job.attempt.index`.
///
/// A quick request that is not recorded in the log has a random job id, and a new attempt for each
/// retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The attempt of the job.
    pub attempt: AttemptNo,
    /// The position of the task within the attempt, from 0.
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

fn check_name(what: &'static str, name: &str) -> Result<(), Error> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/' | ':');
    if name.is_empty() || name.len() > MAX_NAME_LEN || !name.chars().all(allowed) {
        return Err(error::malformed(what, name));
    }
    Ok(())
}
