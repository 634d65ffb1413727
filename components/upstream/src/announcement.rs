//! The announcement by which an upstream joins, renews and leaves.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use config::ids::{DataCentreId, Incarnation, ModelId, ServiceId, UpstreamId};
use config::text::Class;

use crate::{Capacity, Load};

/// Body of `POST /v1/upstreams`, signed with the upstreams' secret.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Start number of the upstream's process, larger after each restart.
    pub incarnation: Incarnation,
    /// Number of this announcement, larger than that of all earlier ones.
    pub sequence: u64,
    /// Service that the upstream serves.
    pub service: ServiceId,
    /// Address of its HTTP listener.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Class of its instance.
    pub class: Class,
    /// Which phases of a request it takes.
    #[serde(default)]
    pub role: Role,
    /// Models it has loaded; empty for plain services.
    #[serde(default)]
    pub models: Vec<Served>,
    /// What it can carry.
    pub capacity: Capacity,
    /// Its load when last measured.
    pub load: Load,
    /// Time for which the announcement holds, in milliseconds.
    pub lease_ms: u64,
    /// Whether it takes new work.
    pub availability: Availability,
    /// Largest fencing number it has seen.
    #[serde(default)]
    pub fence: u64,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum Availability {
    /// Takes new work.
    #[default]
    Serving,
    /// Finishes what it has and takes nothing new.
    Leaving,
    /// Taken back by the cloud; the instance stops `in_ms` milliseconds after the announcement.
    Reclaimed {
        /// Milliseconds until the instance stops.
        in_ms: u64,
    },
}

/// Phases of a request that an engine takes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prompt and generation.
    #[default]
    Both,
    /// Prompts only; the result is exported.
    Prefill,
    /// Generation only; the prompt's state is imported.
    Decode,
}

/// A model as loaded by an engine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Served {
    /// Name of the model.
    pub model: ModelId,
    /// Version of the weights.
    pub version: CompactString,
    /// Adapters loaded.
    #[serde(default)]
    pub adapters: Vec<CompactString>,
}
