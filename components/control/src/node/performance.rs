//! What the upstreams of each service do, as learned from the entries' samples.

use std::time::{Duration, Instant};

use ::performance::{Learner, Model, Objective, Sample};
use config::Text;
use config::ids::ServiceId;
use indexmap::IndexMap;

/// Learners of all services.
#[derive(Debug, Default)]
pub(super) struct Performance {
    learners: IndexMap<ServiceId, Learner>,
}

impl Performance {
    /// Records the samples of an entry, and the models that it has from an earlier leader.
    pub(super) fn record(
        &mut self,
        samples: &[(ServiceId, Vec<Sample>)],
        models: &[(ServiceId, Model)],
        now: Instant,
    ) {
        for (service, model) in models {
            self.learner(service).adopt(*model);
        }
        for (service, samples) in samples {
            self.learner(service).add(samples, now);
        }
    }

    /// Returns the models of all services that are known.
    pub(super) fn models(&mut self, text: &Text, now: Instant) -> Vec<(ServiceId, Model)> {
        let learners = self.learners.iter_mut();
        let models = learners.filter_map(|(service, learner)| {
            let model = learner.model(batch(text, service), now)?;
            Some((service.clone(), model))
        });
        models.collect()
    }

    /// Returns the model of a service; `None` if it is not known.
    pub(super) fn model(&mut self, service: &str, text: &Text, now: Instant) -> Option<Model> {
        let learner = self.learners.get_mut(service)?;
        learner.model(batch(text, service), now)
    }

    fn learner(&mut self, service: &ServiceId) -> &mut Learner {
        self.learners.entry(service.clone()).or_default()
    }
}

/// Returns the requests that an engine of the service runs at the same time, as far as the text says.
fn batch(text: &Text, service: &str) -> u32 {
    let service = text.services.get(service);
    let engine = service.and_then(|service| service.engine.as_ref());
    engine.map_or(u32::MAX, |engine| engine.batch)
}

/// Returns the strictest targets of the routes to a service, whose upstreams run `batch` requests at
/// the same time.
pub(super) fn objective(text: &Text, service: &str, batch: u32) -> Option<Objective> {
    let routes = || {
        text.ingress
            .routes
            .iter()
            .filter(|route| route.may_select(service))
    };
    let pauses = routes().map(|route| route.gap);
    let pause = pauses.filter(|pause| !pause.is_zero()).min();
    Some(Objective {
        first_event: routes().map(|route| route.target).min()?,
        pause: pause.unwrap_or(Duration::ZERO),
        batch,
    })
}
