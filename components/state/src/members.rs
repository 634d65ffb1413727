//! Entries that may serve, so that a new leader knows whose leases to wait for.

use config::ids::{Incarnation, NodeId};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::Millis;

/// Entries kept at one time; the longest lost is forgotten first.
pub const MAX_MEMBERS: usize = 10_000;

/// Entries by name.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Members {
    members: IndexMap<NodeId, Member>,
}

/// One entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Start number of its process.
    pub incarnation: Incarnation,
    /// When its lease was found to have run out; `None` while it serves.
    pub lost_at: Option<Millis>,
}

impl Members {
    /// Returns an entry.
    pub fn get(&self, entry: &str) -> Option<Member> {
        self.members.get(entry).copied()
    }

    /// Reports whether an entry's process has joined and is not lost.
    pub fn serves(&self, entry: &str, incarnation: Incarnation) -> bool {
        let member = self.members.get(entry);
        member.is_some_and(|m| m.incarnation == incarnation && m.lost_at.is_none())
    }

    /// Returns all entries that are known, the lost ones among them.
    pub fn iter(&self) -> impl Iterator<Item = (&NodeId, Member)> {
        self.members.iter().map(|(entry, member)| (entry, *member))
    }

    /// Takes in a process of an entry, and returns the one that it replaces. An older process
    /// than the known one is not taken in before that one is lost.
    pub(crate) fn join(&mut self, entry: NodeId, incarnation: Incarnation) -> Option<Incarnation> {
        let known = self.members.get(&entry).copied();
        let member = Member {
            incarnation,
            lost_at: None,
        };
        match known {
            Some(known) if known.incarnation > incarnation && known.lost_at.is_none() => None,
            Some(known) => {
                self.members.insert(entry, member);
                (known.incarnation != incarnation).then_some(known.incarnation)
            }
            None => {
                self.make_room();
                self.members.insert(entry, member);
                None
            }
        }
    }

    /// Marks an entry as lost, and reports whether it served until now.
    pub(crate) fn lose(&mut self, now: Millis, entry: &str, incarnation: Incarnation) -> bool {
        match self.members.get_mut(entry) {
            Some(m) if m.incarnation == incarnation && m.lost_at.is_none() => {
                m.lost_at = Some(now);
                true
            }
            _ => false,
        }
    }

    fn make_room(&mut self) {
        let lost = |member: &Member| member.lost_at.unwrap_or(Millis::MAX);
        let longest = self.members.values().map(lost).enumerate();
        match longest.min_by_key(|(_, at)| *at) {
            Some((index, _)) if self.members.len() >= MAX_MEMBERS => {
                self.members.swap_remove_index(index);
            }
            _ => {}
        }
    }
}
