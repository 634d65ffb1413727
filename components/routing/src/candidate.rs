//! An upstream in the routing table.

use std::sync::Arc;
use std::time::{Duration, Instant};

use config::ids::{DataCentreId, UpstreamId};
use config::text::Class;
use std::net::SocketAddr;
use upstream::{Announcement, Capacity, Load, Role, Route, Software};
use xxhash_rust::xxh3::xxh3_64;

use crate::tracker::Tracker;

/// An upstream with the values from which it is scored.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) upstream: UpstreamId,
    /// Hash of the upstream's id, for rendezvous hashing.
    pub(crate) hash: u64,
    pub(crate) software: Software,
    pub(crate) address: SocketAddr,
    pub(crate) data_centre: DataCentreId,
    pub(crate) class: Class,
    pub(crate) role: Role,
    pub(crate) capacity: Capacity,
    pub(crate) load: Load,
    /// When `load` was measured.
    pub(crate) measured: Instant,
    /// When the lease of the announcement ends.
    pub(crate) expires: Instant,
    /// Round trip from the entry, in seconds.
    pub(crate) round_trip: f64,
    /// Price relative to the highest price in the text, from 0 to 1.
    pub(crate) price: f64,
    pub(crate) tracker: Arc<Tracker>,
}

impl Candidate {
    pub(crate) fn new(route: &Route, round_trip: f64, price: f64, tracker: Arc<Tracker>) -> Self {
        let announcement: &Announcement = &route.announcement;
        let age = Duration::from_millis(announcement.load.age_ms);
        Candidate {
            upstream: announcement.upstream.clone(),
            hash: xxh3_64(announcement.upstream.as_bytes()),
            software: announcement.software.clone(),
            address: announcement.address,
            data_centre: announcement.data_centre.clone(),
            class: announcement.class,
            role: announcement.role,
            capacity: announcement.capacity,
            load: announcement.load,
            measured: route.announced.checked_sub(age).unwrap_or(route.announced),
            expires: route.expires,
            round_trip,
            price,
            tracker,
        }
    }

    /// Reports whether the upstream serves the phases that a request needs.
    pub(crate) fn serves(&self, phase: Role) -> bool {
        self.role == Role::Both || self.role == phase
    }

    /// Reports whether the upstream has the software version that a request needs, if any.
    pub(crate) fn runs(&self, software: Option<&Software>) -> bool {
        software.is_none_or(|software| *software == self.software)
    }
}
