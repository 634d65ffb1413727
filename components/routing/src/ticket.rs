//! The work of one request that is counted at its upstream.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::tracker::Tracker;
use crate::window::Work;

/// Counts one request as in flight at its upstream from dispatch to finish.
///
/// Clones share the count. Recording the dispatch, the first token or the finish counts only once,
/// and the finish also removes a prompt without a first token, so that a request that fails early
/// leaves no work counted.
#[derive(Clone, Debug, Default)]
pub struct Ticket {
    inner: Option<Arc<Inner>>,
}

#[derive(Debug)]
struct Inner {
    tracker: Arc<Tracker>,
    uncached_tokens: u64,
    sent_at: std::sync::OnceLock<Instant>,
    computed: AtomicBool,
    finished: AtomicBool,
}

/// All tickets are equal, so that choices are compared by their other fields.
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
                sent_at: std::sync::OnceLock::new(),
                computed: AtomicBool::new(false),
                finished: AtomicBool::new(false),
            })),
        }
    }

    /// Counts the request as sent and returns the tracker of its upstream.
    pub(crate) fn record_dispatch(&self, now: Instant) -> Option<&Tracker> {
        let inner = self.inner.as_deref()?;
        let is_first = inner.sent_at.set(now).is_ok();
        if is_first {
            inner.tracker.in_flight.fetch_add(1, Ordering::Relaxed);
            let tokens = inner.uncached_tokens;
            let work = Work {
                requests: 1,
                tokens,
            };
            inner.tracker.window.add(now, work);
        }
        Some(&inner.tracker)
    }

    /// Counts the prompt as computed and records how much later than expected that was.
    pub(crate) fn record_first_token(&self, elapsed: Duration, expected: Duration) {
        let Some((inner, sent_at)) = self.dispatch() else {
            return;
        };
        inner.release_tokens(sent_at);
        let lateness = elapsed.as_secs_f64() - expected.as_secs_f64();
        inner.tracker.record_lateness(lateness, sent_at + elapsed);
    }

    /// Counts the request as no longer at the upstream.
    pub(crate) fn record_finish(&self) {
        let Some((inner, sent_at)) = self.dispatch() else {
            return;
        };
        inner.release_tokens(sent_at);
        if !inner.finished.swap(true, Ordering::Relaxed) {
            inner.tracker.in_flight.fetch_sub(1, Ordering::Relaxed);
            let work = Work {
                requests: 1,
                tokens: 0,
            };
            inner.tracker.window.remove(sent_at, work);
        }
    }

    /// Returns the shared count and the time of the dispatch, or `None` before the dispatch.
    fn dispatch(&self) -> Option<(&Inner, Instant)> {
        let inner = self.inner.as_deref()?;
        inner.sent_at.get().map(|sent_at| (inner, *sent_at))
    }
}

impl Inner {
    fn release_tokens(&self, sent_at: Instant) {
        if !self.computed.swap(true, Ordering::Relaxed) {
            let tokens = self.uncached_tokens;
            let work = Work {
                requests: 0,
                tokens,
            };
            self.tracker.window.remove(sent_at, work);
        }
    }
}
