//! The upstreams among which one is chosen for a plain call of a service that is balanced by work.
//!
//! All entries know the same work, speeds and statements, some hundred milliseconds late, in which a plain
//! upstream ends many calls. Would each take the best of all, then all would take the same one until the
//! next exchange. Two that are drawn at random, in proportion to their speed, spread the calls.

use std::time::Instant;

use config::ids::UpstreamId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Balancer;
use super::choice::Criteria;
use super::upstream::Upstream;

/// Upstreams that are compared.
const COUNT: usize = 2;

impl Balancer {
    /// Reports whether only some upstreams are compared for a request.
    pub(super) fn is_sampled(&self, criteria: &Criteria<'_>) -> bool {
        criteria.prompt.is_none() && self.is_balanced_by_work(criteria.service)
    }

    /// Returns up to [`COUNT`] of the upstreams, drawn in proportion to their speed for the choice with
    /// this number.
    pub(super) fn sampled<'u>(
        &self,
        usable: &[(&'u UpstreamId, &'u Upstream)],
        number: u64,
        now: Instant,
    ) -> Vec<(&'u UpstreamId, &'u Upstream)> {
        let mut drawn: Vec<(f64, (&UpstreamId, &Upstream))> = Vec::with_capacity(COUNT + 1);
        for (name, upstream) in usable {
            // The smallest of times that are distributed exponentially, with these rates.
            let time = -self.draw(name, number).ln() / upstream.speed(now);
            let place = drawn.partition_point(|(other, _)| *other <= time);
            if place < COUNT {
                drawn.insert(place, (time, (name, upstream)));
                drawn.truncate(COUNT);
            }
        }
        drawn.into_iter().map(|(_, upstream)| upstream).collect()
    }

    /// Returns a number between 0 and 1 that differs by entry, choice and upstream.
    fn draw(&self, upstream: &UpstreamId, number: u64) -> f64 {
        let choice = self.settings.seed ^ number.rotate_left(32);
        let hash = xxh3_64_with_seed(upstream.as_bytes(), choice);
        (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0)
    }
}
