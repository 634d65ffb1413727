//! Roll-outs that operators order: the traffic of a service moves to one version of its upstreams.

use compact_str::CompactString;
use config::ids::ServiceId;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use upstream::Software;

use crate::{Millis, Position};

/// Services whose newest roll-out is kept.
pub const MAX_ROLLOUTS: usize = 1_024;
/// Time after its deadline within which the same order counts as sent again, not as a new one: an
/// operator who got no answer repeats an order for seconds.
pub const REPEAT_MS: u64 = 30_000;

/// Number of a roll-out; larger for each later one.
pub type Number = u64;

/// An operator's order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Service whose traffic moves.
    pub service: ServiceId,
    /// Version to which it moves.
    pub to: Software,
    /// Time from the order to the deadline, in milliseconds.
    pub duration_ms: u64,
}

/// Phase of a roll-out.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// The new version gets a small share and is judged.
    Canary,
    /// It was found good, and gets a part of the traffic.
    Moving,
    /// It gets all new requests, and those of the old versions end.
    Moved,
    /// The old versions may stop.
    Completed,
    /// The new version gets no requests.
    RolledBack,
}

impl Phase {
    /// Reports whether no other phase follows.
    pub fn is_final(self) -> bool {
        matches!(self, Phase::Completed | Phase::RolledBack)
    }

    /// Reports whether `next` may follow.
    fn allows(self, next: Phase) -> bool {
        match (self, next) {
            (Phase::Completed | Phase::RolledBack, _) => false,
            (_, Phase::RolledBack) => true,
            (Phase::Canary, Phase::Moving | Phase::Moved) => true,
            (Phase::Moving, Phase::Moved) => true,
            (Phase::Moved, Phase::Completed) => true,
            _ => false,
        }
    }
}

/// The next phase of a roll-out.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Advance {
    /// Service of the roll-out.
    pub service: ServiceId,
    /// Number of the roll-out.
    pub number: Number,
    /// Phase that follows.
    pub phase: Phase,
    /// Why, with the evidence.
    pub reason: CompactString,
}

/// A roll-out.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rollout {
    /// Number of the roll-out.
    pub number: Number,
    /// Version to which the traffic moves.
    pub to: Software,
    /// Time from the order to the deadline, in milliseconds.
    pub duration_ms: u64,
    /// When the order was recorded.
    pub begun_at: Millis,
    /// Current phase.
    pub phase: Phase,
    /// When it began.
    pub phase_at: Millis,
    /// Why it began, with the evidence; empty for the first one.
    pub reason: CompactString,
}

impl Rollout {
    /// Returns the deadline.
    pub fn deadline(&self) -> Millis {
        self.begun_at.saturating_add(self.duration_ms)
    }

    /// Reports whether `order` is the one that began this roll-out, sent again.
    fn is_repeated_by(&self, order: &Order, now: Millis) -> bool {
        let is_same = self.to == order.to && self.duration_ms == order.duration_ms;
        let is_recent = now < self.deadline().saturating_add(REPEAT_MS);
        is_same && (!self.phase.is_final() || is_recent)
    }
}

/// Outcome of an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The roll-out with this number is recorded, now or by the same order before.
    Begun(Number),
    /// Another roll-out of the service, to this version, is in progress.
    InProgress(Software),
}

/// The newest roll-out of each service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Rollouts {
    services: IndexMap<ServiceId, Rollout>,
}

impl Rollouts {
    /// Returns the newest roll-out of a service.
    pub fn get(&self, service: &str) -> Option<&Rollout> {
        self.services.get(service)
    }

    /// Returns the newest roll-outs of all services.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceId, &Rollout)> {
        self.services.iter()
    }

    /// Returns the outcome of an order that would change nothing.
    pub fn outcome_without_change(&self, order: &Order, now: Millis) -> Option<Outcome> {
        match self.get(&order.service)? {
            known if known.is_repeated_by(order, now) => Some(Outcome::Begun(known.number)),
            known if !known.phase.is_final() => Some(Outcome::InProgress(known.to.clone())),
            _ => None,
        }
    }

    pub(crate) fn record(&mut self, now: Millis, position: Position, order: Order) -> Outcome {
        if let Some(outcome) = self.outcome_without_change(&order, now) {
            return outcome;
        }
        self.services.shift_remove(&order.service);
        while self.services.len() >= MAX_ROLLOUTS {
            let mut rollouts = self.services.values();
            let ended = rollouts.position(|rollout| rollout.phase.is_final());
            self.services.shift_remove_index(ended.unwrap_or(0));
        }
        let number = position.fence();
        let rollout = Rollout {
            number,
            to: order.to,
            duration_ms: order.duration_ms,
            begun_at: now,
            phase: Phase::Canary,
            phase_at: now,
            reason: CompactString::default(),
        };
        self.services.insert(order.service, rollout);
        Outcome::Begun(number)
    }

    /// Begins the next phase of a roll-out. Reports whether it has begun: a phase that can't follow
    /// the current one, or of another roll-out, changes nothing.
    pub(crate) fn advance(&mut self, now: Millis, advance: Advance) -> bool {
        let rollout = self.services.get_mut(&advance.service);
        let rollout = rollout.filter(|rollout| {
            rollout.number == advance.number && rollout.phase.allows(advance.phase)
        });
        let Some(rollout) = rollout else {
            return false;
        };
        rollout.phase = advance.phase;
        rollout.phase_at = now;
        rollout.reason = advance.reason;
        true
    }
}
