//! Which engines are expected to have the shared parts of a prompt.

use std::iter::successors;
use std::time::Instant;

use config::ids::{DataCentreId, UpstreamId};
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::choice::Criteria;
use super::tenure::{self, Contender, Moments};
use super::upstream::Upstream;
use crate::call::PartId;

/// Most engines that are considered for one prompt: recent homes, the second place, and those to which
/// this entry sent the parts.
const MAX_HOLDERS: usize = 8;
/// Most recent homes that are considered.
const MAX_HOMES: usize = 4;
/// Share of a prompt's shared tokens that its second place is expected to have. Only parts that are
/// used much are sent there.
const SECOND_PLACE_SHARE: f64 = 0.5;
/// Expected share from which on an engine is named as the source of a fetch.
const MIN_SOURCE_SHARE: f64 = 0.2;

/// An engine that is expected to have shared parts of a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Holder {
    /// Position of the engine among the upstreams.
    pub(super) index: usize,
    /// Share of the shared tokens that it is expected to have.
    pub(super) share: f64,
    /// Whether this entry has sent the parts there, and is not deriving it from the homes alone.
    pub(super) is_known: bool,
}

/// The engines that are expected to have the shared parts of one prompt.
#[derive(Clone, Debug, Default)]
pub(super) struct Holders([Option<Holder>; MAX_HOLDERS]);

impl Holders {
    /// Returns the recent homes of `key`, and its last second place.
    pub(super) fn of_key(
        upstreams: &IndexMap<UpstreamId, Upstream>,
        criteria: &Criteria<'_>,
        key: PartId,
        is_same_place: impl Fn(&DataCentreId, &DataCentreId) -> bool,
        now: Instant,
    ) -> Self {
        let engines = upstreams.iter().enumerate();
        let engines = engines.filter(|(_, (_, u))| u.is_engine && u.service == *criteria.service);
        let mut contenders: Vec<Contender> = Vec::with_capacity(upstreams.len());
        for (index, (name, upstream)) in engines {
            let hash = xxh3_64_with_seed(name.as_bytes(), key);
            let of_engine = tenure::contenders((index, upstream), hash, now);
            contenders.extend(of_engine.into_iter().flatten());
        }
        let mut holders = Holders::default();
        let mut main: Option<(usize, Moments)> = None;
        for (index, home) in homes(&contenders) {
            holders.add(index, tenure::expected_share(home), false);
            if main.is_none_or(|(_, most)| home.count_ones() > most.count_ones()) {
                main = Some((index, home));
            }
        }
        let data_centre = |index: usize| &upstreams[index].data_centre;
        if let Some((main, _)) = main {
            let is_apart = |other: &&Contender| {
                other.index != main && !is_same_place(data_centre(main), data_centre(other.index))
            };
            if let Some(second) = highest(contenders.iter().filter(is_apart)) {
                let share = tenure::expected_share(second.eligible) * SECOND_PLACE_SHARE;
                holders.add(second.index, share, false);
            }
        }
        holders
    }

    /// Adds an engine, or raises the share of one that is known.
    pub(super) fn add(&mut self, index: usize, share: f64, is_known: bool) {
        let same = |holder: &Option<Holder>| holder.is_none_or(|holder| holder.index == index);
        if let Some(slot) = self.0.iter_mut().find(|slot| same(slot)) {
            let before = slot.map_or(0.0, |holder| holder.share);
            let was_known = slot.is_some_and(|holder| holder.is_known);
            *slot = Some(Holder {
                index,
                share: share.max(before),
                is_known: is_known || was_known,
            });
        }
    }

    /// Returns the share of the shared tokens that an engine is expected to have.
    pub(super) fn share_at(&self, index: usize) -> f64 {
        let mut holders = self.0.iter().flatten();
        let holder = holders.find(|holder| holder.index == index);
        holder.map_or(0.0, |holder| holder.share)
    }

    /// Returns the holder from which another engine may best fetch what it lacks: one that is known to
    /// have the parts if there is one, otherwise the one that most likely has them.
    pub(super) fn source_for(
        &self,
        index: usize,
        is_reachable: impl Fn(usize) -> bool,
    ) -> Option<Holder> {
        let holders = self.0.iter().flatten().filter(|holder| {
            holder.index != index && holder.share >= MIN_SOURCE_SHARE && is_reachable(holder.index)
        });
        let rank = |holder: &Holder| (holder.is_known, holder.share);
        holders.copied().max_by(|a, b| {
            rank(a)
                .partial_cmp(&rank(b))
                .unwrap_or(std::cmp::Ordering::Equal)
        })
    }
}

/// Returns the recent homes, each with the moments at which it was the home: those at which it was
/// eligible and no engine with a higher score was.
fn homes(contenders: &[Contender]) -> impl Iterator<Item = (usize, Moments)> {
    let below = |score: f64| highest(contenders.iter().filter(move |c| c.score < score));
    let first = below(f64::INFINITY).map(|home| (home, 0));
    let ranked = successors(first, move |(home, covered)| {
        let covered = covered | home.eligible;
        match covered {
            Moments::MAX => None,
            _ => below(home.score).map(|next| (next, covered)),
        }
    });
    let homes = ranked.map(|(home, covered)| (home.index, home.eligible & !covered));
    homes.filter(|(_, moments)| *moments != 0).take(MAX_HOMES)
}

fn highest<'c>(contenders: impl Iterator<Item = &'c Contender>) -> Option<&'c Contender> {
    contenders.max_by(|a, b| a.score.total_cmp(&b.score))
}
