//! Calls that wait for their answer.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicU64, Ordering};

use indexmap::IndexMap;
use tokio::sync::oneshot;
use wire::{Answer, CallId, Failure};

type Reply = Result<Answer, Failure>;

/// Calls of one connection that wait for their answer.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    next: AtomicU64,
    waiting: Mutex<IndexMap<CallId, oneshot::Sender<Reply>>>,
}

impl Calls {
    pub(crate) fn begin(&self) -> (CallId, oneshot::Receiver<Reply>) {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(id, sender);
        (id, receiver)
    }

    /// Hands an answer to its call; an answer that nobody waits for is dropped.
    pub(crate) fn finish(&self, id: CallId, reply: Reply) {
        let waiting = self.lock().swap_remove(&id);
        if let Some(sender) = waiting {
            let _ = sender.send(reply);
        }
    }

    pub(crate) fn forget(&self, id: CallId) {
        self.lock().swap_remove(&id);
    }

    pub(crate) fn clear(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IndexMap<CallId, oneshot::Sender<Reply>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
