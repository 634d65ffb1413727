//! The speeds of a service's upstreams, for metrics and logs.

use std::time::Instant;

use config::ids::ServiceId;

use super::Balancer;

/// The speeds of the upstreams of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speeds {
    /// The lowest one.
    pub min: f64,
    /// The average.
    pub mean: f64,
    /// The highest one.
    pub max: f64,
}

impl Balancer {
    /// Returns the speeds of the upstreams with a valid lease, by service that is balanced by work.
    pub fn speeds(&self, now: Instant) -> Vec<(ServiceId, Speeds)> {
        let services = self.services().into_iter();
        let by_work = services.filter(|service| self.is_balanced_by_work(service));
        by_work
            .filter_map(|service| {
                let speeds = self.speeds_of(&service, now)?;
                Some((service, speeds))
            })
            .collect()
    }

    /// Returns the speed of an upstream; `None` if it is not known.
    pub fn speed(&self, upstream: &str, now: Instant) -> Option<f64> {
        let upstream = self.upstreams.get(upstream)?;
        Some(upstream.speed(now))
    }

    fn speeds_of(&self, service: &ServiceId, now: Instant) -> Option<Speeds> {
        let upstreams = self.upstreams.values();
        let live = upstreams.filter(|upstream| {
            upstream.service == *service && now < upstream.expires && !upstream.superseded
        });
        let mut speeds = live.map(|upstream| upstream.speed(now));
        let first = speeds.next()?;
        let (min, sum, max, count) = speeds.fold(
            (first, first, first, 1.0),
            |(min, sum, max, count), speed| {
                (min.min(speed), sum + speed, max.max(speed), count + 1.0)
            },
        );
        let mean = sum / count;
        Some(Speeds { min, mean, max })
    }
}
