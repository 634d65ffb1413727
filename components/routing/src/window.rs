//! The work of one entry that is in flight at an upstream, by the time at which it was sent.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// Duration of one epoch, in milliseconds. The work of an epoch is counted in one slot.
const EPOCH_MILLIS: u64 = 50;
/// Number of slots, and so of epochs that are kept; older work is assumed to be included in every
/// load report.
const SLOTS: usize = 128;
/// Bits of a slot's word that hold its tokens.
const TOKEN_BITS: u32 = 28;
/// Bits of a slot's word that hold its requests; the remaining ones hold its epoch.
const REQUEST_BITS: u32 = 12;
const TOKEN_MASK: u64 = (1 << TOKEN_BITS) - 1;
const REQUEST_MASK: u64 = (1 << REQUEST_BITS) - 1;
/// Covers the remaining bits of the word.
const EPOCH_MASK: u64 = (1 << 24) - 1;

/// A sliding window over the work sent in each of the last epochs.
///
/// Each slot is one word of epoch, requests and tokens, so that a slot is reused and counted in one
/// atomic step.
#[derive(Debug)]
pub(crate) struct Window {
    /// Time at which epoch 1 starts.
    base: Instant,
    slots: Vec<AtomicU64>,
}

/// Requests in flight, and their prompt tokens that are not computed yet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Work {
    pub(crate) requests: u64,
    pub(crate) tokens: u64,
}

impl Window {
    pub(crate) fn new(base: Instant) -> Self {
        Window {
            base,
            slots: (0..SLOTS).map(|_| AtomicU64::new(0)).collect(),
        }
    }

    /// Adds work that was sent at `at`.
    pub(crate) fn add(&self, at: Instant, work: Work) {
        let epoch = self.epoch(at);
        self.update(epoch, |word| match unpack(word) {
            (e, w) if e == epoch & EPOCH_MASK => Some(pack(epoch, w.plus(work))),
            _ => Some(pack(epoch, work)),
        });
    }

    /// Removes work that was sent at `at`, unless its slot has been reused.
    pub(crate) fn remove(&self, at: Instant, work: Work) {
        let epoch = self.epoch(at);
        self.update(epoch, |word| match unpack(word) {
            (e, w) if e == epoch & EPOCH_MASK => Some(pack(epoch, w.minus(work))),
            _ => None,
        });
    }

    /// Returns the work in flight that was sent in the epochs after that of `report` up to that of
    /// `now`. The epoch of `now` is always included.
    pub(crate) fn since(&self, report: Instant, now: Instant) -> Work {
        let last = self.epoch(now);
        let oldest = last.saturating_sub(SLOTS as u64 - 1);
        let first = (self.epoch(report) + 1).clamp(oldest, last);
        (first..=last).fold(Work::default(), |sum, epoch| {
            match unpack(self.slot(epoch).load(Ordering::Relaxed)) {
                (e, work) if e == epoch & EPOCH_MASK => sum.plus(work),
                _ => sum,
            }
        })
    }

    /// Returns the number of the epoch that contains `at`, counted from 1; an unused slot has 0.
    fn epoch(&self, at: Instant) -> u64 {
        let since = at.saturating_duration_since(self.base);
        let millis = since.as_secs() * 1_000 + u64::from(since.subsec_millis());
        millis / EPOCH_MILLIS + 1
    }

    fn slot(&self, epoch: u64) -> &AtomicU64 {
        &self.slots[epoch as usize % SLOTS]
    }

    fn update(&self, epoch: u64, next: impl Fn(u64) -> Option<u64>) {
        let _ = self
            .slot(epoch)
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
    }
}

impl Work {
    fn plus(self, other: Work) -> Work {
        Work {
            requests: self.requests + other.requests,
            tokens: self.tokens + other.tokens,
        }
    }

    fn minus(self, other: Work) -> Work {
        Work {
            requests: self.requests.saturating_sub(other.requests),
            tokens: self.tokens.saturating_sub(other.tokens),
        }
    }
}

fn pack(epoch: u64, work: Work) -> u64 {
    let requests = work.requests.min(REQUEST_MASK) << TOKEN_BITS;
    let tokens = work.tokens.min(TOKEN_MASK);
    (epoch & EPOCH_MASK) << (TOKEN_BITS + REQUEST_BITS) | requests | tokens
}

fn unpack(word: u64) -> (u64, Work) {
    let work = Work {
        requests: word >> TOKEN_BITS & REQUEST_MASK,
        tokens: word & TOKEN_MASK,
    };
    (word >> (TOKEN_BITS + REQUEST_BITS), work)
}
