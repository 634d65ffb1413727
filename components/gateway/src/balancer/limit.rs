//! The limit that an upstream names in its answers, and the permits for it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use limits::Bucket;

/// Smallest part of a limit that an entry keeps while it does not reach the leader, in requests a
/// second.
const MIN_PART: f64 = 0.000_1;

/// What an upstream last said about its limit, and what this entry may send under it.
#[derive(Clone, Debug, Default)]
pub(super) struct Limit {
    /// Requests a second from all entries together; `None` for no limit.
    rate: Option<f64>,
    /// When it was said.
    said: Option<Instant>,
    /// Until when permits are valid, one for each request.
    permits: VecDeque<Instant>,
    /// This entry's part of the limit while it does not reach the leader.
    part: Option<Bucket>,
}

impl Limit {
    /// Returns the limit, and when it was said.
    pub(super) fn naming(&self) -> Option<(Option<f64>, Instant)> {
        self.said.map(|said| (self.rate, said))
    }

    /// Reports whether the upstream names a limit.
    pub(super) fn is_named(&self) -> bool {
        self.rate.is_some()
    }

    /// Records what the answer to a request that was sent at `sent_at` says, and reports whether
    /// that is a change. An answer without a limit may be older than one that names it, unless its
    /// request was sent later.
    pub(super) fn record(&mut self, rate: Option<f64>, sent_at: Instant, now: Instant) -> bool {
        let is_older = self.said.is_some_and(|said| sent_at < said);
        if rate.is_none() && (self.rate.is_none() || is_older) {
            return false;
        }
        self.set(rate, now)
    }

    /// Records what was said to another entry at `said`, unless this entry has heard of the upstream
    /// later.
    pub(super) fn learn(&mut self, rate: Option<f64>, said: Instant) {
        if self.said.is_none_or(|known| known < said) {
            self.set(rate, said);
        }
    }

    fn set(&mut self, rate: Option<f64>, said: Instant) -> bool {
        self.said = Some(said);
        let is_change = std::mem::replace(&mut self.rate, rate) != rate;
        if is_change {
            self.part = None;
        }
        is_change
    }

    /// Adds permits that are valid until `until`.
    pub(super) fn add_permits(&mut self, count: u32, until: Instant) {
        self.permits.extend((0..count).map(|_| until));
    }

    /// Begins to keep a part of the limit if `entries` is set, the number of entries; ends it
    /// otherwise.
    pub(super) fn fall_back(&mut self, entries: Option<u32>, now: Instant) {
        self.part = match (entries, self.rate, self.part) {
            (Some(_), Some(_), Some(part)) => Some(part),
            (Some(entries), Some(rate), None) => {
                let rate = (rate / f64::from(entries.max(1))).max(MIN_PART);
                let mut part = Bucket::new(rate, Duration::ZERO, now);
                part.cap(part.capacity(), now);
                Some(part)
            }
            _ => None,
        };
    }

    /// Reports whether a request may be sent now.
    pub(super) fn allows(&self, now: Instant) -> bool {
        let has_permit = self.permits.iter().any(|until| now < *until);
        let mut part = self.part;
        let has_part = part
            .as_mut()
            .is_some_and(|part| part.available(0.0, now) >= 1.0);
        self.rate.is_none() || has_permit || has_part
    }

    /// Counts a request as sent.
    pub(super) fn take(&mut self, now: Instant) {
        if self.rate.is_none() {
            return;
        }
        self.permits.retain(|until| now < *until);
        if self.permits.pop_front().is_some() {
            return;
        }
        if let Some(part) = &mut self.part {
            part.take(1.0, 0.0, now);
        }
    }
}
