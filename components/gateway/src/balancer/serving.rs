//! Which upstreams of a service serve, and which may still take a request.

use std::net::SocketAddr;
use std::time::Instant;

use config::ids::{ServiceId, UpstreamId};
use indexmap::IndexSet;

use super::{Balancer, Choice};

impl Balancer {
    /// Returns the upstreams of a service that serve and have a valid lease.
    pub fn serving(&self, service: &str, now: Instant) -> Vec<(UpstreamId, SocketAddr)> {
        let serving = self.upstreams.iter().filter(|(_, upstream)| {
            upstream.service == service
                && now < upstream.expires
                && !upstream.superseded
                && !upstream.is_leaving()
        });
        serving
            .map(|(name, upstream)| (name.clone(), upstream.address))
            .collect()
    }

    /// Returns the upstreams of a service that have said that they are leaving.
    pub fn leaving(&self, service: &str) -> Vec<UpstreamId> {
        let leaving = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| upstream.service == service && upstream.said_leaving);
        leaving.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the services that have upstreams.
    pub fn services(&self) -> IndexSet<ServiceId> {
        let upstreams = self.upstreams.values();
        upstreams.map(|upstream| upstream.service.clone()).collect()
    }

    /// Ends the ejections of a service's upstreams, which were not at fault.
    pub fn end_ejections(&mut self, service: &str) {
        let upstreams = self.upstreams.values_mut();
        for upstream in upstreams.filter(|upstream| upstream.service == service) {
            upstream.health.end_ejection();
        }
    }

    /// Reports whether the upstream of a choice still takes requests: it has neither paused since nor
    /// said that it is leaving.
    pub fn takes_requests(&self, choice: &Choice, now: Instant) -> bool {
        let upstream = self.upstreams.get(&choice.upstream);
        let current = upstream.filter(|upstream| upstream.incarnation == choice.incarnation);
        current.is_none_or(|upstream| !upstream.is_leaving() && upstream.pause(now).is_none())
    }
}
