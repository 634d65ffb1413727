//! Usage of instances, for the ledger.

use indexmap::IndexMap;
use placement::Slot;
use state::ledger::{Item, Line, Usage};

use super::cloud::{Instance, State};

/// Micro-units in one currency unit.
const MICROS_PER_UNIT: f64 = 1_000_000.0;

/// Returns the usage from `from` to `to` (Unix time in milliseconds) of the instances that run at
/// `to`, split into spans at each instance's start. Instances that ended in between are not
/// counted.
pub(super) fn usage(
    from: u64,
    to: u64,
    instances: &[Instance],
    prices: &IndexMap<Slot, f64>,
) -> Vec<Usage> {
    let billed = |i: &&Instance| matches!(i.state, State::Starting | State::Running);
    let started = |i: &Instance| to.saturating_sub(i.started_ms_ago);
    let billed: Vec<&Instance> = instances.iter().filter(billed).collect();
    let mut bounds: Vec<u64> = billed.iter().map(|i| started(i)).collect();
    bounds.retain(|at| (from..to).contains(at));
    bounds.extend([from, to]);
    bounds.sort_unstable();
    bounds.dedup();
    let span = |pair: &[u64]| Usage {
        from: pair[0],
        to: pair[1],
        lines: lines(billed.iter().filter(|i| started(i) <= pair[0]), prices),
    };
    bounds.windows(2).map(span).collect()
}

fn lines<'a>(
    instances: impl Iterator<Item = &'a &'a Instance>,
    prices: &IndexMap<Slot, f64>,
) -> Vec<Line> {
    let mut counts: IndexMap<Item, u32> = IndexMap::new();
    for instance in instances {
        let item = Item {
            data_centre: instance.data_centre.clone(),
            class: instance.class,
            service: instance.service.clone(),
        };
        *counts.entry(item).or_default() += 1;
    }
    let line = |(item, instances): (Item, u32)| {
        let slot = Slot {
            data_centre: item.data_centre.clone(),
            class: item.class,
        };
        let price = prices.get(&slot).copied().unwrap_or(0.0);
        Line {
            item,
            instances,
            price_micros: (price.max(0.0) * MICROS_PER_UNIT).round() as u64,
        }
    };
    counts.into_iter().map(line).collect()
}
