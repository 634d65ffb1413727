//! The log in memory.

use std::collections::VecDeque;

use crate::ids::{Index, Term};
use crate::{Entry, Membership, Payload, Position, SnapshotMeta};

/// Entries after a base position, and the memberships that they contain.
#[derive(Debug, Default)]
pub(crate) struct Log {
    /// Position before the first entry in memory.
    base: Position,
    entries: VecDeque<Entry>,
    /// Memberships by index; the first one is in force at the base.
    memberships: Vec<(Index, Membership)>,
    /// Newest snapshot on disk.
    pub(crate) snapshot: Option<SnapshotMeta>,
}

impl Log {
    /// Builds the log from a stored snapshot and the entries after it.
    pub(crate) fn new(snapshot: Option<SnapshotMeta>, entries: Vec<Entry>) -> Self {
        let mut log = Log::default();
        match snapshot {
            Some(meta) => log.reset(meta),
            None => log.memberships.push((0, Membership::default())),
        }
        entries.into_iter().for_each(|entry| log.push(entry));
        log
    }

    /// Drops all entries; the log continues after a snapshot.
    pub(crate) fn reset(&mut self, meta: SnapshotMeta) {
        self.base = meta.position;
        self.entries.clear();
        self.memberships = vec![(meta.position.index, meta.membership.clone())];
        self.snapshot = Some(meta);
    }

    /// Appends an entry.
    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().index + 1);
        if let Payload::Members(membership) = &entry.payload {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Drops all entries from an index onwards.
    pub(crate) fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(self.base.index + 1) as usize;
        self.entries.truncate(keep);
        self.memberships
            .retain(|(index, _)| *index < from || *index <= self.base.index);
    }

    /// Drops entries up to an index, which a snapshot covers.
    pub(crate) fn compact(&mut self, upto: Index) {
        while self.base.index < upto
            && let Some(entry) = self.entries.pop_front()
        {
            self.base = entry.position();
        }
        while self.memberships.len() > 1 && self.memberships[1].0 <= self.base.index {
            self.memberships.remove(0);
        }
    }

    /// Returns the position before the first entry in memory.
    pub(crate) fn base(&self) -> Position {
        self.base
    }

    /// Returns the position of the last entry.
    pub(crate) fn last(&self) -> Position {
        self.entries.back().map_or(self.base, Entry::position)
    }

    /// Returns the term of an entry; `None` if the entry is not in memory.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        match index {
            index if index == self.base.index => Some(self.base.term),
            index => self.get(index).map(|entry| entry.term),
        }
    }

    /// Returns an entry; `None` if it is not in memory.
    pub(crate) fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns whether a position is the base of the log or the position of an entry in memory.
    pub(crate) fn holds(&self, position: Position) -> bool {
        self.term(position.index) == Some(position.term)
    }

    /// Returns entries from an index onwards, up to a size in bytes; if there are any, at least
    /// one.
    pub(crate) fn slice(&self, from: Index, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        let mut index = from;
        while let Some(entry) = self.get(index) {
            bytes += entry.size();
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
            index += 1;
        }
        entries
    }

    /// Returns the latest membership, committed or not, and the index of its entry.
    pub(crate) fn membership(&self) -> (Index, &Membership) {
        self.memberships
            .last()
            .map(|(index, membership)| (*index, membership))
            .expect("the log always contains a membership")
    }

    /// Returns the membership in force at an entry.
    pub(crate) fn membership_at(&self, index: Index) -> &Membership {
        self.memberships
            .iter()
            .rev()
            .find(|(at, _)| *at <= index)
            .map_or_else(|| self.membership().1, |(_, membership)| membership)
    }

    /// Returns the last index before the term of the entry at `index`; at least the base.
    pub(crate) fn previous_term_end(&self, index: Index) -> Index {
        let term = self.term(index);
        let mut at = index;
        while at > self.base.index && self.term(at) == term {
            at -= 1;
        }
        at
    }
}
