//! Decisions of the planner and their reasons.

use std::fmt;

use compact_str::CompactString;
use config::ids::{InstanceId, ModelId, ServiceId};
use upstream::{Role, Served};

use crate::Slot;

/// One decision, which is logged and carried out.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// What to do.
    pub action: Action,
    /// Why the decision is made; stored as the reason of the order.
    pub reason: CompactString,
    /// Slots that were considered instead, cheapest first.
    pub alternatives: Vec<Alternative>,
}

/// What to do with an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Order an instance from the cloud.
    Start {
        /// Service that it is for.
        service: ServiceId,
        /// Slot in which it is bought.
        slot: Slot,
    },
    /// Send no new work to the instance and let it finish its requests in progress.
    Drain {
        /// The instance.
        instance: InstanceId,
    },
    /// Return the instance to the cloud.
    Stop {
        /// The instance.
        instance: InstanceId,
    },
    /// Load a model with its adapters.
    Load {
        /// The instance.
        instance: InstanceId,
        /// Model, version and adapters.
        served: Served,
    },
    /// Unload a version that the text no longer names.
    Unload {
        /// The instance.
        instance: InstanceId,
        /// Model.
        model: ModelId,
        /// Version.
        version: CompactString,
    },
    /// Change the role of the instance: which phases of a request it serves.
    Assign {
        /// The instance.
        instance: InstanceId,
        /// The role.
        role: Role,
    },
}

/// A slot that was considered and not chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Alternative {
    /// The slot.
    pub slot: Slot,
    /// Price per hour, including the expected cost of reclaims.
    pub price: f64,
    /// Why it was not chosen.
    pub reason: CompactString,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.action, self.reason)?;
        for (n, alternative) in self.alternatives.iter().enumerate() {
            let separator = if n == 0 { "; instead of" } else { "," };
            let Alternative {
                slot,
                price,
                reason,
            } = alternative;
            write!(f, "{separator} {slot} at {price:.2} per hour ({reason})")?;
        }
        Ok(())
    }
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Action::Start { service, slot } => write!(f, "start {service} in {slot}"),
            Action::Drain { instance } => write!(f, "drain {instance}"),
            Action::Stop { instance } => write!(f, "stop {instance}"),
            Action::Load { instance, served } => {
                write!(f, "load {} {} on {instance}", served.model, served.version)
            }
            Action::Unload {
                instance,
                model,
                version,
            } => write!(f, "unload {model} {version} on {instance}"),
            Action::Assign { instance, role } => write!(f, "set {instance} to role {role:?}"),
        }
    }
}
