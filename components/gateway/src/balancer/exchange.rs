//! What entries tell each other of upstreams through the leader: their work there, what engines do,
//! and how fast each upstream is.

use std::time::Instant;

use config::ids::{ServiceId, UpstreamId};
use performance::{Evidence, Model, Moment};
use wire::{MomentTable, SpeedTable, Work, WorkTable};

use super::Balancer;
use super::upstream::Upstream;

impl Balancer {
    /// Returns this entry's work by upstream, for a report to the leader.
    pub fn report(&mut self) -> Vec<(UpstreamId, Work)> {
        let mut work = Vec::new();
        for (name, upstream) in &mut self.upstreams {
            upstream.reported_work = upstream.own_work;
            if upstream.own_work != Work::default() {
                work.push((name.clone(), upstream.own_work));
            }
        }
        work
    }

    /// Applies the work of all entries, which includes this entry's last report.
    pub fn apply_work(&mut self, work: &[(UpstreamId, Work)]) {
        for upstream in self.upstreams.values_mut() {
            upstream.other_work = Work::default();
        }
        for (name, all) in work {
            if let Some(upstream) = self.upstreams.get_mut(name) {
                upstream.other_work = all.without(upstream.reported_work);
            }
        }
    }

    /// Applies the work of all entries in its short form, with [`Work::work_ms`] of each row.
    pub fn apply_work_table(&mut self, table: &WorkTable, work_ms: &[u32]) {
        let names = self.upstreams.keys();
        let names = names.map(|name| (name.as_str(), name.clone()));
        let work = table.with(work_ms, names);
        self.apply_work(&work);
    }

    /// Returns what this entry learned of the speeds of upstreams, for a report to the leader.
    pub fn report_speeds(&mut self, now: Instant) -> SpeedTable {
        let upstreams = self.upstreams.iter_mut();
        SpeedTable::new(upstreams.map(|(name, upstream)| {
            let process = (name.as_str(), upstream.incarnation);
            (process, upstream.speed.report(now))
        }))
    }

    /// Returns what follows from the newest statements of upstreams to this entry.
    pub fn report_moments(&self, now: Instant) -> MomentTable {
        let upstreams = self.upstreams.iter();
        let moments = upstreams.filter_map(|(name, upstream)| {
            let process = (name.as_str(), upstream.incarnation);
            Some((process, upstream.speed.moment()?))
        });
        MomentTable::new(moments, now)
    }

    /// Applies what all entries learned, which includes this entry's last report.
    pub fn apply_speeds(&mut self, speeds: &SpeedTable, now: Instant) {
        let evidence: Vec<Evidence> = speeds.of(self.processes()).collect();
        for (upstream, evidence) in self.upstreams.values_mut().zip(evidence) {
            upstream.speed.apply(evidence, now);
        }
        for service in self.services() {
            self.set_usual_speed(&service);
        }
    }

    /// Applies what follows from the newest statements to all entries, which were told at `told`: of those
    /// upstreams whose speed deviates.
    pub fn apply_moments(&mut self, moments: &MomentTable, told: Instant) {
        let moments: Vec<Option<Moment>> = moments.of(self.processes(), told).collect();
        for (upstream, moment) in self.upstreams.values_mut().zip(moments) {
            upstream.speed.receive(moment);
        }
    }

    fn processes(&self) -> impl Iterator<Item = (&str, u64)> {
        let upstreams = self.upstreams.iter();
        upstreams.map(|(name, upstream)| (name.as_str(), upstream.incarnation))
    }

    /// Takes the average speed of a service's upstreams as the usual one.
    fn set_usual_speed(&mut self, service: &str) {
        let upstreams = self.upstreams.values();
        let live = upstreams.filter(|upstream| upstream.service == service && !upstream.superseded);
        let (sum, count) = live.fold((0.0, 0.0), |(sum, count), upstream| {
            (sum + upstream.speed.average(), count + 1.0_f64)
        });
        let usual = sum / count.max(1.0);
        let upstreams = self.upstreams.values_mut();
        for upstream in upstreams.filter(|upstream| upstream.service == service) {
            upstream.speed.set_usual(usual);
        }
    }

    /// Spreads the work of the other entries evenly over the upstreams of each service, once it is too
    /// old to tell which of them are busy. Their number is still a measure of the load.
    pub fn even_out_work(&mut self) {
        for service in self.services() {
            let upstreams = self.upstreams.values_mut();
            let mut upstreams: Vec<&mut Upstream> = upstreams
                .filter(|upstream| upstream.service == service)
                .collect();
            let average = average(upstreams.iter().map(|upstream| upstream.other_work));
            for upstream in &mut upstreams {
                upstream.other_work = average;
            }
        }
    }

    /// Applies the models that the leader told. Those that it did not tell still hold.
    pub fn apply_models(&mut self, models: &[(ServiceId, Model)]) {
        self.models.extend(models.iter().cloned());
    }

    /// Returns the models of services of which the leader has told none.
    pub fn models_beyond(&self, told: &[(ServiceId, Model)]) -> Vec<(ServiceId, Model)> {
        let is_untold = |service: &ServiceId| told.iter().all(|(other, _)| other != service);
        let models = self.models.iter();
        let untold = models.filter(|(service, _)| is_untold(service));
        untold
            .map(|(service, model)| (service.clone(), *model))
            .collect()
    }
}

fn average(work: impl ExactSizeIterator<Item = Work>) -> Work {
    let count = u32::try_from(work.len()).unwrap_or(u32::MAX).max(1);
    let sum = work.fold(Work::default(), Work::with);
    Work {
        requests: sum.requests / count,
        prefill_tokens: sum.prefill_tokens / count,
        work_ms: sum.work_ms.map(|work_ms| work_ms / count),
    }
}
