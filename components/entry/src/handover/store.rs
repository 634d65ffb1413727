//! The buffered answers of this entry.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use config::ids::AccountId;
use indexmap::IndexMap;

use super::Record;
use super::buffer::Buffer;

/// Time for which an answer stays buffered after its end.
pub(crate) const RETENTION: Duration = Duration::from_secs(300);
/// Largest number of buffered answers.
const MAX_ANSWERS: usize = 10_000;
/// Largest total size above which no new answer is buffered, in bytes.
const MAX_TOTAL_BYTES: usize = 64 * 1_024 * 1_024;

type Key = (AccountId, CompactString);

/// Buffered answers by account and key. Only requests with an idempotency key, or that are
/// handed over, access it.
#[derive(Debug)]
pub(crate) struct Store {
    /// Total size above which no new answer is buffered, in bytes.
    max_total_bytes: usize,
    buffers: Mutex<IndexMap<Key, Arc<Buffer>>>,
}

impl Store {
    /// Creates a store on a machine that has `memory` bytes for answers.
    pub(crate) fn new(memory: usize) -> Store {
        Store {
            max_total_bytes: memory.min(MAX_TOTAL_BYTES),
            buffers: Mutex::default(),
        }
    }

    /// Creates a buffer for an answer. Returns `None` if the store is full or the key is in use.
    pub(crate) fn insert(&self, record: &Record) -> Option<Arc<Buffer>> {
        let mut buffers = self.buffers();
        let now = Instant::now();
        buffers.retain(|_, buffer| !is_expired(buffer, now));
        let bytes: usize = buffers.values().map(|buffer| buffer.len_bytes()).sum();
        let key = (record.account.clone(), CompactString::from(record.key()));
        let full = buffers.len() >= MAX_ANSWERS || bytes >= self.max_total_bytes;
        if full || buffers.contains_key(&key) {
            return None;
        }
        let request = record.request.clone();
        let buffer = Arc::new(Buffer::new(request, record.fingerprint, record.stream));
        buffers.insert(key, buffer.clone());
        Some(buffer)
    }

    /// Returns the answer that is buffered under a key.
    pub(crate) fn get(&self, account: &str, key: &str) -> Option<Arc<Buffer>> {
        let key = (account.into(), key.into());
        let buffer = self.buffers().get(&key).cloned();
        buffer.filter(|buffer| !is_expired(buffer, Instant::now()))
    }

    fn buffers(&self) -> MutexGuard<'_, IndexMap<Key, Arc<Buffer>>> {
        self.buffers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_expired(buffer: &Buffer, now: Instant) -> bool {
    buffer
        .end_state()
        .is_some_and(|end| now.saturating_duration_since(end.at) > RETENTION)
}
