//! How the memory and the sockets of an instance are shared out, so that callers can't use up what the instance needs
//! itself.
//!
//! docs/CAPACITY.md shows what the shares hold on the deployments, and what is left at twice the size.

use lilacpass_core::size::Bytes;
use lilacpass_platform::{accepted::Capacity, settings::Settings};

/// Memory is shared out in this many parts. Those that are not named below are for the process itself, its workers and
/// its calls.
const MEMORY_PARTS: u64 = 16;
const CALLER_CONNECTION_PARTS: u64 = 3;
const CALLER_BODY_PARTS: u64 = 2;
const PEER_BODY_PARTS: u64 = 1;
const JOB_PARTS: u64 = 6;

/// Sockets are shared out in this many parts. Callers and other instances have one each at most; the other two are for
/// the connections that the instance opens itself.
const SOCKET_PARTS: usize = 4;
/// Number of sockets of a process whose limit is not known: the usual limit of an operating system.
const DEFAULT_MAX_SOCKETS: usize = 1_024;

/// What the platform may use, which checks the readiness once a second and fetches metrics.
pub const PLATFORM: Capacity =
    Capacity { connections: 32, connection_bytes: 2 << 20, body_bytes: 0 };

/// The memory and the sockets of an instance, which it shares out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceShares {
    /// Memory of the process.
    pub memory: Bytes,
    /// Sockets of the process; `None` if their limit is not known.
    pub max_sockets: Option<usize>,
}

impl From<&Settings> for ResourceShares {
    fn from(settings: &Settings) -> Self {
        Self { memory: settings.memory, max_sockets: settings.max_sockets }
    }
}

impl ResourceShares {
    /// What callers may use.
    pub fn callers(&self) -> Capacity {
        Capacity {
            connections: self.max_connections(),
            connection_bytes: self.part(CALLER_CONNECTION_PARTS) as usize,
            body_bytes: self.part(CALLER_BODY_PARTS) as usize,
        }
    }

    /// What other instances may use. Each of them keeps few connections, most of which carry heartbeats only. A leader
    /// that closed these for lack of memory would be taken for a failed one.
    pub fn peers(&self) -> Capacity {
        Capacity {
            connections: self.max_connections(),
            connection_bytes: usize::MAX,
            body_bytes: self.part(PEER_BODY_PARTS) as usize,
        }
    }

    /// Memory that the jobs of a leader may take up.
    pub fn job_bytes(&self) -> u64 {
        self.part(JOB_PARTS)
    }

    fn max_connections(&self) -> usize {
        self.max_sockets.unwrap_or(DEFAULT_MAX_SOCKETS) / SOCKET_PARTS
    }

    fn part(&self, parts: u64) -> u64 {
        self.memory.0 / MEMORY_PARTS * parts
    }
}
