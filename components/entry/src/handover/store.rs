//! The answers that this entry keeps.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use config::ids::AccountId;
use indexmap::IndexMap;

use super::Record;
use super::kept::Kept;

/// Time for which an answer is kept after its end.
pub(crate) const RETENTION: Duration = Duration::from_secs(300);
/// Most answers kept.
const MAX_ANSWERS: usize = 10_000;
/// Most bytes of answers kept.
const MAX_BYTES: usize = 64 * 1_024 * 1_024;

type Id = (AccountId, CompactString);

/// Answers by account and key. Only requests that are handed over or come back reach it.
#[derive(Debug, Default)]
pub(crate) struct Store {
    answers: Mutex<IndexMap<Id, Arc<Kept>>>,
}

impl Store {
    /// Makes room for an answer, or returns `None` if there is none or the key is taken.
    pub(crate) fn insert(&self, record: &Record) -> Option<Arc<Kept>> {
        let mut answers = self.answers();
        let now = Instant::now();
        answers.retain(|_, kept| !is_over(kept, now));
        let bytes: usize = answers.values().map(|kept| kept.bytes()).sum();
        let id = (record.account.clone(), CompactString::from(record.key()));
        let full = answers.len() >= MAX_ANSWERS || bytes >= MAX_BYTES;
        if full || answers.contains_key(&id) {
            return None;
        }
        let request = record.request.clone();
        let kept = Arc::new(Kept::new(request, record.fingerprint, record.stream));
        answers.insert(id, kept.clone());
        Some(kept)
    }

    /// Returns the answer that is kept under a key.
    pub(crate) fn get(&self, account: &str, key: &str) -> Option<Arc<Kept>> {
        let id = (account.into(), key.into());
        let kept = self.answers().get(&id).cloned();
        kept.filter(|kept| !is_over(kept, Instant::now()))
    }

    fn answers(&self) -> MutexGuard<'_, IndexMap<Id, Arc<Kept>>> {
        self.answers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_over(kept: &Kept, now: Instant) -> bool {
    kept.ended()
        .is_some_and(|end| now.saturating_duration_since(end.at) > RETENTION)
}
