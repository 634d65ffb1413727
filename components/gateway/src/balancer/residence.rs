//! Which engines have which shared parts, as far as this entry has sent them there.

use std::time::{Duration, Instant};

use config::ids::{Incarnation, UpstreamId};
use indexmap::IndexMap;

use super::prefixes;
use crate::Prompt;

/// Time for which an engine counts as having the parts that were sent there. Engines evict what was
/// not used for some half a minute at full load.
const LIFETIME: Duration = Duration::from_secs(20);
/// Largest number of prefixes. An entry sees some requests a second, so that few of them are older
/// than [`LIFETIME`].
const MAX_PREFIXES: usize = 1_024;
/// Engines kept for each prefix; the one that was used longest ago is dropped first.
const MAX_PLACES: usize = 3;

/// Engines to which shared parts were sent.
#[derive(Clone, Debug, Default)]
pub(super) struct Residence {
    prefixes: IndexMap<u64, Places>,
}

/// Engines that have a prefix.
type Places = [Option<Place>; MAX_PLACES];

/// An engine that has a prefix.
#[derive(Clone, Debug)]
pub(super) struct Place {
    pub(super) upstream: UpstreamId,
    pub(super) incarnation: Incarnation,
    /// When the request was sent.
    sent: Instant,
    /// When the engine is expected to have computed it. Nothing can be fetched there before.
    ready: Instant,
}

impl Place {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.sent) < LIFETIME
    }

    fn is_at(&self, upstream: &str, incarnation: Incarnation) -> bool {
        self.upstream == upstream && self.incarnation == incarnation
    }
}

impl Residence {
    /// Records that a prompt was sent to an engine, where it is expected to be computed at `ready`.
    pub(super) fn record(
        &mut self,
        prompt: &Prompt,
        (upstream, incarnation): (&UpstreamId, Incarnation),
        ready: Instant,
        now: Instant,
    ) {
        self.make_room(now);
        for (hash, _) in prefixes::shared(prompt) {
            let places = self.prefixes.entry(hash).or_default();
            let known = places.iter().flatten();
            let known = known
                .filter(|place| place.is_at(upstream, incarnation) && place.is_fresh(now))
                .map(|place| place.ready);
            let place = Place {
                upstream: upstream.clone(),
                incarnation,
                sent: now,
                ready: known.min().map_or(ready, |known| known.min(ready)),
            };
            let same = places
                .iter()
                .position(|place| place.as_ref().is_some_and(|p| p.upstream == *upstream));
            let oldest = || (0..MAX_PLACES).min_by_key(|i| places[*i].as_ref().map(|p| p.sent));
            if let Some(index) = same.or_else(oldest) {
                places[index] = Some(place);
            }
        }
    }

    /// Returns the leading tokens of a prompt's shared parts that an engine has, or is computing.
    pub(super) fn tokens_at(
        &self,
        prompt: &Prompt,
        (upstream, incarnation): (&str, Incarnation),
        now: Instant,
    ) -> u32 {
        let is_held = |hash: &u64| {
            let mut places = self.prefixes.get(hash).into_iter().flatten().flatten();
            places.any(|place| place.is_at(upstream, incarnation) && place.is_fresh(now))
        };
        let held = prefixes::shared(prompt).take_while(|(hash, _)| is_held(hash));
        held.map(|(_, tokens)| tokens).sum()
    }

    /// Returns the engines that have all shared parts of a prompt.
    pub(super) fn places(&self, prompt: &Prompt, now: Instant) -> impl Iterator<Item = &Place> {
        let places = prefixes::shared(prompt)
            .last()
            .and_then(|(hash, _)| self.prefixes.get(&hash));
        let places = places.into_iter().flatten().flatten();
        places.filter(move |place| place.is_fresh(now) && place.ready <= now)
    }

    /// Drops what an engine would be computing by now, as it has refused or failed.
    pub(super) fn forget_unready(&mut self, upstream: &str, now: Instant) {
        let slots = self.prefixes.values_mut().flatten();
        for slot in slots {
            let is_unready = |place: &Place| place.upstream == upstream && now < place.ready;
            if slot.as_ref().is_some_and(is_unready) {
                *slot = None;
            }
        }
    }

    /// Drops what is no longer fresh once there are [`MAX_PREFIXES`], and the oldest half if that is not
    /// enough. Amortized over the requests between, this costs little.
    fn make_room(&mut self, now: Instant) {
        if self.prefixes.len() < MAX_PREFIXES {
            return;
        }
        let is_fresh = |places: &Places| places.iter().flatten().any(|place| place.is_fresh(now));
        self.prefixes.retain(|_, places| is_fresh(places));
        if self.prefixes.len() > MAX_PREFIXES / 2 {
            let excess = self.prefixes.len() - MAX_PREFIXES / 2;
            self.prefixes.drain(..excess);
        }
    }
}
