//! The leader's buckets of one limit.

use std::time::{Duration, Instant};

use config::ids::{AccountId, NodeId};
use indexmap::IndexMap;

use crate::{Bucket, Grant, Policy, Report};

/// Longest time after which an entry may draw again, however low the limit.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3_600);

/// Largest fraction of the burst that all entries hold together in batches.
const MAX_HELD_FRACTION: f64 = 0.25;

/// Buckets of all accounts. They are not replicated: a new leader starts with full buckets.
#[derive(Clone, Debug)]
pub struct Meter {
    policy: Policy,
    accounts: IndexMap<AccountId, Account>,
}

#[derive(Clone, Debug)]
struct Account {
    bucket: Bucket,
    /// Newest batch of each entry whose lease has not expired.
    batches: IndexMap<NodeId, Batch>,
}

#[derive(Clone, Copy, Debug)]
struct Batch {
    /// Units beyond those that the entry needed at once.
    units: f64,
    leased_until: Instant,
}

impl Meter {
    /// Returns a meter without accounts.
    pub fn new(policy: Policy) -> Self {
        Meter {
            policy,
            accounts: IndexMap::new(),
        }
    }

    /// Takes back what `entry` did not spend, and grants it a batch of an account whose limit is
    /// `rate` units per second.
    pub fn draw(&mut self, entry: &NodeId, report: &Report, rate: f64, now: Instant) -> Grant {
        let policy = self.policy;
        let account = self
            .accounts
            .entry(report.account.clone())
            .or_insert_with(|| Account {
                bucket: Bucket::new(rate, policy.burst, now),
                batches: IndexMap::new(),
            });
        if account.bucket.rate() != rate {
            account.bucket.set_rate(rate, policy.burst, now);
        }
        account.expire_batches(now);
        account.bucket.cap(account.held(), now);
        account.batches.swap_remove(entry);
        account.bucket.put_back(report.unspent);
        let grant = account.grant(report.wanted, policy, now);
        let batch = Batch {
            units: (grant.units - report.wanted).max(0.0),
            leased_until: now + policy.lease,
        };
        account.batches.insert(entry.clone(), batch);
        grant
    }

    /// Drops the buckets of all accounts but those that `is_known` accepts.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.accounts.retain(|account, _| is_known(account));
    }
}

impl Account {
    /// Returns the units that entries hold.
    fn held(&self) -> f64 {
        self.batches.values().map(|batch| batch.units).sum()
    }

    /// Drops the batches whose lease has expired. Their units count as spent at that time, so the
    /// bucket refills only from then on.
    fn expire_batches(&mut self, now: Instant) {
        self.batches
            .sort_unstable_by(|_, a, _, b| a.leased_until.cmp(&b.leased_until));
        while let Some((_, batch)) = self.batches.first() {
            let expired_at = batch.leased_until;
            if now < expired_at {
                break;
            }
            self.bucket.cap(self.held(), expired_at);
            self.batches.shift_remove_index(0);
        }
    }

    /// Grants a batch, or an equal part of the available units if they don't suffice for a batch
    /// for each active entry. The grant has at least the units `wanted`, or none. `batches` has
    /// those of the other entries.
    fn grant(&mut self, wanted: f64, policy: Policy, now: Instant) -> Grant {
        let held = self.held();
        let wait_time = self.bucket.wait_time(wanted, held, now);
        let active = (self.batches.len() + 1) as f64;
        let rate = self.bucket.rate();
        let fair_batch = self.bucket.capacity() * MAX_HELD_FRACTION / active;
        let batch = policy.max_batch_at(rate).min(fair_batch).max(wanted);
        let part = self.bucket.available(held, now) / active;
        let units = batch.min(part).max(wanted);
        let units = match self.bucket.take(units, held, now) {
            true => units,
            false => 0.0,
        };
        // An entry that received less than a whole batch waits until the bucket has gained `wanted`
        // units for each active entry, as immediate retries would each get only a few units.
        let refill_time =
            Duration::try_from_secs_f64(active * wanted / rate).unwrap_or(MAX_RETRY_AFTER);
        Grant {
            units,
            lease: policy.lease,
            retry_after: match units < batch {
                true => refill_time
                    .max(wait_time)
                    .clamp(policy.min_retry_after, MAX_RETRY_AFTER),
                false => Duration::ZERO,
            },
            fallback_rate: rate / active,
        }
    }
}
