//! How much of its limits one client account uses in this process.
//!
//! The rate limits hold over all entries. Each entry draws a batch of units from the control group
//! and spends it locally. While the control group does not answer, the entry admits its last known
//! share of the limit, or an equal share if it knows none.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use compact_str::format_compact;
use config::ids::AccountId;
use config::text::Account;
use fleet::Control;
use limits::{Decision, Draw, Grant, Limit, Report, Share};

use crate::failure::{Failure, Kind};

/// Suggested pause before a retry when all slots of the account are taken.
const SLOT_RETRY: Duration = Duration::from_secs(1);
/// Pause before the next draw after the control group did not answer.
const DRAW_RETRY: Duration = Duration::from_millis(200);

/// The limits of an account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests per second over all entries.
    pub requests: f64,
    /// Tokens per second over all entries.
    pub tokens: f64,
    /// Requests in progress at the same time in this process.
    pub in_progress: u32,
}

impl From<&Account> for Quota {
    fn from(account: &Account) -> Self {
        Quota {
            requests: account.requests_per_second,
            tokens: account.tokens_per_second,
            in_progress: account.max_in_progress,
        }
    }
}

/// Units drawn for one account, and its requests in progress.
#[derive(Debug)]
pub struct Usage {
    account: AccountId,
    shares: Mutex<Shares>,
    drawing: tokio::sync::Mutex<()>,
    in_progress: AtomicU32,
}

#[derive(Debug, Default)]
struct Shares {
    requests: Share,
    tokens: Share,
}

/// One of the account's requests in progress. Dropping it frees the slot.
#[derive(Debug)]
pub struct Slot {
    usage: Arc<Usage>,
}

/// Whether the request and token limits admit a request.
enum Verdict {
    Admitted,
    NeedsDraw,
    Refused(Limit, Duration),
}

impl Usage {
    /// Creates the usage of `account` without any units.
    pub fn new(account: AccountId) -> Self {
        Usage {
            account,
            shares: Mutex::default(),
            drawing: tokio::sync::Mutex::default(),
            in_progress: AtomicU32::new(0),
        }
    }

    /// Admits a request of `tokens` tokens. `entries` is the number of entries that share the
    /// limits.
    ///
    /// # Errors
    /// Returns [`Kind::RateLimited`] with the limit that is reached and the pause before a retry.
    /// The request limit is named if the units need another draw.
    pub async fn admit<C: Control>(
        self: &Arc<Self>,
        quota: Quota,
        tokens: usize,
        entries: usize,
        control: &C,
    ) -> Result<Slot, Failure> {
        let slot = self.acquire_slot(quota.in_progress)?;
        let tokens = tokens as f64;
        let verdict = self.decide(tokens, Instant::now());
        let verdict = match verdict {
            Verdict::NeedsDraw => self.draw(quota, tokens, entries, control).await,
            verdict => verdict,
        };
        match verdict {
            Verdict::Admitted => Ok(slot),
            Verdict::Refused(limit, after) => Err(limit_failure(limit, quota, after)),
            // The verdict does not tell which limit lacks units; the request limit is named.
            Verdict::NeedsDraw => Err(limit_failure(Limit::Requests, quota, DRAW_RETRY)),
        }
    }

    /// Draws units from the control group, unless another request has drawn enough in the
    /// meantime, and decides.
    async fn draw<C: Control>(
        &self,
        quota: Quota,
        tokens: f64,
        entries: usize,
        control: &C,
    ) -> Verdict {
        let _drawing = self.drawing.lock().await;
        let asked_at = Instant::now();
        match self.decide(tokens, asked_at) {
            Verdict::NeedsDraw => {}
            verdict => return verdict,
        }
        let draws = self.prepare_draws(tokens, asked_at);
        let limits: Vec<Limit> = draws.iter().map(|draw| draw.limit).collect();
        let result = control.draw(draws).await;
        let mut shares = self.shares();
        match result {
            Ok(grants) => {
                for (limit, grant) in limits.into_iter().zip(grants) {
                    shares.accept(limit, grant, asked_at);
                }
            }
            Err(_) => shares.fall_back(quota, entries, asked_at),
        }
        // Decides under the same lock, so that no other request spends the units drawn for this
        // one.
        shares.decide(tokens, Instant::now())
    }

    fn decide(&self, tokens: f64, now: Instant) -> Verdict {
        self.shares().decide(tokens, now)
    }

    /// Returns a draw for each limit whose units do not cover the request, and moves the unspent
    /// units of these limits into the reports of the draws.
    fn prepare_draws(&self, tokens: f64, now: Instant) -> Vec<Draw> {
        let mut shares = self.shares();
        let Shares {
            requests,
            tokens: token_share,
        } = &mut *shares;
        let wants = [
            (Limit::Requests, requests, 1.0),
            (Limit::Tokens, token_share, tokens),
        ];
        let mut draws = Vec::new();
        for (limit, share, wanted) in wants {
            if wanted == 0.0 || share.covers(wanted, now) {
                continue;
            }
            let unspent = share.take_unspent(now);
            let account = self.account.clone();
            let report = Report {
                account,
                unspent,
                wanted,
            };
            draws.push(Draw { limit, report });
        }
        draws
    }

    fn acquire_slot(self: &Arc<Self>, limit: u32) -> Result<Slot, Failure> {
        let add = |count: u32| (count < limit).then_some(count + 1);
        self.in_progress
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add)
            .map(|_| Slot {
                usage: self.clone(),
            })
            .map_err(|_| failure("requests in progress", f64::from(limit), SLOT_RETRY))
    }

    fn shares(&self) -> MutexGuard<'_, Shares> {
        self.shares.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Shares {
    fn decide(&mut self, tokens: f64, now: Instant) -> Verdict {
        match self.requests.decide(1.0, now) {
            Decision::Admitted if tokens == 0.0 => Verdict::Admitted,
            Decision::Admitted => match self.tokens.decide(tokens, now) {
                Decision::Admitted => Verdict::Admitted,
                not_admitted => {
                    self.requests.put_back(1.0);
                    Verdict::new(not_admitted, Limit::Tokens)
                }
            },
            not_admitted => Verdict::new(not_admitted, Limit::Requests),
        }
    }

    fn accept(&mut self, limit: Limit, grant: Grant, asked_at: Instant) {
        match limit {
            Limit::Requests => self.requests.accept(grant, asked_at),
            Limit::Tokens => self.tokens.accept(grant, asked_at),
        }
    }

    fn fall_back(&mut self, quota: Quota, entries: usize, now: Instant) {
        let share = 1.0 / entries.max(1) as f64;
        self.requests
            .fall_back(quota.requests * share, DRAW_RETRY, now);
        self.tokens.fall_back(quota.tokens * share, DRAW_RETRY, now);
    }
}

impl Verdict {
    fn new(decision: Decision, limit: Limit) -> Self {
        match decision {
            Decision::Admitted => Verdict::Admitted,
            Decision::Draw => Verdict::NeedsDraw,
            Decision::Refused { retry_after } => Verdict::Refused(limit, retry_after),
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.usage.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}

fn limit_failure(limit: Limit, quota: Quota, after: Duration) -> Failure {
    let rate = match limit {
        Limit::Requests => quota.requests,
        Limit::Tokens => quota.tokens,
    };
    failure(limit.name(), rate, after)
}

fn failure(unit: &str, limit: f64, after: Duration) -> Failure {
    let message = format_compact!("the account's limit of {limit} {unit} is reached");
    Failure::retryable(Kind::RateLimited, message, after)
}
