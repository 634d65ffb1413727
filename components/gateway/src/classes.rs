//! Demand of callers by rank and account, for the plans of admission.

use std::time::Duration;

use admission::{Class, MAX_CLASSES, Report, Row, Totals};
use config::ids::ServiceId;
use indexmap::IndexMap;

/// Reports after which all classes are reported again, so that a new leader learns them within a
/// second.
const WHOLE_PERIOD: u32 = 4;

/// Totals by service and class since the process started.
#[derive(Debug, Default)]
pub struct Classes {
    services: IndexMap<ServiceId, Service>,
    /// Reports that the leader has answered since one with all classes.
    since_whole: u32,
    /// Whether the leader has not answered the last report.
    is_unanswered: bool,
}

#[derive(Debug, Default)]
struct Service {
    classes: IndexMap<Class, Counts>,
    begun: u64,
    late: u64,
}

/// Totals of a class. Times are in milliseconds; fractions add up.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requests: u64,
    compute_ms: f64,
    place_ms: f64,
    /// Requests that the last report stated, and those that the leader is known to have heard of.
    stated: u64,
    heard: u64,
}

impl Counts {
    fn totals(&self) -> Totals {
        Totals {
            requests: self.requests,
            compute_ms: self.compute_ms as u64,
            place_ms: self.place_ms as u64,
        }
    }
}

impl Classes {
    /// Counts a request that takes a usual engine `compute_ms` for its prompt, and a place of its batch
    /// for `place_ms`.
    pub fn add(&mut self, service: &ServiceId, class: Class, compute_ms: f64, place_ms: f64) {
        let service = self.services.entry(service.clone()).or_default();
        let is_full = service.classes.len() >= MAX_CLASSES;
        let class = match is_full && !service.classes.contains_key(&class) {
            true => class.others(),
            false => class,
        };
        let counts = service.classes.entry(class).or_default();
        counts.requests += 1;
        counts.compute_ms += compute_ms;
        counts.place_ms += place_ms;
    }

    /// Counts an answer that began `elapsed` after its request arrived. Services without a counted
    /// request are passed over.
    pub fn record_first_event(&mut self, service: &ServiceId, elapsed: Duration, target: Duration) {
        if let Some(service) = self.services.get_mut(service) {
            service.begun += 1;
            service.late += u64::from(elapsed > target);
        }
    }

    /// Returns what has changed for a report to the leader, from time to time all.
    pub fn report(&mut self) -> Vec<(ServiceId, Report)> {
        let is_whole = self.is_unanswered || self.since_whole.is_multiple_of(WHOLE_PERIOD);
        let report = |(name, service): (&ServiceId, &mut Service)| {
            let mut rows = Vec::new();
            for (class, counts) in &mut service.classes {
                if is_whole || counts.requests != counts.heard {
                    counts.stated = counts.requests;
                    let totals = counts.totals();
                    rows.push(Row {
                        class: *class,
                        totals,
                    });
                }
            }
            let report = Report {
                is_whole,
                rows,
                begun: service.begun,
                late: service.late,
            };
            (name.clone(), report)
        };
        self.services.iter_mut().map(report).collect()
    }

    /// Records whether the leader answered the last report.
    pub fn record_answer(&mut self, is_answered: bool) {
        self.is_unanswered = !is_answered;
        if !is_answered {
            return;
        }
        self.since_whole = self.since_whole.wrapping_add(1);
        let services = self.services.values_mut();
        for counts in services.flat_map(|service| service.classes.values_mut()) {
            counts.heard = counts.stated;
        }
    }
}
