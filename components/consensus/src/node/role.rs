//! Roles of a node.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::Member;
use crate::ids::{Index, Round};
use crate::progress::Progress;

use super::read::Barrier;
use super::repair::Repair;
use super::transfer::Transfer;

/// Role of a node in its term.
#[derive(Debug)]
pub(super) enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Runs a pre-vote; members that would grant their vote.
    PreCandidate(IndexSet<Member>),
    /// Runs an election; members that granted their vote.
    Candidate(IndexSet<Member>),
    /// Leads the group.
    Leader(Box<Leader>),
}

/// State of a leader.
#[derive(Debug)]
pub(super) struct Leader {
    /// When it was elected.
    pub(super) elected_at: Duration,
    /// When the membership last changed, or when it was elected.
    pub(super) members_since: Duration,
    /// First entry of its term.
    pub(super) first_index: Index,
    /// Replication state of each other member.
    pub(super) progress: IndexMap<Member, Progress>,
    /// Recent heartbeat rounds and the start of each.
    pub(super) rounds: VecDeque<(Round, Duration)>,
    /// When the next heartbeat is due.
    pub(super) heartbeat_at: Duration,
    /// Whether a read barrier waits for a heartbeat round that has not started.
    pub(super) round_due: bool,
    /// Size of the entries that are not committed, in bytes.
    pub(super) uncommitted_bytes: usize,
    /// Read barriers that wait for a heartbeat round.
    pub(super) barriers: VecDeque<Barrier>,
    /// Leadership transfer in progress.
    pub(super) transfer: Option<Transfer>,
    /// Repair in progress.
    pub(super) repair: Option<Repair>,
    /// Lost voter for which [`Event::NoSpare`](crate::Event::NoSpare) was last reported; it is not
    /// reported again for the same voter.
    pub(super) reported_no_spare: Option<Member>,
}

impl Leader {
    /// Returns the number of the latest heartbeat round; 0 before the first one.
    pub(super) fn round(&self) -> Round {
        self.rounds.back().map_or(0, |(round, _)| *round)
    }

    /// Returns the start of a heartbeat round; `None` if it is no longer kept.
    pub(super) fn round_start(&self, round: Round) -> Option<Duration> {
        let oldest = self.rounds.front()?.0;
        let offset = round.checked_sub(oldest)?;
        self.rounds.get(offset as usize).map(|(_, start)| *start)
    }
}
