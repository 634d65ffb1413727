//! What entries tell each other of upstreams through the leader: their work there, and what engines do.

use config::ids::{ServiceId, UpstreamId};
use performance::Model;
use wire::{Work, WorkTable};

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
                let reported = upstream.reported_work;
                upstream.other_work = Work {
                    requests: all.requests.saturating_sub(reported.requests),
                    prefill_tokens: all.prefill_tokens.saturating_sub(reported.prefill_tokens),
                };
            }
        }
    }

    /// Applies the work of all entries in its short form.
    pub fn apply_work_table(&mut self, table: &WorkTable) {
        let names = self.upstreams.keys();
        let work = table.of(names.map(|name| (name.as_str(), name.clone())));
        self.apply_work(&work);
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
    let sum = work.fold(Work::default(), |sum, work| Work {
        requests: sum.requests.saturating_add(work.requests),
        prefill_tokens: sum.prefill_tokens.saturating_add(work.prefill_tokens),
    });
    Work {
        requests: sum.requests / count,
        prefill_tokens: sum.prefill_tokens / count,
    }
}
