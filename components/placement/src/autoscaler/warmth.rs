//! How many instances of each slot have served long enough for their caches to be filled.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::Supply;
use crate::Slot;

/// The serving instances of the last seconds, by slot.
#[derive(Clone, Debug, Default)]
pub(super) struct Warmth {
    serving: IndexMap<Slot, VecDeque<(Instant, u32)>>,
    started: Option<Instant>,
}

impl Warmth {
    /// Records the supply, and drops what is older than `warm_time`. What serves at the first call
    /// counts as warm. Caches fill only while there is demand.
    pub(super) fn record(
        &mut self,
        supply: &IndexMap<Slot, Supply>,
        has_demand: bool,
        warm_time: Duration,
        now: Instant,
    ) {
        let started = *self.started.get_or_insert(now);
        for slot in supply.keys() {
            let unknown_until_now = match started == now {
                true => VecDeque::new(),
                false => VecDeque::from([(now, 0)]),
            };
            self.serving
                .entry(slot.clone())
                .or_insert(unknown_until_now);
        }
        for (slot, history) in &mut self.serving {
            let serving = supply.get(slot).map_or(0, |supply| supply.serving);
            let warm = history.iter().map(|(_, serving)| *serving).min();
            match warm.filter(|_| !has_demand) {
                Some(warm) => *history = VecDeque::from([(now, warm.min(serving))]),
                None => history.push_back((now, serving)),
            }
            history.retain(|(at, _)| now.saturating_duration_since(*at) <= warm_time);
        }
    }

    /// Returns the instances of a slot that are warm.
    pub(super) fn warm(&self, slot: &Slot) -> u32 {
        let history = self.serving.get(slot).into_iter().flatten();
        history.map(|(_, serving)| *serving).min().unwrap_or(0)
    }
}
