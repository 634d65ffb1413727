//! Settings of a model engine.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use config::ids::{DataCentreId, ServiceId, UpstreamId};
use config::text::Class;
use upstream::{Capacity, Role, Served, Software};

pub use config::text::Fencing;

use crate::announcer;

/// Identity, capacity, delays and announcements of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Service of the upstream.
    pub service: ServiceId,
    /// Address of the listener; with port 0 the system assigns one.
    pub listen: SocketAddr,
    /// Announced address if it is not the listener's, such as a relay's.
    pub announce_as: Option<SocketAddr>,
    /// Announced data centre.
    pub data_centre: DataCentreId,
    /// Announced class.
    pub class: Class,
    /// Initial role: the phases of generation that the engine serves.
    pub role: Role,
    /// Initially loaded models.
    pub models: Vec<Served>,
    /// Version of the software.
    pub software: Software,
    /// Limits and rates, in simulated time.
    pub capacity: Capacity,
    /// Seconds of simulated time per second of real time.
    pub time_scale: f64,
    /// Maximum number of waiting requests; further ones are refused.
    pub max_waiting: usize,
    /// Size and rate of KV state transfers; with `None` the engine neither exports nor imports.
    pub transfer: Option<Transfer>,
    /// Whether orders with an outdated fencing number are refused.
    pub fencing: Fencing,
    /// Delay between a change of the cache and its event.
    pub event_delay: Duration,
    /// Share of cache events that are lost, from 0 to 1.
    pub event_loss: f64,
    /// Age of the reported load at which it is measured again.
    pub max_load_age: Duration,
    /// Time without an event after which a stream sends a comment.
    pub keep_alive: Duration,
    /// Address of the weight store from which models are loaded; with `None` loading takes no time.
    pub weights: Option<SocketAddr>,
    /// Seed of the simulated event loss.
    pub seed: u64,
    /// Settings of the announcements.
    pub announce: announcer::Settings,
}

/// Size and rate of KV state transfers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Transfer {
    /// Bytes of state per token.
    pub bytes_per_token: usize,
    /// Bytes sent per second, in real time.
    pub bytes_per_second: f64,
}

impl Default for Transfer {
    fn default() -> Self {
        Transfer {
            bytes_per_token: 256,
            bytes_per_second: 64_000_000.0,
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        let model = Served {
            model: "assistant".into(),
            version: "1".into(),
            adapters: Vec::new(),
        };
        Settings {
            upstream: UpstreamId::const_new("engine-1"),
            service: ServiceId::const_new("assistant"),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            announce_as: None,
            data_centre: DataCentreId::const_new("shah-alam"),
            class: Class::Reclaimable,
            role: Role::Both,
            models: vec![model],
            software: Software::default(),
            capacity: Capacity::default(),
            time_scale: 1.0,
            max_waiting: 1_000,
            transfer: Some(Transfer::default()),
            fencing: Fencing::Checked,
            event_delay: Duration::from_millis(100),
            event_loss: 0.0,
            max_load_age: Duration::from_millis(200),
            keep_alive: Duration::from_secs(1),
            weights: None,
            seed: 1,
            announce: announcer::Settings::default(),
        }
    }
}

impl Settings {
    /// Returns the duration of one decoding step, in real time.
    pub(super) fn step_duration(&self) -> Duration {
        let rate = self.capacity.decode_tokens_per_second * self.time_scale;
        Duration::from_secs_f64(1.0 / rate.max(0.001))
    }

    /// Returns the number of prompt tokens computed in one step.
    pub(super) fn prefill_per_step(&self) -> f64 {
        let Capacity {
            prefill_tokens_per_second,
            decode_tokens_per_second,
            ..
        } = self.capacity;
        prefill_tokens_per_second / decode_tokens_per_second.max(0.001)
    }

    /// Returns the announced capacity, with rates in real time.
    pub(super) fn announced_capacity(&self) -> Capacity {
        Capacity {
            prefill_tokens_per_second: self.capacity.prefill_tokens_per_second * self.time_scale,
            decode_tokens_per_second: self.capacity.decode_tokens_per_second * self.time_scale,
            ..self.capacity
        }
    }
}
