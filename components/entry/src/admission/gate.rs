//! The gate of one service: bounds the work in progress and queues the rest fairly.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use super::{Place, Queue};
use crate::failure::{Failure, Kind};

/// Share of the newest measurement in the mean time that a permit is held, as one part in this.
const MEAN_PARTS: u64 = 8;
/// Held time that is assumed before the first measurement.
const FIRST_HELD: Duration = Duration::from_millis(500);

/// Work in progress and waiting for one service.
#[derive(Debug)]
pub struct Gate {
    limit: AtomicUsize,
    active: AtomicUsize,
    waiting: AtomicUsize,
    mean_held_nanos: AtomicU64,
    queue: Mutex<Queue<oneshot::Sender<Permit>>>,
}

/// The right to be in progress, given to the next in the queue on drop.
#[derive(Debug)]
pub struct Permit {
    gate: Option<Arc<Gate>>,
    since: Instant,
}

impl Default for Gate {
    fn default() -> Self {
        Gate {
            limit: AtomicUsize::new(usize::MAX),
            active: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            mean_held_nanos: AtomicU64::new(FIRST_HELD.as_nanos() as u64),
            queue: Mutex::default(),
        }
    }
}

impl Gate {
    /// Sets how much may be in progress, and lets in what fits now.
    pub fn set_limit(self: &Arc<Self>, limit: usize) {
        self.limit.store(limit.max(1), Ordering::Release);
        self.let_in();
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Acquire)
    }

    /// Waits for a permit, at most for `target`.
    ///
    /// # Errors
    /// Refuses at once what is expected to wait longer than `target`.
    pub async fn enter(
        self: &Arc<Self>,
        place: &Place,
        target: Duration,
    ) -> Result<Permit, Failure> {
        if self.waiting() == 0 && self.occupy() {
            return Ok(self.permit());
        }
        let receiver = self.wait_in_queue(place, target)?;
        self.let_in();
        match tokio::time::timeout(target, receiver).await {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(overloaded(self.expected_wait(place))),
        }
    }

    fn wait_in_queue(
        &self,
        place: &Place,
        target: Duration,
    ) -> Result<oneshot::Receiver<Permit>, Failure> {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let expected = self.wait_behind(queue.ahead_of(place.priority));
        if expected > target {
            return Err(overloaded(expected - target));
        }
        let (sender, receiver) = oneshot::channel();
        queue.push(place, sender);
        self.waiting.fetch_add(1, Ordering::AcqRel);
        Ok(receiver)
    }

    fn expected_wait(&self, place: &Place) -> Duration {
        let queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        self.wait_behind(queue.ahead_of(place.priority))
    }

    fn wait_behind(&self, ahead: usize) -> Duration {
        let held = self.mean_held_nanos.load(Ordering::Relaxed);
        let limit = self.limit.load(Ordering::Acquire).max(1) as u64;
        let rounds = (ahead as u64 + 1).saturating_mul(held) / limit;
        Duration::from_nanos(rounds)
    }

    fn occupy(&self) -> bool {
        let limit = self.limit.load(Ordering::Acquire);
        let add = |active: usize| (active < limit).then_some(active + 1);
        self.active
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add)
            .is_ok()
    }

    fn permit(self: &Arc<Self>) -> Permit {
        Permit {
            gate: Some(self.clone()),
            since: Instant::now(),
        }
    }

    /// Gives free places to those whose turn it is.
    fn let_in(self: &Arc<Self>) {
        while self.waiting() > 0 && self.occupy() {
            let next = self.next();
            match next {
                Some(sender) => {
                    if let Err(mut unwanted) = sender.send(self.permit()) {
                        // The waiter left; its place goes to the next one in this loop.
                        unwanted.gate = None;
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

    fn next(&self) -> Option<oneshot::Sender<Permit>> {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let sender = queue.pop()?;
        self.waiting.fetch_sub(1, Ordering::AcqRel);
        Some(sender)
    }

    fn measured(&self, held: Duration) {
        let sample = u64::try_from(held.as_nanos()).unwrap_or(u64::MAX);
        let mean = self.mean_held_nanos.load(Ordering::Relaxed);
        let mean = mean - mean / MEAN_PARTS + sample / MEAN_PARTS;
        self.mean_held_nanos.store(mean, Ordering::Relaxed);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(gate) = self.gate.take() {
            gate.measured(self.since.elapsed());
            gate.active.fetch_sub(1, Ordering::AcqRel);
            gate.let_in();
        }
    }
}

fn overloaded(after: Duration) -> Failure {
    let message = "the service is so loaded that the latency target would be missed";
    Failure::retry(Kind::Overloaded, message, after)
}
