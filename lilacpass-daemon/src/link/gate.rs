//! The last check of the clock before bytes go to the kernel.

use std::{
    io,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    task::Waker,
};

use lilacpass_core::MonoTime;

use crate::clock::Clock;

/// Calls of one connection whose bytes may be on their way through the HTTP/2 layer, each with
/// the end of its permission.
///
/// Guards against a pause of this process between the decision to start a task and the write of
/// its bytes. The lease may have ended meanwhile and another entry instance may have given away
/// the same room. It would show as a start that arrives late. Each write to the socket reads the
/// clock first and fails, together with the connection, when one of these permissions has lapsed;
/// so no byte of such a call reaches the kernel.
///
/// A call counts from the moment its message leaves the body until two flushes after the body is
/// done with. One is not enough: it may end a round of writing that began before the message was
/// queued.
#[derive(Debug)]
pub struct Gate {
    clock: Clock,
    // Number of entries, to leave the lock alone where there are none.
    open: AtomicUsize,
    entries: Mutex<Vec<Entry>>,
    next_id: AtomicU64,
    waker: Mutex<Option<Waker>>,
}

#[derive(Debug)]
struct Entry {
    id: u64,
    not_after: MonoTime,
    stage: Stage,
}

/// Where the bytes of a call are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Leaving the body.
    Body,
    /// All in the HTTP/2 layer.
    Queued,
    /// There since before the last flush.
    FlushedOnce,
}

impl Gate {
    /// A gate without entries.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            open: AtomicUsize::new(0),
            entries: Mutex::default(),
            next_id: AtomicU64::new(0),
            waker: Mutex::default(),
        }
    }

    /// A ticket for a call whose bytes must not leave after `not_after`.
    pub fn ticket(self: &Arc<Self>, not_after: MonoTime) -> Ticket {
        Ticket { gate: self.clone(), not_after, id: None }
    }

    /// Checks all entries against the clock; called right before each write.
    ///
    /// # Errors
    ///
    /// The permission of at least one call has lapsed.
    pub fn check(&self) -> io::Result<()> {
        if self.is_empty() {
            return Ok(());
        }
        let entries = self.entries();
        let now = self.clock.now();
        if entries.iter().all(|entry| now <= entry.not_after) {
            return Ok(());
        }
        Err(io::Error::new(io::ErrorKind::ConnectionAborted, "permission to send has lapsed"))
    }

    /// Notes a complete flush. Gives whether another one is wanted soon, so that a call does not
    /// count for longer than its bytes take.
    pub fn flushed(&self) -> bool {
        if self.is_empty() {
            return false;
        }
        let mut entries = self.entries();
        entries.retain(|entry| entry.stage != Stage::FlushedOnce);
        let queued = entries.iter_mut().filter(|entry| entry.stage == Stage::Queued);
        let waiting = queued.map(|entry| entry.stage = Stage::FlushedOnce).count();
        self.open.store(entries.len(), Ordering::Release);
        waiting > 0
    }

    /// Remembers how to wake the task that drives the connection.
    pub fn set_waker(&self, waker: &Waker) {
        let mut current = self.waker.lock().unwrap_or_else(PoisonError::into_inner);
        match &mut *current {
            Some(current) => current.clone_from(waker),
            None => *current = Some(waker.clone()),
        }
    }

    /// Wakes the task that drives the connection; it flushes whenever it runs.
    pub fn wake(&self) {
        let waker = self.waker.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    fn is_empty(&self) -> bool {
        self.open.load(Ordering::Acquire) == 0
    }

    fn entries(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn enter(&self, not_after: MonoTime) -> u64 {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let mut entries = self.entries();
        entries.push(Entry { id, not_after, stage: Stage::Body });
        self.open.store(entries.len(), Ordering::Release);
        id
    }

    fn queued(&self, id: u64) {
        let mut entries = self.entries();
        let own = entries.iter_mut().filter(|entry| entry.id == id);
        own.for_each(|entry| entry.stage = Stage::Queued);
    }
}

/// The permission of one call. Dropping it says that all of its bytes are in the HTTP/2 layer, or
/// never will be.
#[derive(Debug)]
pub struct Ticket {
    gate: Arc<Gate>,
    not_after: MonoTime,
    id: Option<u64>,
}

impl Ticket {
    /// Asks to let bytes of the call out of its body. Gives false where the permission has lapsed;
    /// none may leave then.
    pub fn let_out(&mut self) -> bool {
        if self.gate.clock.now() > self.not_after {
            return false;
        }
        if self.id.is_none() {
            self.id = Some(self.gate.enter(self.not_after));
        }
        true
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.gate.queued(id);
            // The bytes may have been flushed already, before this drop; a connection that is idle
            // from now on would keep the entry until its next write and fail then.
            self.gate.wake();
        }
    }
}
