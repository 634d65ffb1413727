//! The count of one request against its upstream.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::recent::Work;
use crate::tracker::Tracker;

/// Counts one request against its upstream from dispatch to finish.
///
/// Clones share the count, and a second call of the same step changes nothing, so that a
/// request which failed early leaves no work behind.
#[derive(Clone, Debug, Default)]
pub struct Ticket {
    inner: Option<Arc<Inner>>,
}

#[derive(Debug)]
struct Inner {
    tracker: Arc<Tracker>,
    uncached_tokens: u64,
    sent: std::sync::OnceLock<Instant>,
    computed: AtomicBool,
    finished: AtomicBool,
}

impl PartialEq for Ticket {
    fn eq(&self, _: &Ticket) -> bool {
        true
    }
}

impl Ticket {
    pub(crate) fn new(tracker: Arc<Tracker>, uncached_tokens: u64) -> Self {
        Ticket {
            inner: Some(Arc::new(Inner {
                tracker,
                uncached_tokens,
                sent: std::sync::OnceLock::new(),
                computed: AtomicBool::new(false),
                finished: AtomicBool::new(false),
            })),
        }
    }

    /// Counts the request as sent; returns the tracker to which it was counted.
    pub(crate) fn dispatched(&self, now: Instant) -> Option<&Tracker> {
        let inner = self.inner.as_deref()?;
        let first = inner.sent.set(now).is_ok();
        if first {
            inner.tracker.in_flight.fetch_add(1, Ordering::Relaxed);
            let tokens = inner.uncached_tokens;
            let work = Work {
                requests: 1,
                tokens,
            };
            inner.tracker.recent.add(now, work);
        }
        Some(&inner.tracker)
    }

    /// Counts the prompt as computed.
    pub(crate) fn first_token(&self, elapsed: Duration, expected: Duration) {
        let Some((inner, sent)) = self.sent() else {
            return;
        };
        inner.release_tokens(sent);
        let late = elapsed.as_secs_f64() - expected.as_secs_f64();
        inner.tracker.sample_lateness(late, sent + elapsed);
    }

    /// Counts the request as gone.
    pub(crate) fn finished(&self) {
        let Some((inner, sent)) = self.sent() else {
            return;
        };
        inner.release_tokens(sent);
        if !inner.finished.swap(true, Ordering::Relaxed) {
            inner.tracker.in_flight.fetch_sub(1, Ordering::Relaxed);
            let work = Work {
                requests: 1,
                tokens: 0,
            };
            inner.tracker.recent.remove(sent, work);
        }
    }

    fn sent(&self) -> Option<(&Inner, Instant)> {
        let inner = self.inner.as_deref()?;
        inner.sent.get().map(|sent| (inner, *sent))
    }
}

impl Inner {
    fn release_tokens(&self, sent: Instant) {
        if !self.computed.swap(true, Ordering::Relaxed) {
            let tokens = self.uncached_tokens;
            let work = Work {
                requests: 0,
                tokens,
            };
            self.tracker.recent.remove(sent, work);
        }
    }
}
