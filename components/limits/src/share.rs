//! The units of one limit that an entry may spend without asking the leader.

use std::time::{Duration, Instant};

use crate::{Bucket, Decision, Grant};

/// Capacity of the fallback bucket, as time at the fallback rate.
const FALLBACK_BURST: Duration = Duration::from_secs(1);

/// An entry's share of one limit of one account: the batch that it drew last, and a bucket from
/// which it admits requests while the leader does not answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    units: f64,
    leased_until: Option<Instant>,
    refused_until: Option<Instant>,
    fallback: Option<Bucket>,
    fallback_rate: f64,
}

impl Share {
    /// Decides on a request that needs `units`.
    pub fn decide(&mut self, units: f64, now: Instant) -> Decision {
        let leased = self.leased_until.is_some_and(|until| now < until);
        match self.refused_until {
            _ if leased && self.units >= units => {
                self.units -= units;
                Decision::Admitted
            }
            Some(until) if now < until => Decision::Refused {
                retry_after: until - now,
            },
            _ => self.decide_by_fallback(units, now),
        }
    }

    fn decide_by_fallback(&mut self, units: f64, now: Instant) -> Decision {
        let bucket = self.fallback.as_mut();
        match bucket.is_some_and(|bucket| bucket.take(units, 0.0, now)) {
            true => Decision::Admitted,
            false => Decision::Draw,
        }
    }

    /// Reports whether a batch whose lease has not expired covers `units`.
    pub fn covers(&self, units: f64, now: Instant) -> bool {
        self.leased_until.is_some_and(|until| now < until) && self.units >= units
    }

    /// Puts back units that [`Share::decide`] took for a request that was not admitted after all.
    pub fn put_back(&mut self, units: f64) {
        self.units += units;
    }

    /// Takes the unspent units of the batch for a report; 0 if its lease has expired.
    pub fn take_unspent(&mut self, now: Instant) -> f64 {
        let leased = self.leased_until.is_some_and(|until| now < until);
        let units = std::mem::take(&mut self.units);
        match leased {
            true => units,
            false => 0.0,
        }
    }

    /// Adds the grant that answers a report sent at `sent_at`.
    pub fn accept(&mut self, grant: Grant, sent_at: Instant) {
        self.units += grant.units;
        self.leased_until = Some(sent_at + grant.lease);
        self.refused_until = Some(sent_at + grant.retry_after);
        self.fallback = None;
        self.fallback_rate = grant.fallback_rate;
    }

    /// Admits requests at the fallback rate of the newest grant until the leader answers, or at
    /// `rate` if no grant had one. The entry asks the leader again after `retry_after` once that
    /// rate is used up.
    pub fn fall_back(&mut self, rate: f64, retry_after: Duration, now: Instant) {
        let rate = match self.fallback_rate > 0.0 {
            true => self.fallback_rate,
            false => rate,
        };
        if rate <= 0.0 {
            self.refused_until = Some(now + retry_after);
            return;
        }
        let bucket = self
            .fallback
            .get_or_insert_with(|| Bucket::new(rate, FALLBACK_BURST, now));
        let is_spent = bucket.available(0.0, now) < 1.0;
        self.refused_until = is_spent.then(|| now + retry_after);
    }
}
