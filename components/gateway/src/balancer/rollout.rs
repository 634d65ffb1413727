//! Which software versions of a service may take a request during a roll-out.

use std::time::{Duration, Instant};

use ::upstream::Software;
use config::ids::{ServiceId, UpstreamId};
use indexmap::{IndexMap, IndexSet};
use rollout::Stage;
use state::rollouts::Phase;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::upstream::Upstream;
use super::{Balancer, Criteria, is_candidate};

/// Age from which on what the leader told is stale.
const FRESHNESS: Duration = Duration::from_secs(2);
/// Number of values that a draw has.
const DRAWS: f64 = (1_u64 << 53) as f64;

/// What the leader told of the roll-outs.
#[derive(Debug, Default)]
pub(super) struct Rollouts {
    stages: IndexMap<ServiceId, Stage>,
    /// Versions that served outside a roll-out when the leader last told.
    established: IndexMap<ServiceId, IndexSet<Software>>,
    /// When the request was sent that the leader answered last.
    told_at: Option<Instant>,
}

/// Versions to which a request is sent.
#[derive(Clone, Copy, Debug)]
enum Versions<'a> {
    Any,
    New(&'a Software),
    Old(&'a Software),
    Established(&'a IndexSet<Software>),
}

impl Versions<'_> {
    fn contain(self, software: &Software) -> bool {
        match self {
            Versions::Any => true,
            Versions::New(to) => software == to,
            Versions::Old(to) => software != to,
            Versions::Established(versions) => versions.contains(software),
        }
    }
}

impl Rollouts {
    fn is_fresh(&self, now: Instant) -> bool {
        let age = self.told_at.map(|at| now.saturating_duration_since(at));
        age.is_some_and(|age| age < FRESHNESS)
    }

    /// Returns the versions to which a request is sent that no version is prescribed for.
    fn versions(&self, criteria: &Criteria<'_>, now: Instant) -> Versions<'_> {
        let is_fresh = self.is_fresh(now);
        let Some(stage) = self.stages.get(criteria.service) else {
            let established = self.established.get(criteria.service);
            return match established.filter(|_| !is_fresh) {
                // A roll-out may have been ordered to any other version since.
                Some(versions) => Versions::Established(versions),
                None => Versions::Any,
            };
        };
        let is_drawn = draw(criteria.hash, stage.number) < stage.share;
        // A request of the canary that is sent again goes to the old versions.
        let is_first = criteria.excluded.is_empty();
        let goes_to_new = match stage.phase {
            Phase::Canary => is_fresh && is_first && is_drawn,
            // The version was found good, and the old ones may stop while this entry is not told.
            Phase::Moving => is_drawn || !is_fresh,
            Phase::Moved | Phase::Completed => true,
            Phase::RolledBack => false,
        };
        match goes_to_new {
            true => Versions::New(&stage.to),
            false => Versions::Old(&stage.to),
        }
    }

    /// Reports whether a stream may go on at its version.
    fn may_go_on(&self, service: &ServiceId, software: &Software, now: Instant) -> bool {
        let stage = self.stages.get(service);
        let stage = stage.filter(|stage| stage.to == *software);
        stage.is_none_or(|stage| match stage.phase {
            Phase::Canary => self.is_fresh(now),
            Phase::Moving | Phase::Moved | Phase::Completed => true,
            Phase::RolledBack => false,
        })
    }
}

/// Returns a number from 0 to 1 that is the same for a request at all entries, and independent of
/// that in other roll-outs.
fn draw(hash: u64, number: u64) -> f64 {
    let mixed = xxh3_64_with_seed(&hash.to_le_bytes(), number);
    (mixed >> 11) as f64 / DRAWS
}

impl Balancer {
    /// Applies what the leader told of the roll-outs in answer to a report that was sent at `told_at`.
    /// Returns the stages that have changed.
    pub fn apply_rollouts(&mut self, stages: &[Stage], told_at: Instant) -> Vec<Stage> {
        let known = &self.rollouts.stages;
        let is_new = |stage: &&Stage| known.get(&stage.service) != Some(*stage);
        let changed = stages.iter().filter(is_new).cloned().collect();
        let named = stages.iter().map(|stage| (stage.service.clone(), stage));
        let mut established: IndexMap<ServiceId, IndexSet<Software>> = IndexMap::new();
        let stages: IndexMap<ServiceId, Stage> = named
            .map(|(service, stage)| (service, stage.clone()))
            .collect();
        for upstream in self.upstreams.values() {
            let stage = stages.get(&upstream.service);
            let is_judged = stage.is_some_and(|stage| {
                stage.to == upstream.software
                    && matches!(stage.phase, Phase::Canary | Phase::RolledBack)
            });
            if !is_judged {
                let versions = established.entry(upstream.service.clone()).or_default();
                if !versions.contains(&upstream.software) {
                    versions.insert(upstream.software.clone());
                }
            }
        }
        self.rollouts = Rollouts {
            stages,
            established,
            told_at: Some(told_at),
        };
        changed
    }

    /// Keeps the upstreams whose version may take the request. If no upstream of such a version is
    /// live, all are kept: an entry serves on when the operators stop the others too early.
    pub(super) fn keep_to_versions<'a>(
        &'a self,
        mut upstreams: Vec<(&'a UpstreamId, &'a Upstream)>,
        criteria: &Criteria<'_>,
        now: Instant,
    ) -> Vec<(&'a UpstreamId, &'a Upstream)> {
        if let Some(software) = criteria.software {
            if !self.rollouts.may_go_on(criteria.service, software, now) {
                upstreams.clear();
            }
            return upstreams;
        }
        let versions = self.rollouts.versions(criteria, now);
        if let Versions::Any = versions {
            return upstreams;
        }
        let is_kept = |upstream: &Upstream| versions.contain(&upstream.software);
        let any_kept = upstreams.iter().any(|(_, upstream)| is_kept(upstream));
        if any_kept || self.is_any_live(criteria, versions, now) {
            upstreams.retain(|(_, upstream)| is_kept(upstream));
        }
        upstreams
    }

    /// Reports whether an upstream of these versions is live, also if it takes no request now.
    fn is_any_live(&self, criteria: &Criteria<'_>, versions: Versions<'_>, now: Instant) -> bool {
        let untried = Criteria {
            excluded: &[],
            ..*criteria
        };
        self.upstreams.iter().any(|(name, upstream)| {
            is_candidate(name, upstream, &untried)
                && now < upstream.expires
                && versions.contain(&upstream.software)
        })
    }
}
