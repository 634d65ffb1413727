//! Settings of the cloud API.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use config::ids::{DataCentreId, ServiceId};
use config::text::Class;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::Template;

/// Prices and delays of the cloud, and the upstreams on its instances.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the listener; with port 0 the system assigns one.
    pub listen: SocketAddr,
    /// Time between the order for an instance and its start.
    pub start_delay: Duration,
    /// Initial prices.
    pub prices: Vec<Price>,
    /// Templates of the upstreams by service; nothing is launched for other services.
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
    /// Price in currency units per hour.
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
