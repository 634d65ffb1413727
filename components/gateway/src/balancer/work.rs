//! Which services are balanced by work.

use config::ids::ServiceId;

use super::Balancer;

impl Balancer {
    /// Reports whether the requests of a service are balanced by their work.
    pub fn is_balanced_by_work(&self, service: &ServiceId) -> bool {
        self.by_work.contains(service)
    }

    /// Balances the requests of a service by their work.
    pub fn balance_by_work(&mut self, service: &ServiceId) {
        self.by_work.insert(service.clone());
    }
}
