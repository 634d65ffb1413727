//! Settings of the cloud API.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use config::ids::{DataCentreId, ServiceId};
use config::text::Class;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::Template;

/// What the cloud offers, and what runs on its instances.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of its listener; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Time between the order for an instance and its start.
    pub start_delay: Duration,
    /// Prices at the start.
    pub prices: Vec<Price>,
    /// What is launched on an instance, by service; nothing for services not named.
    pub templates: IndexMap<ServiceId, Template>,
}

/// Price of one instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Price {
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Class.
    pub class: Class,
    /// Currency units per hour.
    pub price: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            start_delay: Duration::from_millis(200),
            prices: Vec::new(),
            templates: IndexMap::new(),
        }
    }
}
