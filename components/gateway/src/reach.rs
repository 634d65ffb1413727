//! Which services' upstreams this entry can connect to.
//!
//! An entry that is cut off can't tell this from a failure of all upstreams by itself. It states what
//! is out of its reach to the leader, which names entries that do reach it. Only connections count: an
//! upstream that accepts one and then stays silent is within reach.

mod probe;

use std::time::{Duration, Instant};

use config::ids::{ServiceId, UpstreamId};
use indexmap::{IndexMap, IndexSet};

pub(crate) use probe::{check, record, run};

/// Upstreams of a service in a row that accept no connection before the service counts as out of
/// reach; fewer if there are not as many.
const MIN_FAILED: usize = 3;
/// Time without a further failure after which earlier ones are forgotten.
const MEMORY: Duration = Duration::from_secs(5);

/// Connections that could not be opened, by service.
#[derive(Debug, Default)]
pub struct Reach {
    services: IndexMap<ServiceId, Failures>,
}

/// Failures to connect to a service's upstreams since the last connection was opened to one.
#[derive(Debug)]
struct Failures {
    upstreams: IndexSet<UpstreamId>,
    newest: Instant,
    is_lost: bool,
}

/// What a failure to connect shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Finding {
    /// It is the first one; the other upstreams should be checked.
    First,
    /// The service is out of reach now, and was not before.
    Lost,
    /// Nothing new.
    Known,
}

impl Reach {
    /// Records that `upstream`, one of `known` that serve the service, accepted no connection.
    pub fn record_failure(
        &mut self,
        service: &ServiceId,
        upstream: &UpstreamId,
        known: usize,
        now: Instant,
    ) -> Finding {
        let failures = self.services.entry(service.clone()).or_insert(Failures {
            upstreams: IndexSet::new(),
            newest: now,
            is_lost: false,
        });
        if !failures.is_lost && now.saturating_duration_since(failures.newest) >= MEMORY {
            failures.upstreams.clear();
        }
        let is_first = failures.upstreams.is_empty();
        failures.newest = now;
        failures.upstreams.insert(upstream.clone());
        let was_lost = failures.is_lost;
        failures.is_lost |= failures.upstreams.len() >= MIN_FAILED.min(known);
        match (was_lost, failures.is_lost) {
            (false, true) => Finding::Lost,
            (false, false) if is_first => Finding::First,
            _ => Finding::Known,
        }
    }

    /// Records that an upstream of the service accepted a connection. Reports whether the service
    /// was out of reach.
    pub fn record_success(&mut self, service: &str) -> bool {
        let failures = self.services.swap_remove(service);
        failures.is_some_and(|failures| failures.is_lost)
    }

    /// Reports whether no upstream of the service is within reach.
    pub fn is_lost(&self, service: &str) -> bool {
        let failures = self.services.get(service);
        failures.is_some_and(|failures| failures.is_lost)
    }

    /// Returns the services of which no upstream is within reach.
    pub fn lost(&self) -> Vec<ServiceId> {
        let lost = self
            .services
            .iter()
            .filter(|(_, failures)| failures.is_lost);
        lost.map(|(service, _)| service.clone()).collect()
    }
}
