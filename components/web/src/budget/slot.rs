//! An incomplete body, which may be dropped for others.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

use super::Reservation;

/// Time after its begin from which a body's rate of progress counts, in microseconds.
const RATE_GRACE_US: u64 = 1_000_000;
/// Least rate of progress in bytes a second. A body that falls behind it counts as stalled since then, so
/// that single bytes now and then don't keep its memory.
const MIN_RATE: u64 = 64 * 1_024;

/// What was received of an incomplete body.
#[derive(Debug)]
pub(super) struct Slot {
    id: u64,
    /// Times are in microseconds since the creation of the budget.
    began: u64,
    progress: AtomicU64,
    content: Mutex<Option<Content>>,
    dropped: Notify,
}

/// Received bytes with the reservation of their buffer, which is freed after them.
#[derive(Debug)]
pub(super) struct Content {
    pub(super) bytes: Vec<u8>,
    pub(super) reservation: Reservation,
}

impl AsRef<[u8]> for Content {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Slot {
    pub(super) fn new(id: u64, now: u64, content: Content) -> Slot {
        Slot {
            id,
            began: now,
            progress: AtomicU64::new(now),
            content: Mutex::new(Some(content)),
            dropped: Notify::new(),
        }
    }

    pub(super) fn id(&self) -> u64 {
        self.id
    }

    /// Returns the time until which the body has made progress.
    pub(super) fn progress(&self) -> u64 {
        self.progress.load(Ordering::Relaxed)
    }

    /// Records that `received` bytes have arrived in all.
    pub(super) fn record_progress(&self, received: usize, now: u64) {
        let earned = (received as u64).saturating_mul(1_000_000) / MIN_RATE;
        let in_time = self.began + RATE_GRACE_US + earned;
        self.progress.store(now.min(in_time), Ordering::Relaxed);
    }

    /// Locks the content, which is `None` once it was dropped.
    pub(super) fn content(&self) -> MutexGuard<'_, Option<Content>> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Drops the content, and returns the size of its buffer.
    pub(super) fn drop_content(&self) -> usize {
        let content = self.content().take();
        self.dropped.notify_one();
        content.map_or(0, |content| content.reservation.bytes)
    }

    /// Returns once the content was dropped.
    pub(super) async fn wait_until_dropped(&self) {
        self.dropped.notified().await;
    }
}
