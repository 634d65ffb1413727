//! Orders to model engines and to the cloud API, recorded before they are sent.

use std::net::SocketAddr;

use compact_str::CompactString;
use config::ids::{DataCentreId, InstanceId, ModelId, ServiceId, UpstreamId};
use config::text::Class;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use upstream::{Role, Served};

use crate::{Millis, Position};

/// Orders kept at one time; the oldest is removed first.
pub const MAX_ORDERS: usize = 1_000;

/// Upstreams that may drain at one time. An order to drain a further one is recorded, but does not
/// mark the upstream as draining.
pub const MAX_DRAINING: usize = 1_000;

/// An order and its reason.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Order {
    /// What the order does.
    pub action: Action,
    /// Why the leader issues it.
    pub reason: CompactString,
}

/// The action of an order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Action {
    /// Sets a state of a model engine.
    Engine {
        /// The engine.
        upstream: UpstreamId,
        /// Address of its HTTP listener.
        address: SocketAddr,
        /// The state to be set.
        set: Setting,
    },
    /// Excludes an upstream from new work. Used for upstreams that accept no orders themselves.
    Drain {
        /// The instance, which has the same id as the upstream.
        instance: InstanceId,
    },
    /// Starts an instance. A repeated order with the same token does not start another one.
    Start {
        /// Token chosen by the leader.
        token: CompactString,
        /// Service that the instance serves.
        service: ServiceId,
        /// Data centre in which it runs.
        data_centre: DataCentreId,
        /// Class of the instance: reclaimable or on demand.
        class: Class,
    },
    /// Stops an instance.
    Stop {
        /// The instance.
        instance: InstanceId,
    },
}

/// A setting of a model engine, as encoded in the body of `POST /v1/orders`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Setting {
    /// The model is loaded.
    Load(Served),
    /// The model is not loaded.
    Unload {
        /// Name of the model.
        model: ModelId,
        /// Version of its weights.
        version: CompactString,
    },
    /// Phases of a request that the engine serves.
    Role(Role),
    /// Whether the engine accepts no new work.
    Drain(bool),
}

/// A recorded order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Fencing number.
    pub fence: u64,
    /// When it was recorded.
    pub at: Millis,
    /// The order.
    pub order: Order,
}

/// The newest orders by fencing number, and the upstreams that drain.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Orders {
    records: IndexMap<u64, Record>,
    #[serde(default)]
    draining: IndexMap<InstanceId, Millis>,
}

impl Orders {
    /// Returns the recorded orders, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Returns the upstreams that drain, and since when.
    pub fn draining(&self) -> &IndexMap<InstanceId, Millis> {
        &self.draining
    }

    pub(crate) fn record(&mut self, now: Millis, position: Position, order: Order) -> u64 {
        while self.records.len() >= MAX_ORDERS {
            self.records.shift_remove_index(0);
        }
        match &order.action {
            Action::Drain { instance } if self.draining.len() < MAX_DRAINING => {
                self.draining.entry(instance.clone()).or_insert(now);
            }
            Action::Stop { instance } => {
                self.draining.shift_remove(instance);
            }
            _ => {}
        }
        let fence = position.fence();
        let record = Record {
            fence,
            at: now,
            order,
        };
        self.records.insert(fence, record);
        fence
    }
}
