//! What one client account uses of its limits in this process.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use compact_str::format_compact;
use config::text::Account;

use super::Bucket;
use crate::failure::{Failure, Kind};

/// Pause after which a place among the requests in progress may be free.
const BUSY_RETRY: Duration = Duration::from_secs(1);

/// Rates that this process may admit for an account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Requests per second.
    pub requests: f64,
    /// Tokens per second.
    pub tokens: f64,
    /// Requests in progress.
    pub in_progress: u32,
}

impl From<&Account> for Rates {
    fn from(account: &Account) -> Self {
        Rates {
            requests: account.requests_per_second,
            tokens: account.tokens_per_second,
            in_progress: account.max_in_progress,
        }
    }
}

/// Counters of one account.
#[derive(Debug)]
pub struct Usage {
    origin: Instant,
    requests: Bucket,
    tokens: Bucket,
    in_progress: AtomicU32,
}

/// A place among the requests in progress, given back on drop.
#[derive(Debug)]
pub struct InProgress {
    usage: Arc<Usage>,
}

impl Default for Usage {
    fn default() -> Self {
        Usage {
            origin: Instant::now(),
            requests: Bucket::default(),
            tokens: Bucket::default(),
            in_progress: AtomicU32::new(0),
        }
    }
}

impl Usage {
    /// Admits a request of `tokens` tokens at `now`.
    ///
    /// # Errors
    /// Names the limit that is reached and when to come back.
    pub fn admit(
        self: &Arc<Self>,
        rates: Rates,
        tokens: usize,
        now: Instant,
    ) -> Result<InProgress, Failure> {
        let place = self.enter(rates.in_progress)?;
        let at = now.saturating_duration_since(self.origin);
        self.requests
            .take(1.0, rates.requests, at)
            .map_err(|after| limited("requests per second", rates.requests, after))?;
        self.tokens
            .take(tokens as f64, rates.tokens, at)
            .map_err(|after| limited("tokens per second", rates.tokens, after))?;
        Ok(place)
    }

    fn enter(self: &Arc<Self>, limit: u32) -> Result<InProgress, Failure> {
        let add = |count: u32| (count < limit).then_some(count + 1);
        self.in_progress
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add)
            .map(|_| InProgress {
                usage: self.clone(),
            })
            .map_err(|_| limited("requests in progress", f64::from(limit), BUSY_RETRY))
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.usage.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}

fn limited(what: &str, limit: f64, after: Duration) -> Failure {
    let message = format_compact!("the account's limit of {limit} {what} is reached");
    Failure::retry(Kind::Limited, message, after)
}
