//! What a node is in its term.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::Member;
use crate::ids::{Index, Round};
use crate::progress::Progress;

use super::read::Barrier;
use super::repair::Repair;
use super::transfer::Transfer;

/// Role of a node.
#[derive(Debug)]
pub(super) enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether votes would be granted.
    Asking(IndexSet<Member>),
    /// Asks for votes.
    Candidate(IndexSet<Member>),
    /// Leads.
    Leader(Box<Leader>),
}

/// What a leader keeps.
#[derive(Debug)]
pub(super) struct Leader {
    /// When it was elected.
    pub(super) since: Duration,
    /// First entry of its term.
    pub(super) first: Index,
    /// What it knows of each other member.
    pub(super) progress: IndexMap<Member, Progress>,
    /// Recent rounds and when each began.
    pub(super) rounds: VecDeque<(Round, Duration)>,
    /// When the next heartbeat is due.
    pub(super) heartbeat_at: Duration,
    /// Whether a read barrier waits for a round that has not begun.
    pub(super) round_due: bool,
    /// Bytes of entries that are not committed.
    pub(super) uncommitted_bytes: usize,
    /// Read barriers that wait for a round.
    pub(super) barriers: VecDeque<Barrier>,
    /// Handing over of the place, where one is under way.
    pub(super) transfer: Option<Transfer>,
    /// Repair under way.
    pub(super) repair: Option<Repair>,
    /// Lost voter for which no spare was found.
    pub(super) warned: Option<Member>,
}

impl Leader {
    /// Returns the number of the latest round.
    pub(super) fn round(&self) -> Round {
        self.rounds.back().map_or(0, |(round, _)| *round)
    }

    /// Returns when a round began; `None` where it is too old to be kept.
    pub(super) fn began(&self, round: Round) -> Option<Duration> {
        let oldest = self.rounds.front()?.0;
        let place = round.checked_sub(oldest)?;
        self.rounds.get(place as usize).map(|(_, began)| *began)
    }
}
