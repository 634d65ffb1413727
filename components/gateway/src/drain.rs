//! Whether the entry takes requests.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// State of the entry that its readiness follows from.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    stopping: AtomicBool,
    in_progress: AtomicUsize,
}

impl Drain {
    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    pub(crate) fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    pub(crate) fn began(&self) {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn ended(&self) {
        self.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}
