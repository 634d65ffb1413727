//! Entries that have joined. A new leader has to wait for the leases that these entries may
//! still hold.

use config::ids::{Incarnation, NodeId};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::Millis;

/// Entries kept at one time; the one that was lost first is removed first.
pub const MAX_MEMBERS: usize = 10_000;

/// Entries by name.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Members {
    members: IndexMap<NodeId, Member>,
}

/// One entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// When the expiry of its lease was recorded; `None` while it serves.
    pub lost_at: Option<Millis>,
    /// When an earlier process of the entry was lost, or this one replaced it.
    #[serde(default)]
    pub replaced_at: Option<Millis>,
}

impl Member {
    /// Reports whether the process is not lost.
    pub fn serves(&self) -> bool {
        self.lost_at.is_none()
    }
}

impl Members {
    /// Returns an entry.
    pub fn get(&self, entry: &str) -> Option<Member> {
        self.members.get(entry).copied()
    }

    /// Reports whether an entry's process has joined and is not lost.
    pub fn serves(&self, entry: &str, incarnation: Incarnation) -> bool {
        let member = self.members.get(entry);
        member.is_some_and(|m| m.incarnation == incarnation && m.serves())
    }

    /// Returns all entries, including lost ones.
    pub fn iter(&self) -> impl Iterator<Item = (&NodeId, Member)> {
        self.members.iter().map(|(entry, member)| (entry, *member))
    }

    /// Registers a process of an entry at the time `now`, and returns the process that it replaces. A process older
    /// than the registered one is ignored until that one is lost.
    pub(crate) fn join(
        &mut self,
        now: Millis,
        entry: NodeId,
        incarnation: Incarnation,
    ) -> Option<Incarnation> {
        let known = self.members.get(&entry).copied();
        let member = Member {
            incarnation,
            lost_at: None,
            replaced_at: known.and_then(|known| match known.incarnation == incarnation {
                true => known.replaced_at,
                false => known.lost_at.or(Some(now)),
            }),
        };
        match known {
            Some(known) if known.incarnation > incarnation && known.lost_at.is_none() => None,
            Some(known) => {
                self.members.insert(entry, member);
                (known.incarnation != incarnation).then_some(known.incarnation)
            }
            None => {
                self.evict_if_full();
                self.members.insert(entry, member);
                None
            }
        }
    }

    /// Marks an entry's process as lost, and reports whether it was serving.
    pub(crate) fn mark_lost(&mut self, now: Millis, entry: &str, incarnation: Incarnation) -> bool {
        match self.members.get_mut(entry) {
            Some(m) if m.incarnation == incarnation && m.lost_at.is_none() => {
                m.lost_at = Some(now);
                true
            }
            _ => false,
        }
    }

    /// Removes the entry that was lost first if the table is full, or any entry if none is lost.
    fn evict_if_full(&mut self) {
        let lost_at = |member: &Member| member.lost_at.unwrap_or(Millis::MAX);
        let lost_times = self.members.values().map(lost_at).enumerate();
        match lost_times.min_by_key(|(_, at)| *at) {
            Some((index, _)) if self.members.len() >= MAX_MEMBERS => {
                self.members.swap_remove_index(index);
            }
            _ => {}
        }
    }
}
