//! The operators' text: services, their dependencies, and the accounts that may call them.

mod account;
mod balance;
mod class;
mod data_centre;
mod engine;
pub mod ingress;
mod latency;
mod objective;
mod priority;
mod scaling;
mod service;

pub use account::Account;
pub use balance::Balance;
pub use class::Class;
pub use data_centre::{Cost, DataCentre};
pub use engine::Engine;
pub use ingress::Ingress;
pub use latency::Latency;
pub use objective::Objective;
pub use priority::Priority;
pub use scaling::Scaling;
pub use service::{Fencing, Kind, Model, Route, Service};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{AccountId, DataCentreId, ServiceId};

/// The operators' text, which is submitted as a whole.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Text {
    /// Name of the deployment, for people.
    pub name: String,
    /// Measure that placement and routing optimise.
    #[serde(default)]
    pub objective: Objective,
    /// Latency target of all model services.
    #[serde(default)]
    pub latency: Latency,
    /// Data centres by name.
    pub data_centres: IndexMap<DataCentreId, DataCentre>,
    /// Services by name.
    pub services: IndexMap<ServiceId, Service>,
    /// Client accounts by name.
    pub accounts: IndexMap<AccountId, Account>,
    /// Routes by host and path, for callers that do not name a service.
    #[serde(default)]
    pub ingress: Ingress,
}

/// Parses the operators' text in the format of an interface. The error is a message that names each
/// fault and its position.
pub type Parser = fn(&str) -> Result<Text, String>;

impl Text {
    /// Parses a text in TOML without checking it.
    ///
    /// # Errors
    /// Returns the parser's message, which contains line and column.
    pub fn parse(source: &str) -> Result<Self, String> {
        toml::from_str(source).map_err(|error| error.to_string())
    }

    /// Returns the service that serves `model`, which may be an adapter's name.
    pub fn service_of_model(&self, model: &str) -> Option<(&ServiceId, &Service)> {
        self.services
            .iter()
            .find(|(_, service)| service.serves(model))
    }
}
