//! Services that the system routes to.

use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::{Engine, Priority, Scaling};
use crate::ids::{ModelId, ServiceId};

/// A service and what it depends on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Service {
    /// Whether model engines or plain HTTP servers stand behind it.
    pub kind: Kind,
    /// Services without which this one can't answer.
    #[serde(default)]
    pub depends_on: Vec<ServiceId>,
    /// Models that its engines serve; empty for plain services.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Whether its upstreams refuse orders with an old fencing number.
    #[serde(default)]
    pub fencing: Fencing,
    /// HTTP methods that may be repeated unless a route says otherwise.
    #[serde(default = "idempotent_methods")]
    pub idempotent_methods: Vec<CompactString>,
    /// Exceptions by method and path.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Longest time for a whole answer.
    #[serde(default = "answer_timeout", with = "crate::duration")]
    pub timeout: Duration,
    /// Priority of requests from accounts that set none.
    #[serde(default)]
    pub priority: Priority,
    /// Fewest instances kept running.
    #[serde(default = "one")]
    pub min_instances: u32,
    /// Most instances started.
    #[serde(default = "hundred")]
    pub max_instances: u32,
    /// Requests per second that one instance carries within the latency target.
    #[serde(default = "five")]
    pub requests_per_second_per_instance: f64,
    /// Expected requests per second at the peak, for placement and forecast.
    #[serde(default = "five")]
    pub expected_requests_per_second: f64,
    /// Connections that each upstream accepts from all callers together.
    #[serde(default)]
    pub max_connections: Option<u32>,
    /// What its engines have in common, for a model service with routes by host and path.
    #[serde(default)]
    pub engine: Option<Engine>,
    /// How its instances are ordered, where that is done by count.
    #[serde(default)]
    pub scaling: Option<Scaling>,
}

impl Default for Service {
    fn default() -> Self {
        Service {
            kind: Kind::default(),
            depends_on: Vec::new(),
            models: Vec::new(),
            fencing: Fencing::default(),
            idempotent_methods: idempotent_methods(),
            routes: Vec::new(),
            timeout: answer_timeout(),
            priority: Priority::default(),
            min_instances: one(),
            max_instances: hundred(),
            requests_per_second_per_instance: five(),
            expected_requests_per_second: five(),
            max_connections: None,
            engine: None,
            scaling: None,
        }
    }
}

impl Service {
    /// Reports whether one of the service's models, or an adapter of one, is `model`.
    pub fn serves(&self, model: &str) -> bool {
        self.models
            .iter()
            .any(|m| m.name == model || m.adapters.iter().any(|a| a == model))
    }

    /// Reports whether a call may be sent a second time.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let listed = || {
            self.idempotent_methods
                .iter()
                .any(|m| m.eq_ignore_ascii_case(method))
        };
        let route = self.routes.iter().find(|route| route.matches(method, path));
        match (self.kind, route) {
            (Kind::Model, _) => true,
            (Kind::Plain, Some(route)) => route.idempotent,
            (Kind::Plain, None) => listed(),
        }
    }
}

/// What stands behind a service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Model engines.
    #[default]
    Model,
    /// Plain HTTP servers.
    Plain,
}

/// Whether upstreams check the fencing number of an order.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// An old number is refused.
    Checked,
    /// The number is ignored.
    #[default]
    Ignored,
}

/// A model with the version and adapters that operators want.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Model {
    /// Name that callers use.
    pub name: ModelId,
    /// Version of the weights.
    pub version: CompactString,
    /// Adapters, which callers can name in place of the model.
    #[serde(default)]
    pub adapters: Vec<CompactString>,
}

/// Whether calls on one path of a plain service may be repeated.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Route {
    /// HTTP method; empty for all methods.
    #[serde(default)]
    pub method: CompactString,
    /// Start of the path, after the service's name, with a leading slash.
    pub path: CompactString,
    /// Whether a second execution changes nothing.
    pub idempotent: bool,
}

impl Route {
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.method.is_empty() || self.method.eq_ignore_ascii_case(method);
        let rest = path.strip_prefix(self.path.as_str());
        method_matches && rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
    }
}

fn idempotent_methods() -> Vec<CompactString> {
    ["GET", "HEAD", "OPTIONS"].map(CompactString::from).to_vec()
}

fn answer_timeout() -> Duration {
    Duration::from_secs(60)
}

fn one() -> u32 {
    1
}

fn hundred() -> u32 {
    100
}

fn five() -> f64 {
    5.0
}
