//! Demand of callers for each service since the process started.

use config::ids::ServiceId;
use indexmap::IndexMap;
use wire::DemandTotals;

use crate::Prompt;

/// Totals of the admitted requests by service.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    services: IndexMap<ServiceId, DemandTotals>,
}

impl Demand {
    /// Counts an admitted request.
    pub(crate) fn add(&mut self, service: &ServiceId, prompt: Option<&Prompt>) {
        let total = self.services.entry(service.clone()).or_default();
        total.requests += 1;
        if let Some(prompt) = prompt {
            total.input_tokens += u64::from(prompt.input_tokens);
            total.output_tokens += u64::from(prompt.output_tokens);
        }
    }

    /// Returns the total of each service, for a report to the leader.
    pub(crate) fn report(&self) -> Vec<(ServiceId, DemandTotals)> {
        let row = |(service, total): (&ServiceId, &DemandTotals)| (service.clone(), *total);
        self.services.iter().map(row).collect()
    }
}
