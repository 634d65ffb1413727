//! What this entry counts of the versions of a service during a roll-out, for the leader.

use std::time::Duration;

use compact_str::CompactString;
use config::ids::ServiceId;
use indexmap::IndexMap;
use rollout::{Report, Stage, Version};
use state::rollouts::Number;
use upstream::Software;

use crate::balancer::Outcome;

/// Counts of the roll-outs in progress, by service.
#[derive(Debug, Default)]
pub struct Rollouts {
    services: IndexMap<ServiceId, Counted>,
}

#[derive(Debug)]
struct Counted {
    to: Software,
    report: Report,
}

impl Counted {
    fn version(&mut self, is_new: bool) -> &mut Version {
        match is_new {
            true => &mut self.report.new,
            false => &mut self.report.old,
        }
    }
}

/// A request that was counted as sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Begun {
    number: Number,
    /// Service of the roll-out.
    pub service: ServiceId,
    route: CompactString,
    /// Whether it was sent to the new version.
    pub is_new: bool,
}

impl Rollouts {
    /// Keeps the counts of the roll-outs that are in progress according to the leader, and starts
    /// those of new ones.
    pub fn apply(&mut self, stages: &[Stage]) {
        let active = || stages.iter().filter(|stage| !stage.phase.is_final());
        self.services.retain(|service, counted| {
            active().any(|stage| stage.service == *service && stage.number == counted.report.number)
        });
        for stage in active() {
            let counted = self.services.entry(stage.service.clone());
            let counted = counted.or_insert_with(|| Counted {
                to: stage.to.clone(),
                report: Report {
                    number: stage.number,
                    ..Report::default()
                },
            });
            counted.report.phase = Some(stage.phase);
        }
    }

    /// Counts a request as sent to an upstream of a version; `None` if no roll-out of the service is
    /// in progress.
    pub fn begin(&mut self, service: &ServiceId, route: &str, to: &Software) -> Option<Begun> {
        let counted = self.services.get_mut(service)?;
        let is_new = counted.to == *to;
        let number = counted.report.number;
        let version = counted.version(is_new);
        version.route_mut(route)?.sent += 1;
        version.running += 1;
        Some(Begun {
            number,
            service: service.clone(),
            route: route.into(),
            is_new,
        })
    }

    /// Counts a request as ended `elapsed` after it was sent.
    pub fn end(&mut self, begun: &Begun, elapsed: Duration, outcome: Outcome) {
        let counted = self.services.get_mut(&begun.service);
        let counted = counted.filter(|counted| counted.report.number == begun.number);
        let Some(version) = counted.map(|counted| counted.version(begun.is_new)) else {
            return;
        };
        version.running = version.running.saturating_sub(1);
        let has_failed = match outcome {
            Outcome::Answered => false,
            Outcome::Failed => true,
            // It did not run.
            Outcome::Unsent | Outcome::Refused | Outcome::Unreachable => return,
        };
        if let Some(counts) = version.route_mut(&begun.route) {
            counts.record(elapsed, has_failed);
        }
    }

    /// Returns the counts, for a report to the leader.
    pub fn report(&self) -> Vec<Report> {
        let counted = self.services.values();
        counted.map(|counted| counted.report.clone()).collect()
    }
}
