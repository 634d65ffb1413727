//! Keeps up which engines take requests, and how fast they are.

use std::time::Instant;

use config::ids::ServiceId;
use indexmap::IndexMap;

use super::Balancer;
use super::upstream::Upstream;

impl Balancer {
    /// Records for each engine whether it takes requests, and how fast it is.
    pub(super) fn observe_tenures(&mut self, now: Instant) {
        // Where no lease holds, this entry is cut off, and the engines count as before.
        let is_live = |upstream: &Upstream| now < upstream.expires;
        let has_live = self.upstreams.values().any(is_live);
        let mut oldest: IndexMap<ServiceId, Instant> = IndexMap::new();
        for upstream in self.upstreams.values().filter(|u| is_live(u) || !has_live) {
            let first_seen = oldest
                .entry(upstream.service.clone())
                .or_insert(upstream.first_seen);
            *first_seen = upstream.first_seen.min(*first_seen);
        }
        for upstream in self.upstreams.values_mut() {
            let oldest = oldest.get(&upstream.service);
            let oldest = oldest.copied().unwrap_or(upstream.first_seen);
            let takes_requests = (now < upstream.expires || !has_live)
                && !upstream.superseded
                && !upstream.is_leaving()
                && !upstream.health.is_failing();
            let speed = upstream.speed(now);
            let first_seen = upstream.first_seen;
            let tenure = &mut upstream.tenure;
            tenure.observe((first_seen, oldest), takes_requests, speed, now);
            tenure.observe_reclaim(upstream.availability, now);
        }
    }
}
