//! The table of the upstreams that a process knows.

use std::time::Instant;

use config::ids::{ServiceId, UpstreamId};
use indexmap::IndexMap;

use crate::{Announcement, Availability};

/// Known upstreams by service and name, to which requests can be routed.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    services: IndexMap<ServiceId, IndexMap<UpstreamId, Route>>,
}

/// A known upstream with its newest announcement.
#[derive(Clone, Debug)]
pub struct Route {
    /// Newest announcement of the upstream.
    pub announcement: Announcement,
    /// When the announcement was made, as far as this process knows.
    pub announced: Instant,
    /// When the lease of the announcement expires.
    pub expires: Instant,
}

impl Route {
    /// Reports whether the upstream may get new work at `now`.
    pub fn takes_work(&self, now: Instant) -> bool {
        now < self.expires && self.announcement.availability == Availability::Serving
    }
}

impl Routes {
    /// Stores an announcement unless the same or a newer one is known, and reports whether it was
    /// stored.
    pub fn insert(
        &mut self,
        announcement: Announcement,
        announced: Instant,
        expires: Instant,
    ) -> bool {
        let service = self
            .services
            .entry(announcement.service.clone())
            .or_default();
        let version = |a: &Announcement| (a.incarnation, a.sequence);
        let newest = service
            .get(&announcement.upstream)
            .map(|route| version(&route.announcement));
        match newest {
            Some(known) if known >= version(&announcement) => false,
            _ => {
                let upstream = announcement.upstream.clone();
                service.insert(
                    upstream,
                    Route {
                        announcement,
                        announced,
                        expires,
                    },
                );
                true
            }
        }
    }

    /// Returns the upstreams of `service`, including those that accept no new work.
    pub fn for_service(&self, service: &str) -> impl Iterator<Item = &Route> {
        self.services
            .get(service)
            .into_iter()
            .flat_map(IndexMap::values)
    }

    /// Returns all upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Route> {
        self.services.values().flat_map(IndexMap::values)
    }

    /// Removes upstreams whose lease expired before `horizon`.
    pub fn remove_expired(&mut self, horizon: Instant) {
        for upstreams in self.services.values_mut() {
            upstreams.retain(|_, route| route.expires >= horizon);
        }
    }
}
