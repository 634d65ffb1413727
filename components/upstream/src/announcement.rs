//! The announcement by which an upstream joins, renews its lease and leaves.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use config::ids::{DataCentreId, Incarnation, ModelId, ServiceId, UpstreamId};
use config::text::Class;

use crate::{Capacity, Load, object};

/// Version of an upstream's software.
pub type Software = CompactString;

/// Body of `POST /v1/upstreams`, which is signed with the upstreams' secret.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Incarnation of the upstream's process, which is larger after each restart.
    pub incarnation: Incarnation,
    /// Sequence number of the announcement, larger than those of all earlier ones.
    pub sequence: u64,
    /// Service that the upstream serves.
    pub service: ServiceId,
    /// Address of its HTTP listener.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Class of its instance: reclaimable or on demand.
    pub class: Class,
    /// Phases of a request that it runs.
    #[serde(default)]
    pub role: Role,
    /// Models it has loaded; empty for plain services.
    #[serde(default, deserialize_with = "object::only_each")]
    pub models: Vec<Served>,
    /// Its capacity.
    #[serde(deserialize_with = "object::only")]
    pub capacity: Capacity,
    /// Its load at the last measurement.
    #[serde(deserialize_with = "object::only")]
    pub load: Load,
    /// Time for which the announcement is valid, in milliseconds.
    pub lease_ms: u64,
    /// Whether it accepts new work.
    pub availability: Availability,
    /// Largest fencing number that it has received with an order.
    #[serde(default)]
    pub fence: u64,
    /// Version of its software; empty if it states none. What two versions write of one stream does
    /// not fit together.
    #[serde(default)]
    pub software: Software,
}

impl Announcement {
    /// Returns why the announcement names no upstream that could be called.
    pub fn fault(&self) -> Option<&'static str> {
        let address = self.address;
        match self {
            Announcement { upstream, .. } if upstream.is_empty() => {
                Some("the upstream has no name")
            }
            Announcement { service, .. } if service.is_empty() => Some("the service has no name"),
            Announcement { data_centre, .. } if data_centre.is_empty() => {
                Some("the data centre has no name")
            }
            _ if address.port() == 0 => Some("the address has no port"),
            _ if address.ip().is_unspecified() || address.ip().is_multicast() => {
                Some("the address is not that of an upstream")
            }
            _ => None,
        }
    }
}

/// Whether an upstream accepts new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum Availability {
    /// Accepts new work.
    #[default]
    Serving,
    /// Finishes its requests and accepts no new ones.
    Leaving,
    /// Reclaimed by the cloud; the instance stops `in_ms` milliseconds after the announcement.
    Reclaimed {
        /// Milliseconds from the announcement until the instance stops.
        in_ms: u64,
    },
}

/// Phases of a request that an engine runs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prefill and generation.
    #[default]
    Both,
    /// Prefill only; the resulting cache is exported to another engine.
    Prefill,
    /// Generation only; the cache of the prompt is imported from another engine.
    Decode,
}

/// A model that an engine has loaded.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Served {
    /// Name of the model.
    pub model: ModelId,
    /// Version of the weights.
    pub version: CompactString,
    /// Adapters that are loaded for the model.
    #[serde(default)]
    pub adapters: Vec<CompactString>,
}
