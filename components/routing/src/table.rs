//! The routing table, which is replaced as a whole on each change.

use std::sync::Arc;

use compact_str::CompactString;
use config::Text;
use config::ids::{ServiceId, UpstreamId};
use config::text::{Class, Kind, Service};
use indexmap::IndexMap;
use upstream::{Announcement, Availability, Route, Routes, Served};

use crate::Settings;
use crate::candidate::Candidate;
use crate::tracker::Tracker;
use crate::weights::Weights;

/// The services and upstreams among which a router chooses.
#[derive(Debug, Default)]
pub(crate) struct Table {
    pub(crate) services: IndexMap<ServiceId, Group>,
    pub(crate) trackers: IndexMap<UpstreamId, Arc<Tracker>>,
}

/// The candidates of one service, and the values by which one of them is chosen.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) kind: Kind,
    pub(crate) weights: Weights,
    /// Latency target for the first token, in seconds.
    pub(crate) first_token_target: f64,
    /// Services that must have an upstream.
    pub(crate) depends_on: Vec<ServiceId>,
    /// Candidates by model or adapter name; a plain service has one list under the empty name.
    pub(crate) models: IndexMap<CompactString, Vec<Arc<Candidate>>>,
}

impl Table {
    /// Creates a table; trackers of upstreams with an unchanged incarnation are taken from `old`.
    pub(crate) fn new(text: &Text, routes: &Routes, settings: &Settings, old: &Table) -> Self {
        let mut table = Table::default();
        let max_price = max_price(text);
        for (name, service) in &text.services {
            let candidates: Vec<(&Route, Arc<Candidate>)> = routes
                .for_service(name)
                .map(|route| {
                    let tracker = old.tracker(route);
                    let announcement = &route.announcement;
                    table
                        .trackers
                        .insert(announcement.upstream.clone(), Arc::clone(&tracker));
                    let round_trip = round_trip(announcement, settings);
                    let price = price(text, announcement) / max_price;
                    let candidate = Candidate::new(route, round_trip, price, tracker);
                    (route, Arc::new(candidate))
                })
                .filter(|(route, _)| route.announcement.availability == Availability::Serving)
                .collect();
            let group = Group {
                kind: service.kind,
                weights: Weights::for_objective(text.objective),
                first_token_target: text.latency.first_token.as_secs_f64(),
                depends_on: service.depends_on.clone(),
                models: by_model(service, &candidates),
            };
            table.services.insert(name.clone(), group);
        }
        table
    }

    /// Returns the tracker of the route's upstream, or a new one if its incarnation is unknown.
    fn tracker(&self, route: &Route) -> Arc<Tracker> {
        let announcement = &route.announcement;
        let existing = self
            .trackers
            .get(&announcement.upstream)
            .filter(|tracker| tracker.incarnation == announcement.incarnation);
        existing.cloned().unwrap_or_else(|| {
            let blocks = announcement.capacity.cache_blocks as usize;
            let incarnation = announcement.incarnation;
            Arc::new(Tracker::new(incarnation, blocks, route.announced))
        })
    }
}

/// Returns the candidates of a service by model and adapter name.
fn by_model(
    service: &Service,
    candidates: &[(&Route, Arc<Candidate>)],
) -> IndexMap<CompactString, Vec<Arc<Candidate>>> {
    if service.kind == Kind::Plain {
        let all = candidates.iter().map(|(_, c)| Arc::clone(c)).collect();
        return IndexMap::from([(CompactString::default(), all)]);
    }
    let mut models = IndexMap::new();
    for model in &service.models {
        let names = std::iter::once(&model.name).chain(&model.adapters);
        for name in names {
            let serves_name = |served: &&Served| {
                let has_adapter = served.adapters.contains(name);
                served.model == model.name && (*name == model.name || has_adapter)
            };
            let candidates_with = |is_wanted: &dyn Fn(&Served) -> bool| -> Vec<Arc<Candidate>> {
                let matches = |route: &Route| {
                    let mut served = route.announcement.models.iter().filter(serves_name);
                    served.any(is_wanted)
                };
                let matching = candidates.iter().filter(|(route, _)| matches(route));
                matching.map(|(_, c)| Arc::clone(c)).collect()
            };
            let current = candidates_with(&|served| served.version == model.version);
            let usable = match current.is_empty() {
                // No engine has the version of the text yet; engines with any other version serve
                // until one has it.
                true => candidates_with(&|_| true),
                false => current,
            };
            models.insert(name.clone(), usable);
        }
    }
    models
}

/// Returns the round trip to an upstream, in seconds.
fn round_trip(announcement: &Announcement, settings: &Settings) -> f64 {
    match announcement.data_centre == settings.data_centre {
        true => settings.local_round_trip.as_secs_f64(),
        false => settings.remote_round_trip.as_secs_f64(),
    }
}

/// Returns the price per instance hour of an upstream's class and data centre, or 0 if unknown.
fn price(text: &Text, announcement: &Announcement) -> f64 {
    let data_centre = text.data_centres.get(&announcement.data_centre);
    data_centre.map_or(0.0, |data_centre| match announcement.class {
        Class::Reclaimable => data_centre.reclaimable.price,
        Class::OnDemand => data_centre.on_demand.price,
    })
}

/// Returns the highest price in the text, or the smallest positive number if all prices are 0, so
/// that it can be used as a divisor.
fn max_price(text: &Text) -> f64 {
    let prices = text
        .data_centres
        .values()
        .flat_map(|d| [d.reclaimable.price, d.on_demand.price]);
    prices.fold(f64::MIN_POSITIVE, f64::max)
}
