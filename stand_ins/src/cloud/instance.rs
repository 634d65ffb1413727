//! Instances of the cloud.

use std::time::Instant;

use compact_str::CompactString;
use config::ids::{DataCentreId, InstanceId, ServiceId};
use config::text::Class;
use serde::{Deserialize, Serialize};

/// An ordered instance.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Id of the instance.
    pub id: InstanceId,
    /// Idempotency token of the order; orders with the same token return the same instance.
    pub token: CompactString,
    /// Service for which it was ordered.
    pub service: ServiceId,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Class of the instance.
    pub class: Class,
    /// Current state.
    pub state: State,
    /// Time of the order.
    pub ordered_at: Instant,
    /// Time at which it was stopped or reclaimed.
    pub ended_at: Option<Instant>,
}

/// State of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Ordered but not yet running.
    Starting,
    /// Running.
    Running,
    /// Reclaimed by the cloud.
    Reclaimed,
    /// Stopped on request.
    Stopped,
}

impl State {
    /// Reports whether the instance is starting or running.
    pub fn is_live(self) -> bool {
        matches!(self, State::Starting | State::Running)
    }
}
