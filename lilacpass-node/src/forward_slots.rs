//! Limits how many requests of clients this instance forwards to the leader at the same time.
//!
//! Each of them takes up a connection to the leader. Without a limit, the clients of all instances together could take
//! up all connections that a leader accepts, including those for heartbeats, and the leader would be taken for a failed
//! one.

use std::{cell::RefCell, sync::Arc};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Limit until the leader has stated one, and with leaders of earlier versions, which state none.
const DEFAULT_LIMIT: usize = 16;
/// Share of the connections for other instances that forwarded requests may take up.
const CONNECTION_SHARE: usize = 2;

/// Returns how many requests each of `instances` instances may forward at the same time to a leader that accepts
/// `max_connections` connections of instances. It is a power of two, so that it does not change with each instance that
/// comes or goes.
pub fn limit_for(max_connections: usize, instances: usize) -> usize {
    let each = max_connections / CONNECTION_SHARE / instances.max(1);
    1 << each.max(1).ilog2()
}

/// The requests that this instance may forward at the same time. Waiting requests take turns.
#[derive(Debug)]
pub struct ForwardSlots {
    state: RefCell<State>,
}

#[derive(Debug)]
struct State {
    limit: usize,
    slots: Arc<Semaphore>,
}

impl Default for ForwardSlots {
    fn default() -> Self {
        Self { state: RefCell::new(State::new(DEFAULT_LIMIT)) }
    }
}

impl State {
    fn new(limit: usize) -> Self {
        Self { limit, slots: Arc::new(Semaphore::new(limit)) }
    }
}

impl ForwardSlots {
    /// Adopts the limit that a leader has stated; 0 if it has stated none. Requests that are under way keep their slots
    /// in addition, and those that wait wait for these.
    pub fn set_limit(&self, stated: u32) {
        let limit = if stated == 0 { DEFAULT_LIMIT } else { stated as usize };
        let mut state = self.state.borrow_mut();
        if state.limit != limit {
            log::info!(limit; "limit on forwarded requests changed");
            *state = State::new(limit);
        }
    }

    /// Waits until another request may be forwarded. It may as long as the result is kept.
    pub async fn acquire(&self) -> OwnedSemaphorePermit {
        let slots = self.state.borrow().slots.clone();
        slots.acquire_owned().await.expect("the semaphore is never closed")
    }
}
