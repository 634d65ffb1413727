//! A disk that keeps what was synced and loses the rest.
//!
//! A model tells what it holds. The store of the project keeps the same in files, and both are
//! compared at each start.

use std::collections::VecDeque;

use bytes::Bytes;
use consensus::{Chunk, Meta, Record, Stored, Write};
use storage::Store;

use crate::memory::Memory;

/// Synced content, and writes that are not synced.
#[derive(Debug, Default)]
pub(crate) struct Disk {
    pub(crate) stored: Stored,
    pub(crate) snapshots: Vec<(Meta, Bytes)>,
    incoming: Vec<u8>,
    pub(crate) unsynced: VecDeque<Write>,
    folder: Memory,
    store: Option<Store<Memory>>,
}

impl Disk {
    /// Returns a disk that holds something from the start.
    pub(crate) fn holding(stored: Stored) -> Self {
        let mut disk = Disk::default();
        disk.open();
        let entries = stored.entries.into_iter().map(Record::Entry);
        disk.unsynced.push_back(Write {
            sequence: 0,
            records: [Record::Hard(stored.hard)]
                .into_iter()
                .chain(entries)
                .collect(),
            chunk: None,
        });
        disk.sync();
        disk
    }

    /// Opens the files, and compares them with the model.
    pub(crate) fn open(&mut self) -> Stored {
        let (store, opened) = self.folder.open_store().expect("a whole folder");
        assert_eq!(opened.stored, self.stored);
        if let Some((meta, data)) = self.snapshots.last() {
            assert_eq!(store.load(meta.mark.index).expect("a snapshot"), **data);
        }
        self.store = Some(store);
        opened.stored
    }

    /// Syncs the oldest write and returns its number.
    pub(crate) fn sync(&mut self) -> Option<u64> {
        let store = self.store.as_mut().expect("an open folder");
        let mut queue = VecDeque::from([self.unsynced.front()?.clone()]);
        store.write(&mut queue).expect("a disk with room");
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

    /// Stores a snapshot of the own state.
    pub(crate) fn save(&mut self, meta: Meta, data: Bytes) {
        let store = self.store.as_mut().expect("an open folder");
        store.save(&meta, &data).expect("a disk with room");
        self.install(meta, data);
    }

    fn install(&mut self, meta: Meta, data: Bytes) {
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
            self.install(chunk.meta, data.into());
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
        self.store = None;
        self.incoming.clear();
    }
}
