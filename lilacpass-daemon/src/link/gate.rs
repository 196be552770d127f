//! The last check of the clock before bytes go to the kernel.

use std::{
    io,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
};

use lilacpass_core::MonoTime;

use crate::clock::Clock;

/// Calls of one connection whose bytes may not be with the kernel yet, each with the end of its
/// permission.
///
/// Guards against a pause of this process between the decision to start a task and the write of
/// its bytes. The lease may have ended meanwhile and another entry instance may have given away
/// the same room. It would show as a start that arrives late. Each write to the socket reads the
/// clock first and fails, together with the connection, when one of these permissions has lapsed;
/// so no byte of such a call reaches the kernel.
#[derive(Debug)]
pub struct Gate {
    clock: Clock,
    // Number of entries, to leave the lock alone where there are none.
    open: AtomicUsize,
    entries: Mutex<Vec<Entry>>,
    next_id: AtomicU64,
}

#[derive(Debug)]
struct Entry {
    id: u64,
    not_after: MonoTime,
    // Whether the whole call has been handed to the HTTP/2 layer.
    handed: bool,
}

impl Gate {
    /// A gate without entries.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            open: AtomicUsize::new(0),
            entries: Mutex::default(),
            next_id: AtomicU64::new(0),
        }
    }

    /// Enters a call whose bytes must not leave after `not_after`.
    pub fn enter(self: &Arc<Self>, not_after: MonoTime) -> Ticket {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.push(Entry { id, not_after, handed: false });
        self.open.store(entries.len(), Ordering::Release);
        Ticket { gate: self.clone(), id, not_after }
    }

    /// Checks all entries against the clock; called right before each write.
    ///
    /// # Errors
    ///
    /// The permission of at least one call has lapsed.
    pub fn check(&self) -> io::Result<()> {
        if self.open.load(Ordering::Acquire) == 0 {
            return Ok(());
        }
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        if entries.iter().all(|entry| now <= entry.not_after) {
            return Ok(());
        }
        Err(io::Error::new(io::ErrorKind::ConnectionAborted, "permission to send has lapsed"))
    }

    /// Forgets the calls that were handed over whole; called after each complete flush.
    pub fn flushed(&self) {
        if self.open.load(Ordering::Acquire) == 0 {
            return;
        }
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.retain(|entry| !entry.handed);
        self.open.store(entries.len(), Ordering::Release);
    }

    fn handed(&self, id: u64) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.iter_mut().filter(|entry| entry.id == id).for_each(|entry| entry.handed = true);
    }
}

/// The entry of one call. Dropping it says that all bytes are with the HTTP/2 layer, or never
/// will be.
#[derive(Debug)]
pub struct Ticket {
    gate: Arc<Gate>,
    id: u64,
    not_after: MonoTime,
}

impl Ticket {
    /// Whether the permission has lapsed.
    pub fn has_lapsed(&self) -> bool {
        self.gate.clock.now() > self.not_after
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.gate.handed(self.id);
    }
}
