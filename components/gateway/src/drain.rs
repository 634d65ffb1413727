//! The planned stop of the entry.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::watch;

/// How much longer than expected an idempotent request may take that is taken late in a stop.
const LATE_REQUEST_MARGIN: u32 = 2;

/// Start of a planned stop, and the number of requests in progress.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    stopping: OnceLock<Instant>,
    in_progress: AtomicUsize,
    /// Whether no request is taken any more.
    closed: AtomicBool,
    /// Whether requests end that wait for an answer.
    ending: watch::Sender<bool>,
}

/// Times of a request that decide whether it is taken during a planned stop.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    pub(crate) arrived: Instant,
    /// Time within which most requests of its kind finish.
    pub(crate) expected: Duration,
    pub(crate) deadline: Instant,
    pub(crate) is_idempotent: bool,
}

/// Times of a planned stop, from its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Schedule {
    /// Time within which the external load balancer notices the stop.
    pub(crate) balancer_lag: Duration,
    /// Time after which requests that still wait for an answer end.
    pub(crate) end: Duration,
}

impl Drain {
    /// Begins the stop; later calls have no effect.
    pub(crate) fn stop(&self, now: Instant) {
        self.stopping.get_or_init(|| now);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Reports whether a request is taken. It always is if no stop has begun. While the load balancer
    /// sends requests, one is taken that is expected to finish in time; later, callers reach other
    /// entries, and one that may run only once is taken if it can't last longer than the process.
    pub(crate) fn takes(&self, request: Timing, schedule: Schedule) -> bool {
        let Some(began) = self.stopping.get() else {
            return true;
        };
        if self.is_closed() {
            return false;
        }
        let end = *began + schedule.end;
        match request.arrived < *began + schedule.balancer_lag {
            true => request.arrived + request.expected <= end,
            false if request.is_idempotent => {
                request.arrived + request.expected * LATE_REQUEST_MARGIN <= end
            }
            false => request.deadline <= end,
        }
    }

    /// Takes no more requests, and reports whether none is in progress. If it returns true, none that
    /// was taken is left: a request counts as in progress before it is taken.
    pub(crate) fn close(&self) -> bool {
        self.closed.store(true, Ordering::SeqCst);
        self.in_progress() == 0
    }

    /// Reports whether no request is taken any more.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Ends the requests that wait for an answer, and takes no more.
    pub(crate) fn end(&self) {
        self.close();
        self.ending.send_replace(true);
    }

    /// Returns once requests end that wait for an answer.
    pub(crate) async fn ended(&self) {
        let mut ending = self.ending.subscribe();
        let _ = ending.wait_for(|ending| *ending).await;
    }

    /// Returns the number of requests in progress.
    pub(crate) fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::SeqCst)
    }

    /// Counts a request as in progress.
    pub(crate) fn enter(&self) {
        self.in_progress.fetch_add(1, Ordering::SeqCst);
    }

    /// Counts a request as finished.
    pub(crate) fn leave(&self) {
        self.in_progress.fetch_sub(1, Ordering::SeqCst);
    }
}
