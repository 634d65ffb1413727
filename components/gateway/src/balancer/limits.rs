//! Limits that upstreams name, and permits for requests under them.

use std::time::Instant;

use ::limits::{Permit, Process};

use super::{Balancer, Choice, Criteria, is_candidate};

impl Balancer {
    /// Records the limit that an upstream named in its answer to a request that was sent at
    /// `sent_at`, or that it named none. Reports whether the limit has changed.
    pub fn record_limit(
        &mut self,
        choice: &Choice,
        limit: Option<f64>,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        let upstream = self.upstream_of(choice);
        upstream.is_some_and(|upstream| upstream.limit.record(limit, sent_at, now))
    }

    /// Returns the upstreams that could take a request if there were a permit under their limit.
    pub fn limited(&self, criteria: &Criteria<'_>, now: Instant) -> Vec<Process> {
        let limited = self.upstreams.iter().filter(|(name, upstream)| {
            is_candidate(name, upstream, criteria)
                && now < upstream.expires
                && upstream.pause(now).is_none()
                && !upstream.limit.allows(now)
        });
        limited
            .map(|(name, upstream)| (name.clone(), upstream.incarnation))
            .collect()
    }

    /// Returns what upstreams said about their limits, and when.
    pub fn limits(&self) -> impl Iterator<Item = (Process, Option<f64>, Instant)> {
        self.upstreams.iter().filter_map(|(name, upstream)| {
            let (rate, said) = upstream.limit.naming()?;
            Some(((name.clone(), upstream.incarnation), rate, said))
        })
    }

    /// Records what an upstream said to another entry at `said`.
    pub fn learn_limit(&mut self, process: &Process, rate: Option<f64>, said: Instant) {
        if let Some(upstream) = self.process(process) {
            upstream.limit.learn(rate, said);
        }
    }

    /// Adds permits for an upstream that names a limit. They are valid until `until`.
    pub fn add_permits(&mut self, permit: &Permit, until: Instant) {
        if let Some(upstream) = self.process(&permit.process) {
            upstream.limit.add_permits(permit.count, until);
        }
    }

    /// Begins to keep a part of each limit without permits if `entries` is set, the number of
    /// entries, because the leader does not answer; ends it otherwise.
    pub fn fall_back(&mut self, entries: Option<u32>, now: Instant) {
        for upstream in self.upstreams.values_mut() {
            upstream.limit.fall_back(entries, now);
        }
    }
}
