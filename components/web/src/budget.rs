//! Memory that a process has for the bodies that it holds.
//!
//! A reservation counts what a buffer really takes and lives as long as the buffer. When the budget is
//! short, the body in progress that has made none for longest is dropped: one that is received, or one that a
//! peer has stopped reading.

mod delivery;
mod losses;
mod reading;
mod slot;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use prometheus::core::Collector;

pub use delivery::Delivery;
use losses::Losses;
pub use reading::{Reading, Shortage};
use slot::{Held, Progress, Slot};

/// Share of the budget, as a divisor, that only bodies that arrive at once may use. Ordinary small requests
/// find room there while large bodies hold the rest.
const SMALL_SHARE: usize = 8;

/// A budget of bytes; clones share it.
#[derive(Clone, Debug)]
pub struct Budget {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    limit: usize,
    used: AtomicUsize,
    created: Instant,
    /// Number of the next body in progress.
    next: AtomicU64,
    in_progress: Mutex<BTreeMap<u64, Arc<dyn Progress>>>,
    losses: Losses,
}

/// Bytes that are counted until this is dropped.
#[derive(Debug)]
struct Reservation {
    budget: Budget,
    bytes: usize,
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Budget {
        let losses = Losses::new();
        losses.set_limit(limit);
        Budget {
            shared: Arc::new(Shared {
                limit,
                used: AtomicUsize::new(0),
                created: Instant::now(),
                next: AtomicU64::new(0),
                in_progress: Mutex::default(),
                losses,
            }),
        }
    }

    /// Returns the bytes that are reserved now.
    pub fn used(&self) -> usize {
        self.shared.used.load(Ordering::Relaxed)
    }

    /// Returns the number of bodies that were dropped because the budget was short.
    pub fn dropped(&self) -> u64 {
        self.shared.losses.dropped()
    }

    /// Returns the metrics of this budget, to be registered by the process.
    pub fn collectors(&self) -> Vec<Box<dyn Collector>> {
        self.shared.losses.collectors()
    }

    /// Refreshes the gauge of reserved bytes.
    pub fn update_metrics(&self) {
        self.shared.losses.set_used(self.used());
    }

    /// Reserves the bytes of a body that arrived at once.
    fn reserve_small(&self, bytes: usize) -> Option<Reservation> {
        self.reserve(bytes, self.shared.limit, None)
    }

    /// Reserves bytes of the incomplete body `own`, which is not dropped for itself.
    fn reserve_large(&self, bytes: usize, own: Option<u64>) -> Option<Reservation> {
        let ceiling = self.shared.limit - self.shared.limit / SMALL_SHARE;
        self.reserve(bytes, ceiling, own)
    }

    /// Reserves bytes, and drops other bodies in progress for them. Returns `None` if none is left, or if
    /// `own` is the next to be dropped.
    fn reserve(&self, bytes: usize, ceiling: usize, own: Option<u64>) -> Option<Reservation> {
        let used = &self.shared.used;
        let add = |used: usize| Some(used + bytes).filter(|sum| *sum <= ceiling);
        while used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .is_err()
        {
            let stalled = match bytes <= ceiling {
                true => self.take_most_stalled(own),
                false => None,
            };
            let Some(stalled) = stalled else {
                self.shared.losses.record_refused(self);
                return None;
            };
            let (bytes, progress) = (stalled.drop_content(), stalled.progress());
            let stalled_for = self.now().saturating_sub(progress);
            self.shared.losses.record_dropped(self, bytes, stalled_for);
        }
        Some(Reservation {
            budget: self.clone(),
            bytes,
        })
    }

    /// Removes and returns the body without progress for longest, unless it is `own`.
    fn take_most_stalled(&self, own: Option<u64>) -> Option<Arc<dyn Progress>> {
        let now = self.now();
        let mut in_progress = self.in_progress();
        let bodies = in_progress.values();
        let droppable = bodies.filter(|body| body.may_be_dropped(now));
        let stalled = droppable.min_by_key(|body| body.progress())?.id();
        match own {
            Some(own) if own == stalled => None,
            _ => in_progress.remove(&stalled),
        }
    }

    /// Lets a body be dropped for others until [`Budget::end`].
    fn begin<C: Held + 'static>(&self, content: C) -> Arc<Slot<C>> {
        let id = self.shared.next.fetch_add(1, Ordering::Relaxed);
        let slot = Arc::new(Slot::new(id, self.now(), content));
        self.in_progress().insert(id, slot.clone());
        slot
    }

    /// Ends the progress of a body.
    fn end(&self, id: u64) {
        self.in_progress().remove(&id);
    }

    fn in_progress(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<dyn Progress>>> {
        let in_progress = self.shared.in_progress.lock();
        in_progress.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the creation of the budget, in microseconds.
    fn now(&self) -> u64 {
        u64::try_from(self.shared.created.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let used = &self.budget.shared.used;
        used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
