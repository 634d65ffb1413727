//! Allowance of client accounts at this entry.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use config::ids::AccountId;
use indexmap::IndexMap;
use limits::{Decision, Policy, Report, Share};
use wire::{Answer, Body};

use super::Shared;

/// Longest wait for the leader's answer, after which the entry decides by itself.
const LIMIT: Duration = Duration::from_millis(300);
/// Part of an account's limit that an entry takes for its own while it knows none.
const UNKNOWN_PART: f64 = 0.1;
/// Accounts kept at one time.
const MAX_ACCOUNTS: usize = 10_000;

/// Shares by account. The outer lock is held for a look only; the inner one also while the leader
/// is asked, so that requests which come meanwhile wait for the same batch.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    shares: Mutex<IndexMap<AccountId, Arc<tokio::sync::Mutex<Share>>>>,
}

impl Shares {
    fn of(&self, account: &AccountId) -> Option<Arc<tokio::sync::Mutex<Share>>> {
        let mut shares = self.shares.lock().unwrap_or_else(PoisonError::into_inner);
        match shares.get(account) {
            Some(share) => Some(share.clone()),
            None if shares.len() >= MAX_ACCOUNTS => None,
            None => Some(shares.entry(account.clone()).or_default().clone()),
        }
    }
}

impl Shared {
    /// Decides on a request of `account`, after asking the leader where that is needed.
    pub(crate) async fn allow(&self, account: &AccountId, units: f64) -> Decision {
        let pause = Policy::default().pause;
        let refused = Decision::Refused { retry_after: pause };
        let Some(share) = self.allowance.of(account) else {
            return refused;
        };
        let mut share = share.lock().await;
        let now = Instant::now();
        match share.decide(units, now) {
            Decision::Ask => {}
            decision => return decision,
        }
        let report = Report {
            account: account.clone(),
            unspent: share.take_unspent(now),
            wanted: units,
        };
        let request = self.request(Body::Allow(report));
        match self.links.call(request, LIMIT).await {
            Ok(Answer::Grant(grant)) => share.granted(grant, now),
            _ => share.unanswered(self.unknown_part(account), pause, Instant::now()),
        }
        match share.decide(units, Instant::now()) {
            Decision::Ask => refused,
            decision => decision,
        }
    }

    fn unknown_part(&self, account: &AccountId) -> f64 {
        let view = self.view.load();
        let account = view
            .config
            .as_ref()
            .and_then(|c| c.text.accounts.get(account));
        account.map_or(0.0, |account| account.requests_per_second * UNKNOWN_PART)
    }
}
