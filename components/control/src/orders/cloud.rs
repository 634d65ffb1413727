//! Answers of the cloud API.

use config::ids::{DataCentreId, InstanceId, ServiceId};
use config::text::Class;
use serde::Deserialize;

/// Answer of `GET /v1/instances`.
#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct Instances {
    pub(super) instances: Vec<Instance>,
}

/// An instance as the cloud API lists it.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Instance {
    pub(super) instance: InstanceId,
    pub(super) service: ServiceId,
    pub(super) data_centre: DataCentreId,
    pub(super) class: Class,
    pub(super) state: State,
    pub(super) started_ms_ago: u64,
}

/// State of an instance in the cloud.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub(super) enum State {
    Starting,
    Running,
    Reclaimed,
    Stopped,
}

/// Answer of `GET /v1/prices`.
#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct Prices {
    pub(super) prices: Vec<Price>,
}

/// Price of an instance, per hour.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Price {
    pub(super) data_centre: DataCentreId,
    pub(super) class: Class,
    pub(super) price: f64,
}

/// Answer of `GET /v1/notices`.
#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct Notices {
    pub(super) notices: Vec<Notice>,
    pub(super) last: u64,
}

/// Notice that the cloud will reclaim an instance.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Notice {
    pub(super) instance: InstanceId,
}
