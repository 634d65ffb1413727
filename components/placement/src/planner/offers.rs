//! Offers of the slots to one service.

use compact_str::{CompactString, format_compact};
use config::ids::ServiceId;
use config::text::Class;
use indexmap::IndexMap;

use super::Planner;
use crate::slot::max_instances;
use crate::{Alternative, Inputs, Instance, Offer, Settings, Slot};

/// Maximum number of alternatives in a decision.
const MAX_ALTERNATIVES: usize = 3;

/// The offers of all slots to one service.
pub(super) struct Offers {
    pub(super) offers: Vec<Offer>,
    /// For each offer, why the slot has no further instances; empty if it has.
    notes: Vec<CompactString>,
}

impl Offers {
    pub(super) fn new(
        planner: &Planner,
        name: &ServiceId,
        instances: &[&Instance],
        inputs: &Inputs<'_>,
        settings: &Settings,
        reserved: &IndexMap<Slot, u32>,
    ) -> Self {
        let mut offers = Vec::new();
        let mut notes = Vec::new();
        for (slot, cost) in Slot::all(inputs.text) {
            let price = inputs.prices.get(&slot).copied().unwrap_or(cost.price);
            let held = instances
                .iter()
                .filter(|i| i.slot == slot && i.provides_capacity());
            let held = held.count() as u32;
            let taken = reserved.get(&slot).copied().unwrap_or(0);
            let available = max_instances(&cost, price).saturating_sub(taken);
            let backoff = planner.backoffs.get(&(slot.clone(), name.clone()));
            let wait = backoff.and_then(|backoff| backoff.remaining(inputs.now));
            let (limit, note) = match wait {
                Some(wait) => {
                    let seconds = wait.as_secs().max(1);
                    let note = format_compact!("starts refused, next try in {seconds} s");
                    (available.min(held), note)
                }
                None if available <= held => (available, "limit reached".into()),
                None => (available, CompactString::default()),
            };
            let new_price = effective_price(planner, &slot, price, settings);
            offers.push(Offer {
                slot,
                held_price: new_price * (1.0 - settings.switching_margin),
                new_price,
                held,
                limit,
            });
            notes.push(note);
        }
        Offers { offers, notes }
    }

    /// Returns the price per hour of a slot, including the expected cost of reclaims.
    pub(super) fn price(&self, slot: &Slot) -> f64 {
        let offer = self.offers.iter().find(|offer| offer.slot == *slot);
        offer.map_or(0.0, |offer| offer.new_price)
    }

    /// Returns the cheapest slots that were considered instead of `chosen`, with the reasons.
    pub(super) fn alternatives(&self, chosen: &Slot) -> Vec<Alternative> {
        let price = self.price(chosen);
        let pairs = self.offers.iter().zip(&self.notes);
        let mut others: Vec<Alternative> = pairs
            .filter(|(offer, _)| offer.slot != *chosen)
            .map(|(offer, note)| Alternative {
                slot: offer.slot.clone(),
                price: offer.new_price,
                reason: match offer {
                    _ if !note.is_empty() => note.clone(),
                    Offer { new_price, .. } if *new_price >= price => "dearer".into(),
                    Offer { slot, .. } if slot.class != chosen.class => {
                        "a share of the capacity is on demand".into()
                    }
                    _ => "its data centre already has as many as may be lost".into(),
                },
            })
            .collect();
        others.sort_by(|a, b| a.price.total_cmp(&b.price));
        others.truncate(MAX_ALTERNATIVES);
        others
    }
}

/// Returns `price` with the expected cost of reclaims.
fn effective_price(planner: &Planner, slot: &Slot, price: f64, settings: &Settings) -> f64 {
    let history = planner.histories.get(slot);
    match (slot.class, history) {
        (Class::Reclaimable, Some(history)) => {
            price * (1.0 + history.rate() * settings.reclaim_hours)
        }
        _ => price,
    }
}
