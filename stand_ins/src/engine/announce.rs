//! Announcements of an engine.

use std::net::SocketAddr;
use std::time::Instant;

use upstream::{Announcement, Load};

use super::{Core, lock};

impl Core {
    /// Returns the announcement with number `sequence`.
    pub(super) fn describe(
        &self,
        address: SocketAddr,
        incarnation: u64,
        sequence: u64,
    ) -> Announcement {
        let load = self.reported_load();
        let status = lock(&self.status);
        let settings = &self.settings;
        Announcement {
            upstream: settings.upstream.clone(),
            incarnation,
            sequence,
            service: settings.service.clone(),
            address: settings.announce_as.unwrap_or(address),
            data_centre: settings.data_centre.clone(),
            class: settings.class,
            role: status.role,
            models: status.models.clone(),
            capacity: settings.announced_capacity(),
            load,
            lease_ms: settings.announce.lease.as_millis() as u64,
            availability: status.availability(Instant::now()),
            fence: status.fence,
            software: settings.software.clone(),
        }
    }

    /// Returns the last measured load, and replaces it once it reaches `max_load_age`.
    fn reported_load(&self) -> Load {
        let now = Instant::now();
        let measured = lock(&self.batch).load();
        let mut status = lock(&self.status);
        let (at, load) = status.reported.unwrap_or((now, measured));
        let age = now.saturating_duration_since(at);
        let reported = match age >= self.settings.max_load_age {
            true => (now, measured),
            false => (at, load),
        };
        status.reported = Some(reported);
        Load {
            age_ms: age.as_millis() as u64,
            ..load
        }
    }
}
