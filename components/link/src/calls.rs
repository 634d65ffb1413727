//! Calls that wait for their answers.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicU64, Ordering};

use indexmap::IndexMap;
use tokio::sync::oneshot;
use wire::{Answer, CallId, Failure};

type Reply = Result<Answer, Failure>;

/// Calls of one connection that wait for their answers.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    next: AtomicU64,
    pending: Mutex<IndexMap<CallId, oneshot::Sender<Reply>>>,
}

impl Calls {
    pub(crate) fn begin(&self) -> (CallId, oneshot::Receiver<Reply>) {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(id, sender);
        (id, receiver)
    }

    /// Passes an answer to its call. An answer to an unknown or cancelled call is dropped.
    pub(crate) fn finish(&self, id: CallId, reply: Reply) {
        let pending = self.lock().swap_remove(&id);
        if let Some(sender) = pending {
            let _ = sender.send(reply);
        }
    }

    pub(crate) fn cancel(&self, id: CallId) {
        self.lock().swap_remove(&id);
    }

    pub(crate) fn clear(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IndexMap<CallId, oneshot::Sender<Reply>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
