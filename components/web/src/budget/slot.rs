//! A body in progress, which may be dropped for others.

use std::fmt::Debug;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use tokio::sync::Notify;

use super::Reservation;

/// Time after its begin from which a body's rate of progress counts, in microseconds.
const RATE_GRACE_US: u64 = 1_000_000;
/// Least rate of progress in bytes a second. A body that falls behind it counts as stalled since then, so
/// that single bytes now and then don't keep its memory.
const MIN_RATE: u64 = 64 * 1_024;

/// Time without progress after which a complete body may be dropped while it is sent, in microseconds. A peer
/// that reads leaves less between two parts.
const SEND_STALL_US: u64 = 1_000_000;

/// A body in progress, whatever it consists of.
pub(super) trait Progress: Debug + Send + Sync {
    fn id(&self) -> u64;

    /// Returns the time until which the body has made progress.
    fn progress(&self) -> u64;

    /// Reports whether the body may be dropped at `now`.
    fn may_be_dropped(&self, now: u64) -> bool;

    /// Drops the content, and returns the size of its buffer.
    fn drop_content(&self) -> usize;
}

/// Content of a body in progress.
pub(super) trait Held: Debug + Send {
    /// Time without progress after which the content may be dropped, in microseconds.
    const STALL_US: u64;

    /// Returns the size of the buffer, in bytes.
    fn size(&self) -> usize;
}

/// A body in progress. `content` is `None` once it was dropped.
#[derive(Debug)]
pub(super) struct Slot<C> {
    id: u64,
    /// Times are in microseconds since the creation of the budget.
    began: u64,
    progress: AtomicU64,
    content: Mutex<Option<C>>,
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

impl Held for Content {
    const STALL_US: u64 = 0;

    fn size(&self) -> usize {
        self.reservation.bytes
    }
}

/// A complete body that is sent; its owner holds its reservation.
impl Held for Bytes {
    const STALL_US: u64 = SEND_STALL_US;

    fn size(&self) -> usize {
        self.len()
    }
}

impl<C: Held> Progress for Slot<C> {
    fn id(&self) -> u64 {
        self.id
    }

    fn progress(&self) -> u64 {
        self.progress.load(Ordering::Relaxed)
    }

    fn may_be_dropped(&self, now: u64) -> bool {
        now.saturating_sub(self.progress()) >= C::STALL_US
    }

    fn drop_content(&self) -> usize {
        let content = self.content().take();
        self.dropped.notify_one();
        content.map_or(0, |content| content.size())
    }
}

impl<C: Held> Slot<C> {
    pub(super) fn new(id: u64, now: u64, content: C) -> Slot<C> {
        Slot {
            id,
            began: now,
            progress: AtomicU64::new(now),
            content: Mutex::new(Some(content)),
            dropped: Notify::new(),
        }
    }

    /// Records that `bytes` bytes have arrived, or were sent, in all.
    pub(super) fn record_progress(&self, bytes: usize, now: u64) {
        let earned = (bytes as u64).saturating_mul(1_000_000) / MIN_RATE;
        let in_time = self.began + RATE_GRACE_US + earned;
        self.progress.store(now.min(in_time), Ordering::Relaxed);
    }

    /// Locks the content, which is `None` once it was dropped.
    pub(super) fn content(&self) -> MutexGuard<'_, Option<C>> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns once the content was dropped.
    pub(super) async fn wait_until_dropped(&self) {
        self.dropped.notified().await;
    }
}
