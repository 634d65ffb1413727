//! The concurrency limiter of one service: bounds the requests in progress and queues the others
//! fairly.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use super::{Queue, Waiter};
use crate::failure::{Failure, Kind};

/// Weight of a new sample in the moving average of the time for which permits are held, as a
/// divisor: 8 means one eighth.
const MEAN_DIVISOR: u64 = 8;
/// Average before the first sample.
const INITIAL_HELD: Duration = Duration::from_millis(500);

/// Counts the requests in progress for one service, and holds the queue of those that wait.
#[derive(Debug)]
pub struct Limiter {
    limit: AtomicUsize,
    active: AtomicUsize,
    waiting: AtomicUsize,
    mean_held_nanos: AtomicU64,
    queue: Mutex<Queue<oneshot::Sender<Permit>>>,
}

/// The right of one request to be in progress. Dropping it admits the next request in the queue.
#[derive(Debug)]
pub struct Permit {
    limiter: Option<Arc<Limiter>>,
    since: Instant,
}

impl Default for Limiter {
    fn default() -> Self {
        Limiter {
            limit: AtomicUsize::new(usize::MAX),
            active: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            mean_held_nanos: AtomicU64::new(INITIAL_HELD.as_nanos() as u64),
            queue: Mutex::default(),
        }
    }
}

impl Limiter {
    /// Sets how many requests may be in progress, at least 1, and admits those that fit now.
    pub fn set_limit(self: &Arc<Self>, limit: usize) {
        self.limit.store(limit.max(1), Ordering::Release);
        self.admit_waiting();
    }

    /// Returns the number of requests in the queue.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Acquire)
    }

    /// Waits for a permit, at most for `target`.
    ///
    /// # Errors
    /// Returns [`Kind::Overloaded`] at once if the expected wait is longer than `target`, and
    /// otherwise after `target` without a permit.
    pub async fn acquire(
        self: &Arc<Self>,
        waiter: &Waiter,
        target: Duration,
    ) -> Result<Permit, Failure> {
        if self.waiting() == 0 && self.try_acquire() {
            return Ok(self.permit());
        }
        let receiver = self.enqueue(waiter, target)?;
        self.admit_waiting();
        match tokio::time::timeout(target, receiver).await {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(overloaded(self.estimate_wait(waiter))),
        }
    }

    fn enqueue(
        &self,
        waiter: &Waiter,
        target: Duration,
    ) -> Result<oneshot::Receiver<Permit>, Failure> {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let expected = self.estimate_wait_behind(queue.count_ahead(waiter.priority));
        if expected > target {
            return Err(overloaded(expected - target));
        }
        let (sender, receiver) = oneshot::channel();
        queue.push(waiter, sender);
        self.waiting.fetch_add(1, Ordering::AcqRel);
        Ok(receiver)
    }

    fn estimate_wait(&self, waiter: &Waiter) -> Duration {
        let queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        self.estimate_wait_behind(queue.count_ahead(waiter.priority))
    }

    fn estimate_wait_behind(&self, ahead: usize) -> Duration {
        let held = self.mean_held_nanos.load(Ordering::Relaxed);
        let limit = self.limit.load(Ordering::Acquire).max(1) as u64;
        let nanos = (ahead as u64 + 1).saturating_mul(held) / limit;
        Duration::from_nanos(nanos)
    }

    fn try_acquire(&self) -> bool {
        let limit = self.limit.load(Ordering::Acquire);
        let add = |active: usize| (active < limit).then_some(active + 1);
        self.active
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add)
            .is_ok()
    }

    fn permit(self: &Arc<Self>) -> Permit {
        Permit {
            limiter: Some(self.clone()),
            since: Instant::now(),
        }
    }

    /// Hands free permits to the requests at the head of the queue.
    fn admit_waiting(self: &Arc<Self>) {
        while self.waiting() > 0 && self.try_acquire() {
            let next = self.pop();
            match next {
                Some(sender) => {
                    if let Err(mut unclaimed) = sender.send(self.permit()) {
                        // The request no longer waits. Its permit must not admit another request on
                        // drop, because this loop does so.
                        unclaimed.limiter = None;
                        self.active.fetch_sub(1, Ordering::AcqRel);
                    }
                }
                None => {
                    self.active.fetch_sub(1, Ordering::AcqRel);
                    return;
                }
            }
        }
    }

    fn pop(&self) -> Option<oneshot::Sender<Permit>> {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let sender = queue.pop()?;
        self.waiting.fetch_sub(1, Ordering::AcqRel);
        Some(sender)
    }

    fn record_held(&self, held: Duration) {
        let sample = u64::try_from(held.as_nanos()).unwrap_or(u64::MAX);
        let mean = self.mean_held_nanos.load(Ordering::Relaxed);
        let mean = mean - mean / MEAN_DIVISOR + sample / MEAN_DIVISOR;
        self.mean_held_nanos.store(mean, Ordering::Relaxed);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(limiter) = self.limiter.take() {
            limiter.record_held(self.since.elapsed());
            limiter.active.fetch_sub(1, Ordering::AcqRel);
            limiter.admit_waiting();
        }
    }
}

fn overloaded(after: Duration) -> Failure {
    let message = "the service is so loaded that the latency target would be missed";
    Failure::retryable(Kind::Overloaded, message, after)
}
