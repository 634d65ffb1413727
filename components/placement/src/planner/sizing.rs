//! The capacity of a service, which grows with the demand at once and shrinks after a delay.

use std::time::Instant;

use config::text::Service;

use crate::Settings;

/// Lowest demand for which capacity is provided, as a share of the expected demand.
const MIN_DEMAND_SHARE: f64 = 0.1;

/// The capacity that a service was last given.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sizing {
    capacity: u32,
    surplus_since: Option<Instant>,
}

impl Sizing {
    /// Updates and returns the number of instances that must remain after the loss of any one data
    /// centre.
    pub(super) fn update(
        &mut self,
        service: &Service,
        demand: Option<f64>,
        settings: &Settings,
        now: Instant,
    ) -> u32 {
        let expected = service.expected_requests_per_second;
        let demand = demand.unwrap_or(expected).max(expected * MIN_DEMAND_SHARE);
        let per_instance = service
            .requests_per_second_per_instance
            .max(f64::MIN_POSITIVE);
        let min = service.min_instances.max(1);
        let max = service.max_instances.max(min);
        let count = |margin: f64| {
            let instances = (demand * margin / per_instance).ceil();
            (instances as u32).clamp(min, max)
        };
        let (needed, enough) = (count(settings.headroom), count(settings.surplus));
        let since = self.surplus_since.unwrap_or(now);
        let due = now.saturating_duration_since(since) >= settings.scale_down_delay;
        match self.capacity {
            current if current < needed => self.set(needed),
            current if current > enough && due && self.surplus_since.is_some() => self.set(enough),
            current if current > enough => self.surplus_since = Some(since),
            _ => self.surplus_since = None,
        }
        self.capacity
    }

    fn set(&mut self, capacity: u32) {
        self.capacity = capacity;
        self.surplus_since = None;
    }
}
