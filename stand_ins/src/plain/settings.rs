//! Settings of a plain service.

use std::net::{Ipv4Addr, SocketAddr};

use config::ids::{DataCentreId, ServiceId, UpstreamId};
use config::text::Class;
use upstream::Capacity;

use crate::announcer;

/// Identity, capacity and announcements of a plain service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Service of the upstream.
    pub service: ServiceId,
    /// Address of the listener; with port 0 the system assigns one.
    pub listen: SocketAddr,
    /// Announced address if it is not the listener's, such as a relay's.
    pub announce_as: Option<SocketAddr>,
    /// Announced data centre.
    pub data_centre: DataCentreId,
    /// Announced class.
    pub class: Class,
    /// Announced capacity.
    pub capacity: Capacity,
    /// Settings of the announcements.
    pub announce: announcer::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            upstream: UpstreamId::const_new("plain-1"),
            service: ServiceId::const_new("jobs"),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            announce_as: None,
            data_centre: DataCentreId::const_new("shah-alam"),
            class: Class::OnDemand,
            capacity: Capacity::default(),
            announce: announcer::Settings::default(),
        }
    }
}
