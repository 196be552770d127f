//! How far one call got.

use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};

use lilacpass_core::MonoTime;

/// How far a call got on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Not handed to a connection yet.
    Waiting,
    /// Handed to a connection; its bytes may have left.
    Handed,
    /// Certain that not all of its bytes left, since the connection gave it back.
    NotSent,
    /// Certain that not all of its bytes left, since the permission lapsed first.
    Lapsed,
}

/// Shared between the one who calls and the connection that carries the call.
#[derive(Debug, Default)]
pub struct CallTrace {
    progress: AtomicU8,
    handed_at_us: AtomicU64,
    bare_status: AtomicBool,
}

impl CallTrace {
    /// How far the call got.
    pub fn progress(&self) -> Progress {
        match self.progress.load(Ordering::Acquire) {
            0 => Progress::Waiting,
            1 => Progress::Handed,
            2 => Progress::NotSent,
            _ => Progress::Lapsed,
        }
    }

    /// When the call was handed to a connection.
    pub fn handed_at(&self) -> Option<MonoTime> {
        let us = self.handed_at_us.load(Ordering::Acquire);
        (us != 0).then_some(MonoTime(us))
    }

    /// Whether the callee answered with a bare status, before any body.
    ///
    /// A status that is made up on this side, or that ends a broken answer, is none.
    pub fn bare_status(&self) -> bool {
        self.bare_status.load(Ordering::Acquire)
    }

    pub(crate) fn set_handed(&self, at: MonoTime) {
        self.handed_at_us.store(at.0.max(1), Ordering::Release);
        self.progress.store(1, Ordering::Release);
    }

    pub(crate) fn set_not_sent(&self) {
        self.progress.store(2, Ordering::Release);
    }

    pub(crate) fn set_lapsed(&self) {
        self.progress.store(3, Ordering::Release);
    }

    pub(crate) fn set_bare_status(&self) {
        self.bare_status.store(true, Ordering::Release);
    }
}
