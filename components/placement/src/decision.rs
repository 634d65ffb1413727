//! What a plan orders, and why.

use std::fmt;

use compact_str::CompactString;
use config::ids::{InstanceId, ModelId, ServiceId};
use upstream::{Role, Served};

use crate::Slot;

/// One decision, as it is logged and carried out.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// What is ordered.
    pub action: Action,
    /// Why.
    pub reason: CompactString,
    /// What else was weighed, cheapest first.
    pub alternatives: Vec<Alternative>,
}

/// What is ordered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Ask the cloud for an instance.
    Start {
        /// Service that it is for.
        service: ServiceId,
        /// Where and how it is bought.
        slot: Slot,
    },
    /// Give new work to others, and let the instance finish what it has.
    Drain {
        /// The instance.
        instance: InstanceId,
    },
    /// Give the instance back to the cloud.
    Stop {
        /// The instance.
        instance: InstanceId,
    },
    /// Load a model with its adapters.
    Load {
        /// The instance.
        instance: InstanceId,
        /// What is loaded.
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
    /// Change which phases of a request the instance takes.
    Assign {
        /// The instance.
        instance: InstanceId,
        /// The role.
        role: Role,
    },
}

/// A slot that was not taken.
#[derive(Clone, Debug, PartialEq)]
pub struct Alternative {
    /// The slot.
    pub slot: Slot,
    /// Price per hour with the expected loss by reclaims.
    pub price: f64,
    /// Why it was not taken.
    pub reason: CompactString,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.action, self.reason)?;
        for (n, alternative) in self.alternatives.iter().enumerate() {
            let lead = if n == 0 { "; instead of" } else { "," };
            let Alternative {
                slot,
                price,
                reason,
            } = alternative;
            write!(f, "{lead} {slot} at {price:.2} ({reason})")?;
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
            Action::Assign { instance, role } => write!(f, "assign {role:?} to {instance}"),
        }
    }
}
