//! Settings of a plain service.

use std::net::{Ipv4Addr, SocketAddr};

use config::ids::{DataCentreId, ServiceId, UpstreamId};
use config::text::Class;
use upstream::Capacity;

use crate::announcer;

/// What a plain service is and where it listens.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Service that it serves.
    pub service: ServiceId,
    /// Address of its listener; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Address that it announces where that is not its listener's, such as a relay's.
    pub announce_as: Option<SocketAddr>,
    /// Data centre that it announces.
    pub data_centre: DataCentreId,
    /// Class that it announces.
    pub class: Class,
    /// Capacity that it announces.
    pub capacity: Capacity,
    /// To whom it announces itself.
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
