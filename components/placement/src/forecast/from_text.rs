//! Forecasts of a text that has not been in force yet.

use config::Text;
use config::ids::ServiceId;
use config::text::{Class, Service};
use indexmap::IndexMap;

use super::{Assumptions, Forecast, Line, Range};
use crate::slot::max_instances;
use crate::{Allocation, Need, Offer, Settings, Slot, allocate};

/// Days that are simulated so that the daily cycle repeats itself; only the last one is counted.
const SIMULATED_DAYS: usize = 3;

/// Instance hours by slot and service.
type Hours = IndexMap<(Slot, ServiceId), f64>;

/// Returns the forecast of a month under `text`, for which instances are allocated as the planner
/// does.
pub fn from_text(text: &Text, assumptions: &Assumptions) -> Forecast {
    let hours = |demand| month_hours(text, assumptions, demand);
    let low = hours(assumptions.low_demand);
    let middle = hours(1.0);
    let high = hours(assumptions.high_demand);
    let mut keys: Vec<_> = middle.keys().chain(low.keys()).chain(high.keys()).collect();
    keys.sort_by_key(|(slot, service)| (&slot.data_centre, slot.class, service));
    keys.dedup();
    let lines = keys.into_iter().map(|key| {
        let hours_of = |hours: &Hours| hours.get(key).copied().unwrap_or(0.0);
        let (low_hours, middle_hours, high_hours) =
            (hours_of(&low), hours_of(&middle), hours_of(&high));
        let served = Range {
            low: low_hours.min(middle_hours).min(high_hours),
            middle: middle_hours,
            high: low_hours.max(middle_hours).max(high_hours),
        };
        line(text, assumptions, key, served)
    });
    Forecast {
        days: assumptions.days,
        lines: lines.collect(),
    }
}

/// Returns the forecast of one service in one slot from the hours in which it serves.
fn line(
    text: &Text,
    assumptions: &Assumptions,
    (slot, service): &(Slot, ServiceId),
    served: Range,
) -> Line {
    let cost = Slot::all(text)
        .find(|(s, _)| s == slot)
        .map(|(_, cost)| cost);
    let price = cost.map_or(0.0, |cost| cost.price);
    let lost = lost_share(slot.class, assumptions);
    let hours = Range {
        low: served.low,
        middle: served.middle * (1.0 + lost),
        high: served.high * (1.0 + 2.0 * lost),
    };
    Line {
        slot: slot.clone(),
        service: service.clone(),
        hours,
        price,
        spend: hours * price,
        reclaim_losses: served.middle * lost * price,
        growth: 0.0,
    }
}

/// Returns the share by which reclaims increase the instance hours.
fn lost_share(class: Class, assumptions: &Assumptions) -> f64 {
    match class {
        Class::Reclaimable => assumptions.reclaims_per_hour * assumptions.replacement_hours,
        Class::OnDemand => 0.0,
    }
}

/// Returns the instance hours of a month with `demand` times the expected demand.
fn month_hours(text: &Text, assumptions: &Assumptions, demand: f64) -> Hours {
    let settings = Settings::for_objective(text.objective);
    let mut hours = Hours::new();
    let mut current: IndexMap<&ServiceId, (u32, Allocation)> = IndexMap::new();
    for day in 0..SIMULATED_DAYS {
        for share in assumptions.daily {
            let mut reserved: IndexMap<Slot, u32> = IndexMap::new();
            for (name, service) in &text.services {
                let (capacity, previous) = current.entry(name).or_default();
                let rate = service.expected_requests_per_second * share * demand;
                *capacity = size(service, rate, *capacity, &settings);
                let offers = offers(text, assumptions, &settings, previous, &reserved);
                let need = Need {
                    capacity: *capacity,
                    on_demand: (f64::from(*capacity) * settings.on_demand_share).ceil() as u32,
                    limit: service.max_instances,
                };
                *previous = allocate(&offers, need);
                for (slot, count) in &previous.counts {
                    *reserved.entry(slot.clone()).or_default() += count;
                    if day + 1 == SIMULATED_DAYS {
                        let key = (slot.clone(), name.clone());
                        let days = f64::from(assumptions.days);
                        *hours.entry(key).or_default() += f64::from(*count) * days;
                    }
                }
            }
        }
    }
    hours
}

/// Returns the capacity for a rate of requests per second: `current`, as far as it lies between the
/// headroom and the surplus of the settings.
fn size(service: &Service, rate: f64, current: u32, settings: &Settings) -> u32 {
    let per_instance = service
        .requests_per_second_per_instance
        .max(f64::MIN_POSITIVE);
    let min = service.min_instances.max(1);
    let max = service.max_instances.max(min);
    let count = |margin: f64| ((rate * margin / per_instance).ceil() as u32).clamp(min, max);
    let enough = count(settings.surplus);
    current.clamp(count(settings.headroom).min(enough), enough)
}

/// Returns the offers of all slots to a service whose current allocation is `previous`.
fn offers(
    text: &Text,
    assumptions: &Assumptions,
    settings: &Settings,
    previous: &Allocation,
    reserved: &IndexMap<Slot, u32>,
) -> Vec<Offer> {
    let offer = |(slot, cost): (Slot, config::text::Cost)| {
        let risk = match slot.class {
            Class::Reclaimable => assumptions.reclaims_per_hour * settings.reclaim_hours,
            Class::OnDemand => 0.0,
        };
        let new_price = cost.price * (1.0 + risk);
        let taken = reserved.get(&slot).copied().unwrap_or(0);
        Offer {
            held_price: new_price * (1.0 - settings.switching_margin),
            new_price,
            held: previous.counts.get(&slot).copied().unwrap_or(0),
            limit: max_instances(&cost, cost.price).saturating_sub(taken),
            slot,
        }
    };
    Slot::all(text).map(offer).collect()
}
