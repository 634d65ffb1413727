//! A disk that keeps what was synced and loses the rest.

use std::collections::VecDeque;

use bytes::Bytes;
use consensus::{Chunk, Meta, Record, Stored, Write};

/// Synced content, and writes that are not synced.
#[derive(Clone, Debug, Default)]
pub(crate) struct Disk {
    pub(crate) stored: Stored,
    pub(crate) snapshots: Vec<(Meta, Bytes)>,
    pub(crate) incoming: Vec<u8>,
    pub(crate) unsynced: VecDeque<Write>,
}

impl Disk {
    /// Syncs the oldest write and returns its number.
    pub(crate) fn sync(&mut self) -> Option<u64> {
        let write = self.unsynced.pop_front()?;
        for record in write.records {
            match record {
                Record::Hard(hard) => self.stored.hard = hard,
                Record::Reset(_) => self.stored.entries.clear(),
                Record::Entry(entry) => {
                    let from = entry.index;
                    self.stored.entries.retain(|entry| entry.index < from);
                    self.stored.entries.push(entry);
                }
            }
        }
        if let Some(chunk) = write.chunk {
            self.take(chunk);
        }
        Some(write.sequence)
    }

    /// Stores a snapshot.
    pub(crate) fn save(&mut self, meta: Meta, data: Bytes) {
        let mark = meta.mark;
        if self
            .stored
            .snapshot
            .as_ref()
            .is_some_and(|newest| newest.mark.index >= mark.index)
        {
            return;
        }
        let holds = self.stored.entries.iter().any(|entry| entry.mark() == mark);
        self.stored
            .entries
            .retain(|entry| holds && entry.index > mark.index);
        self.stored.snapshot = Some(meta.clone());
        self.snapshots.push((meta, data));
        while self.snapshots.len() > 2 {
            self.snapshots.remove(0);
        }
    }

    fn take(&mut self, chunk: Chunk) {
        if chunk.offset == 0 {
            self.incoming.clear();
        }
        assert_eq!(self.incoming.len() as u64, chunk.offset);
        self.incoming.extend(&chunk.data);
        if chunk.last {
            let data = std::mem::take(&mut self.incoming);
            self.save(chunk.meta, data.into());
        }
    }

    /// Returns the last entry that is synced.
    pub(crate) fn end(&self) -> u64 {
        let snapshot = self.stored.snapshot.as_ref();
        let base = snapshot.map_or(0, |meta| meta.mark.index);
        let last = self.stored.entries.last();
        last.map_or(base, |entry| entry.index)
    }

    /// Loses what was not synced.
    pub(crate) fn crash(&mut self) {
        self.unsynced.clear();
        self.incoming.clear();
    }
}
