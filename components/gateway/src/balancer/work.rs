//! Expected work of requests, in milliseconds of a usual upstream of their service.

use config::ids::ServiceId;

use super::{Balancer, Rates};
use crate::Prompt;

impl Balancer {
    /// Reports whether a service is balanced by work; otherwise it is balanced by requests.
    pub fn is_balanced_by_work(&self, _service: &ServiceId) -> bool {
        false
    }

    /// Returns the expected work of a request, in milliseconds of a usual upstream, if nothing of
    /// its prompt is cached. `prompt` is `None` for a plain call.
    pub fn request_work_ms(&self, service: &ServiceId, prompt: Option<&Prompt>) -> f64 {
        let Some(prompt) = prompt else {
            return self.settings.plain_call_ms;
        };
        let rates: Rates = self.rates(service);
        let prefill = f64::from(prompt.input_tokens) * rates.prefill_ms_per_token;
        let model = self.models.get(service);
        prefill + model.map_or(0.0, |model| model.events * model.event_ms)
    }
}
