//! Bounds on an answer whose end does not come.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use tokio::time::Sleep;

/// Largest plain answer, in bytes.
pub(crate) const MAX_ANSWER_BYTES: u64 = 64 * 1_024 * 1_024;
/// Longest time from the first byte of an event to its last one. Upstreams send an event at once;
/// callers wait longer than this for the next one, so that there is time left to resume a stream.
const EVENT_TIMEOUT: Duration = Duration::from_secs(2);

/// What was received of an answer, and since when an event is incomplete.
#[derive(Default)]
pub(super) struct Bounds {
    bytes: u64,
    event_timer: Option<Pin<Box<Sleep>>>,
    /// When the last bytes were passed on. Until the caller asks for more, the time does not count
    /// as the upstream's.
    paused_at: Option<Instant>,
}

impl Bounds {
    /// Counts bytes of a plain answer, and reports whether it is still within its largest size.
    pub(super) fn count(&mut self, bytes: usize) -> bool {
        self.bytes = self.bytes.saturating_add(bytes as u64);
        self.bytes <= MAX_ANSWER_BYTES
    }

    /// Starts or stops the time of an event.
    pub(super) fn set_within_event(&mut self, is_within_event: bool) {
        match is_within_event {
            false => self.event_timer = None,
            true if self.event_timer.is_none() => {
                self.event_timer = Some(Box::pin(tokio::time::sleep(EVENT_TIMEOUT)));
            }
            true => {}
        }
    }

    /// Notes that bytes are passed on to the caller.
    pub(super) fn pause(&mut self) {
        if self.event_timer.is_some() {
            self.paused_at = Some(Instant::now());
        }
    }

    /// Notes that the caller asks for more bytes.
    pub(super) fn resume(&mut self) {
        let Some(paused_at) = self.paused_at.take() else {
            return;
        };
        if let Some(timer) = &mut self.event_timer {
            let deadline = timer.deadline() + paused_at.elapsed();
            timer.as_mut().reset(deadline);
        }
    }

    /// Reports whether an event is incomplete for too long. Wakes the task once it is.
    pub(super) fn poll_event_timeout(&mut self, cx: &mut Context<'_>) -> Poll<Duration> {
        match &mut self.event_timer {
            Some(timer) => timer.as_mut().poll(cx).map(|()| EVENT_TIMEOUT),
            None => Poll::Pending,
        }
    }
}
