//! Events that a node reports for the log of its process.

use std::fmt;

use crate::Member;
use crate::ids::{Index, NodeId, Term};

/// A change of a node's role or of the group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// This node founded the group; number of its voters.
    Founded(usize),
    /// This node became the leader of a term.
    Elected(Term),
    /// This node stopped leading; term and reason.
    SteppedDown(Term, &'static str),
    /// This node follows another leader; term and leader.
    LeaderChanged(Term, Member),
    /// This node asks processes to be added to their group, and is no member yet.
    AsksToJoin(Vec<NodeId>),
    /// A member was added as a learner.
    Joined(Member),
    /// The leader began to replace a lost voter by a spare; lost voter and spare.
    RepairBegan(Member, Member),
    /// The spare replaced the lost voter; lost voter, spare and the last entry that the spare holds
    /// on its disk.
    RepairDone(Member, Member, Index),
    /// A voter is lost and no spare holds the whole committed log.
    NoSpare(Member),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Event::Founded(voters) => write!(f, "founded a group of {voters} voters"),
            Event::Elected(term) => write!(f, "elected leader in term {term}"),
            Event::SteppedDown(term, why) => write!(f, "stepped down in term {term}: {why}"),
            Event::LeaderChanged(term, leader) => write!(f, "following {leader} in term {term}"),
            Event::AsksToJoin(processes) => {
                write!(f, "asks to be added to the group: {}", processes.join(", "))
            }
            Event::Joined(member) => write!(f, "added {member} as a learner"),
            Event::RepairBegan(lost, spare) => {
                write!(f, "repair began: {spare} is to replace {lost}")
            }
            Event::RepairDone(lost, spare, index) => write!(
                f,
                "repair done: {spare} replaced {lost} and holds the log up to entry {index}"
            ),
            Event::NoSpare(lost) => write!(f, "voter {lost} is lost and no spare is up to date"),
        }
    }
}
