//! Instances as reported by the cloud and by their announcements.

use std::time::Instant;

use config::ids::{InstanceId, ServiceId};
use upstream::{Role, Served};

use crate::Slot;

/// One instance of a service.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Id given by the cloud.
    pub instance: InstanceId,
    /// Service for which it was started.
    pub service: ServiceId,
    /// Slot in which it was bought.
    pub slot: Slot,
    /// Current state.
    pub state: State,
    /// When its start was ordered from the cloud.
    pub started: Instant,
    /// Requests in progress, as last announced.
    pub in_progress: u32,
    /// Models loaded, as last announced.
    pub models: Vec<Served>,
    /// Model whose load was ordered and that is not announced yet.
    pub loading: Option<Served>,
    /// Phases of a request that it serves, as last announced.
    pub role: Role,
}

/// State of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Ordered and not announced yet.
    Starting,
    /// Announced and accepting requests.
    Running,
    /// Finishing its requests before it is stopped.
    Draining,
    /// Reclaimed by the cloud, or still running and announced to be reclaimed.
    Reclaimed,
}

impl Instance {
    /// Reports whether the instance provides capacity now or will do so once it has started.
    pub fn provides_capacity(&self) -> bool {
        matches!(self.state, State::Starting | State::Running)
    }
}
