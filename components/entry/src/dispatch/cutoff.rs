//! The deadline for the first byte of a call, checked directly before each write.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

/// The latest time at which the first byte of a call may be written, and whether one was written.
#[derive(Debug, Default)]
pub struct Cutoff {
    deadline: Option<Instant>,
    written: AtomicBool,
}

impl Cutoff {
    /// Allows the first byte before `deadline`, on the monotonic clock, or at any time if it is
    /// `None`.
    pub fn new(deadline: Option<Instant>) -> Self {
        Cutoff {
            deadline,
            written: AtomicBool::new(false),
        }
    }

    /// Reports whether a byte may be written at `now`. After the first byte all others may be.
    pub fn allows_write(&self, now: Instant) -> bool {
        let in_time = self.deadline.is_none_or(|deadline| now < deadline);
        self.has_written() || in_time
    }

    /// Reports whether a byte was passed to the kernel.
    pub fn has_written(&self) -> bool {
        self.written.load(Ordering::Acquire)
    }

    /// Records that a byte was passed to the kernel.
    pub fn record_write(&self) {
        self.written.store(true, Ordering::Release);
    }
}
