//! The part of an engine's state that is changed by orders and reclaims.

use std::time::Instant;

use config::ids::ModelId;
use indexmap::IndexMap;
use upstream::{Availability, Load, Role, Served};

use super::Settings;

/// Models, role, draining, fencing number and reclaim of an engine.
#[derive(Clone, Debug)]
pub(super) struct Status {
    pub(super) models: Vec<Served>,
    pub(super) role: Role,
    pub(super) draining: bool,
    pub(super) fence: u64,
    /// When the reclaim stops the engine.
    pub(super) stops_at: Option<Instant>,
    /// When the notice of the reclaim arrived.
    pub(super) reclaim_notice_at: Option<Instant>,
    /// Last ordered version and adapters of each model; weights that were fetched for an earlier
    /// order are discarded.
    pub(super) requested: IndexMap<ModelId, Served>,
    /// Executed orders, oldest first.
    pub(super) orders: Vec<String>,
    /// Last measured load and the time of its measurement.
    pub(super) reported: Option<(Instant, Load)>,
}

impl Status {
    pub(super) fn new(settings: &Settings) -> Status {
        Status {
            models: settings.models.clone(),
            role: settings.role,
            draining: false,
            fence: 0,
            stops_at: None,
            reclaim_notice_at: None,
            requested: IndexMap::new(),
            orders: Vec::new(),
            reported: None,
        }
    }

    /// Returns the availability to announce at `now`.
    pub(super) fn availability(&self, now: Instant) -> Availability {
        match self.stops_at {
            Some(stop) => Availability::Reclaimed {
                in_ms: stop.saturating_duration_since(now).as_millis() as u64,
            },
            None if self.draining => Availability::Leaving,
            None => Availability::Serving,
        }
    }

    /// Reports whether `model` is a loaded model or an adapter of one.
    pub(super) fn serves(&self, model: &str) -> bool {
        self.models
            .iter()
            .any(|served| served.model == model || served.adapters.iter().any(|a| a == model))
    }
}
