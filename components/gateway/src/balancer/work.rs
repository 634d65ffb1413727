//! The work of requests, and the services that are balanced by it.

use config::ids::ServiceId;

use super::Balancer;
use crate::Prompt;

impl Balancer {
    /// Reports whether a service is balanced by work.
    pub fn is_balanced_by_work(&self, service: &ServiceId) -> bool {
        self.by_work.contains(service)
    }

    /// Balances a service by work.
    pub fn balance_by_work(&mut self, service: &ServiceId) {
        self.by_work.insert(service.clone());
    }

    /// Returns the expected time of a request at a usual engine of the service that is at rest, in
    /// milliseconds.
    pub fn request_work_ms(&self, service: &ServiceId, prompt: Option<&Prompt>) -> f64 {
        let Some(prompt) = prompt else {
            return self.settings.plain_call_ms;
        };
        let model = self.models.get(service);
        let assumed = || performance::Model::assumed(0.0, f64::from(prompt.output_tokens));
        let model = model.copied().unwrap_or_else(assumed);
        let events = f64::from(prompt.output_tokens).min(model.events);
        self.prompt_work_ms(service, prompt) + events * model.event_ms
    }
}
