//! Routing policies: the product's router and baselines.

use std::time::Instant;

use config::ids::UpstreamId;
use rand::RngExt;
use rand::rngs::StdRng;
use routing::{Choice, Refusal, Request, Router};
use upstream::{Route, Routes};

use crate::workload::mix;

/// Leading blocks whose last hash is the key of [`Policy::Affinity`].
const AFFINITY_BLOCKS: usize = 32;

/// Routing policy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The product's router, `routing::Router`.
    Chervilloft,
    /// A random engine.
    Random,
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the least reported load plus the entry's requests since the report.
    LeastLoad,
    /// Rendezvous hashing on the prefix.
    Affinity,
}

impl Policy {
    /// All policies, the product's first.
    pub const ALL: [Policy; 5] = [
        Policy::Chervilloft,
        Policy::Random,
        Policy::RoundRobin,
        Policy::LeastLoad,
        Policy::Affinity,
    ];

    /// Returns the name that the table prints and the option `--policy` accepts.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Chervilloft => "chervilloft",
            Policy::Random => "random",
            Policy::RoundRobin => "round robin",
            Policy::LeastLoad => "least load",
            Policy::Affinity => "affinity",
        }
    }
}

/// Entry with the product's router and the state of the baselines.
pub(crate) struct Entry {
    pub(crate) router: Router,
    pub(crate) routes: Routes,
    /// Counter of [`Policy::RoundRobin`], which chooses the engine at this index modulo the number
    /// of engines.
    round_robin_counter: usize,
    /// Requests of this entry since the last report, by engine.
    sent: indexmap::IndexMap<UpstreamId, u32>,
}

/// Decision on a request.
pub(crate) enum Decision {
    /// The request goes to an engine; the choice is the router's, if it made it.
    Engine(UpstreamId, Option<Choice>),
    /// The request is refused.
    Refused,
}

impl Entry {
    pub(crate) fn new(router: Router, round_robin_counter: usize) -> Self {
        Entry {
            router,
            routes: Routes::default(),
            round_robin_counter,
            sent: indexmap::IndexMap::new(),
        }
    }

    /// Clears the requests since the last report; the reports that have arrived include them.
    pub(crate) fn clear_sent(&mut self) {
        self.sent.clear();
    }

    /// Chooses an engine for `request` by `policy`.
    pub(crate) fn choose(
        &mut self,
        policy: Policy,
        request: &Request<'_>,
        now: Instant,
        rng: &mut StdRng,
    ) -> Decision {
        if policy == Policy::Chervilloft {
            return match self.router.choose(request, now) {
                Ok(choice) => {
                    self.router.record_dispatch(&choice, request, now);
                    Decision::Engine(choice.upstream.clone(), Some(choice))
                }
                Err(Refusal::Overloaded { .. } | Refusal::NoUpstream) => Decision::Refused,
                Err(Refusal::DependencyDown { .. }) => Decision::Refused,
            };
        }
        let usable = |route: &&Route| {
            let upstream = &route.announcement.upstream;
            route.takes_work(now) && !request.exclude.contains(upstream)
        };
        let routes: Vec<&Route> = self
            .routes
            .for_service(request.service)
            .filter(usable)
            .collect();
        if routes.is_empty() {
            return Decision::Refused;
        }
        let sent = |route: &Route| self.sent.get(&route.announcement.upstream).copied();
        let index = match policy {
            Policy::Random | Policy::Chervilloft => rng.random_range(0..routes.len()),
            Policy::RoundRobin => {
                self.round_robin_counter += 1;
                self.round_robin_counter % routes.len()
            }
            Policy::LeastLoad => {
                let start = rng.random_range(0..routes.len());
                let load = |index: &usize| {
                    let load = routes[*index].announcement.load;
                    load.running + load.waiting + sent(routes[*index]).unwrap_or(0)
                };
                let order = (0..routes.len()).map(|n| (start + n) % routes.len());
                order.min_by_key(load).unwrap_or(0)
            }
            Policy::Affinity => {
                let last = request.blocks.len().min(AFFINITY_BLOCKS);
                let key = last.checked_sub(1).map_or(0, |last| request.blocks[last]);
                let weight = |index: &usize| {
                    let port = u64::from(routes[*index].announcement.address.port());
                    mix(key ^ mix(port))
                };
                (0..routes.len()).max_by_key(weight).unwrap_or(0)
            }
        };
        let upstream = routes[index].announcement.upstream.clone();
        *self.sent.entry(upstream.clone()).or_default() += 1;
        Decision::Engine(upstream, None)
    }
}
