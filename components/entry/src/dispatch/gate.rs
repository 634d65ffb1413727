//! Decides, directly before the first byte is written, whether a call may still go out.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

/// The last check of one dispatch, and the record of whether a byte left.
#[derive(Debug, Default)]
pub struct Gate {
    deadline: Option<Instant>,
    written: AtomicBool,
}

impl Gate {
    /// Lets bytes out until `deadline`, on the monotonic clock.
    pub fn until(deadline: Option<Instant>) -> Self {
        Gate {
            deadline,
            written: AtomicBool::new(false),
        }
    }

    /// Reports whether a byte may be written at `now`; once one was, all others may.
    pub fn is_open(&self, now: Instant) -> bool {
        let in_time = self.deadline.is_none_or(|deadline| now < deadline);
        self.has_written() || in_time
    }

    /// Reports whether a byte was given to the kernel.
    pub fn has_written(&self) -> bool {
        self.written.load(Ordering::Acquire)
    }

    /// Records that a byte was given to the kernel.
    pub fn wrote(&self) {
        self.written.store(true, Ordering::Release);
    }
}
