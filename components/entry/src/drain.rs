//! The planned stop of the process.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};

/// Phases of a planned stop, in order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, PartialOrd)]
#[repr(u8)]
pub(crate) enum Phase {
    /// No stop has begun.
    Serving,
    /// Reports as not ready, and still serves the requests that the load balancer sends.
    Leaving,
    /// Refuses new requests as not run, and finishes those in progress.
    Finishing,
    /// Hands over the model requests in progress to other entries, and relays their answers.
    Offering,
    /// Ends the model requests that are still in progress.
    Ending,
    /// Answers the calls that still wait for their upstream, before the process ends.
    Closing,
}

/// The phase, and the number of requests in progress.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    phase: AtomicU8,
    in_progress: Arc<AtomicUsize>,
}

/// Counts as a request in progress until dropped, which delays the end of a planned stop.
#[derive(Debug)]
pub(crate) struct Guard {
    count: Arc<AtomicUsize>,
}

impl Drain {
    /// Returns the phase.
    pub(crate) fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Acquire) {
            0 => Phase::Serving,
            1 => Phase::Leaving,
            2 => Phase::Finishing,
            3 => Phase::Offering,
            4 => Phase::Ending,
            _ => Phase::Closing,
        }
    }

    /// Advances to `phase`. An earlier phase is ignored.
    pub(crate) fn advance(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }

    /// Reports whether no stop has begun.
    pub(crate) fn is_serving(&self) -> bool {
        self.phase() == Phase::Serving
    }

    /// Counts a request as in progress until the guard is dropped.
    pub(crate) fn enter(&self) -> Guard {
        self.in_progress.fetch_add(1, Ordering::AcqRel);
        Guard {
            count: self.in_progress.clone(),
        }
    }

    /// Returns the number of requests in progress.
    pub(crate) fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Acquire)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}
