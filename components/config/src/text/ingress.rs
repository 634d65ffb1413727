//! Routes by host and path, and limits on requests of callers.

mod fault;
mod limits;
mod route;

pub use fault::Fault;
pub use limits::Limits;
pub use route::{Kind, Route, Split};

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::{Account, Service};
use crate::ids::{AccountId, ServiceId};

/// Routes by host and path, and limits on requests.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Ingress {
    /// Routes. If several match a request, the one with the longest prefix is used.
    pub routes: Vec<Route>,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
}

impl Ingress {
    /// Checks routes and account keys. Returns the faults of the routes in their order, then
    /// duplicate keys; no faults mean that the text can be put in force.
    pub fn validate(
        &self,
        services: &IndexMap<ServiceId, Service>,
        accounts: &IndexMap<AccountId, Account>,
    ) -> Vec<Fault> {
        let mut locations = IndexSet::new();
        let mut faults = Vec::new();
        for (index, route) in self.routes.iter().enumerate() {
            if !locations.insert((&route.host, &route.prefix)) {
                faults.push(Fault::DuplicateRoute(index));
            }
            if let Some(split) = route
                .splits
                .iter()
                .find(|s| !services.contains_key(&s.service))
            {
                faults.push(Fault::UnknownService(index, split.service.clone()));
            }
            if route.splits.iter().all(|split| split.weight == 0) {
                faults.push(Fault::ZeroWeight(index));
            }
            if route.timeout.is_zero() {
                faults.push(Fault::ZeroTimeout(index));
            }
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                faults.push(Fault::InvalidPrefix(index));
            }
        }
        faults.extend(duplicate_keys(accounts));
        faults
    }
}

fn duplicate_keys(accounts: &IndexMap<AccountId, Account>) -> Vec<Fault> {
    let mut owners: IndexMap<&CompactString, &AccountId> = IndexMap::new();
    let mut faults = Vec::new();
    for (name, account) in accounts {
        for key in &account.keys {
            match owners.insert(key, name) {
                Some(other) if other != name => {
                    faults.push(Fault::DuplicateKey(other.clone(), name.clone()));
                }
                _ => {}
            }
        }
    }
    faults
}
