//! Services to which requests are routed.

use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::{Balance, Engine, Priority, Scaling};
use crate::ids::{ModelId, ServiceId};

/// A service with its dependencies, limits and routes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Service {
    /// Kind of its upstreams.
    pub kind: Kind,
    /// Services that this one needs in order to answer.
    #[serde(default)]
    pub depends_on: Vec<ServiceId>,
    /// Models that its engines serve; empty for plain services.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Whether its upstreams check fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
    /// HTTP methods that are idempotent unless a route states otherwise.
    #[serde(default = "default_idempotent_methods")]
    pub idempotent_methods: Vec<CompactString>,
    /// Exceptions to `idempotent_methods`, by method and path; the first match applies.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Longest time until the end of an answer.
    #[serde(default = "default_timeout", with = "crate::duration")]
    pub timeout: Duration,
    /// Priority of requests from accounts that do not set one.
    #[serde(default)]
    pub priority: Priority,
    /// Fewest running instances.
    #[serde(default = "default_min_instances")]
    pub min_instances: u32,
    /// Most running instances.
    #[serde(default = "default_max_instances")]
    pub max_instances: u32,
    /// Requests per second that one instance serves within the latency target.
    #[serde(default = "default_request_rate")]
    pub requests_per_second_per_instance: f64,
    /// Expected peak of requests per second, for placement and forecast.
    #[serde(default = "default_request_rate")]
    pub expected_requests_per_second: f64,
    /// Most connections that each upstream accepts, from all entries together.
    #[serde(default)]
    pub max_connections: Option<u32>,
    /// Parameters of its engines, for a model service with routes by host and path.
    #[serde(default)]
    pub engine: Option<Engine>,
    /// Limits and prices of its instances, if they are ordered by count.
    #[serde(default)]
    pub scaling: Option<Scaling>,
    /// What its upstreams are balanced by.
    #[serde(default, skip_serializing_if = "Balance::is_default")]
    pub balance: Balance,
}

impl Default for Service {
    fn default() -> Self {
        Service {
            kind: Kind::default(),
            depends_on: Vec::new(),
            models: Vec::new(),
            fencing: Fencing::default(),
            idempotent_methods: default_idempotent_methods(),
            routes: Vec::new(),
            timeout: default_timeout(),
            priority: Priority::default(),
            min_instances: default_min_instances(),
            max_instances: default_max_instances(),
            requests_per_second_per_instance: default_request_rate(),
            expected_requests_per_second: default_request_rate(),
            max_connections: None,
            engine: None,
            scaling: None,
            balance: Balance::default(),
        }
    }
}

impl Service {
    /// Reports whether `model` is one of the service's models or their adapters.
    pub fn serves(&self, model: &str) -> bool {
        self.models
            .iter()
            .any(|m| m.name == model || m.adapters.iter().any(|a| a == model))
    }

    /// Reports whether a call may run more than once.
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

/// Kind of a service's upstreams.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Model engines.
    #[default]
    Model,
    /// Plain HTTP servers.
    Plain,
}

/// Whether upstreams check the fencing number of orders.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// Upstreams refuse orders with an outdated number.
    Checked,
    /// Upstreams ignore the number.
    #[default]
    Ignored,
}

/// A model, with the version and adapters to be served.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Model {
    /// Name by which callers request the model.
    pub name: ModelId,
    /// Version of the weights.
    pub version: CompactString,
    /// Adapters, which callers can request in place of the model.
    #[serde(default)]
    pub adapters: Vec<CompactString>,
}

/// Whether calls to one path of a plain service are idempotent.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Route {
    /// HTTP method; empty for all methods.
    #[serde(default)]
    pub method: CompactString,
    /// Prefix of the path after the service's name, with a leading slash.
    pub path: CompactString,
    /// Whether repeating a call has no further effect.
    pub idempotent: bool,
}

impl Route {
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.method.is_empty() || self.method.eq_ignore_ascii_case(method);
        let rest = path.strip_prefix(self.path.as_str());
        method_matches && rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
    }
}

fn default_idempotent_methods() -> Vec<CompactString> {
    ["GET", "HEAD", "OPTIONS"].map(CompactString::from).to_vec()
}

fn default_timeout() -> Duration {
    Duration::from_secs(60)
}

fn default_min_instances() -> u32 {
    1
}

fn default_max_instances() -> u32 {
    100
}

fn default_request_rate() -> f64 {
    5.0
}
