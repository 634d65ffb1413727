//! Store of one data folder.

mod open;

use std::collections::VecDeque;

use bytes::Bytes;
use errors::Result;

use consensus::ids::{Index, Sequence};
use consensus::{Chunk, HardState, Position, Record, SnapshotMeta, Write};

use crate::failure::Failure;
use crate::folder::{File, Folder};
use crate::frame;
use crate::names;
use crate::segment::Segment;
use crate::snapshot::{self, Writer};

/// Limits of a store.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Size of a segment at which the next one is started, in bytes.
    pub segment_bytes: u64,
    /// Size of a batch of writes at which no further write is added, in bytes.
    pub batch_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            segment_bytes: 8 * 1_024 * 1_024,
            batch_bytes: 4 * 1_024 * 1_024,
        }
    }
}

/// Log and snapshots of a data folder.
#[derive(Debug)]
pub struct Store<D: Folder> {
    folder: D,
    settings: Settings,
    active: D::File,
    segments: Vec<Segment>,
    last_frame: u64,
    hard_state: HardState,
    /// Last entry that the newest snapshot covers.
    snapshot: Position,
    /// Last entry that the snapshot before it covers.
    previous_snapshot: Index,
    incoming: Option<Writer<D::File>>,
}

impl<D: Folder> Store<D> {
    /// Stores a batch of writes from the front of a queue, removes them from the queue and returns
    /// the sequence number of the last one. The writes of a batch share one sync.
    ///
    /// # Errors
    /// Fails with [`Failure::Full`] if the disk is full, which leaves queue and folder unchanged,
    /// and with [`Failure::Fatal`] otherwise.
    pub fn write(&mut self, queue: &mut VecDeque<Write>) -> std::result::Result<Sequence, Failure> {
        let chunk = queue.front().and_then(|write| write.chunk.clone());
        let count = match chunk {
            Some(chunk) => {
                self.store_chunk(&chunk)?;
                1
            }
            None => {
                let (records, count) = self.batch(queue);
                self.append(&records)?;
                count
            }
        };
        let last = queue.drain(..count).last();
        Ok(last.map_or(0, |write| write.sequence))
    }

    /// Stores a snapshot that this node took, and removes the segments and snapshots that it makes
    /// obsolete.
    ///
    /// # Errors
    /// Fails with [`Failure::Full`] if the disk is full, which leaves the folder unchanged, and
    /// with [`Failure::Fatal`] otherwise.
    pub fn save_snapshot(
        &mut self,
        meta: &SnapshotMeta,
        data: &[u8],
    ) -> std::result::Result<(), Failure> {
        if meta.position.index <= self.snapshot.index {
            return Ok(());
        }
        let name = names::SNAPSHOT_TEMPORARY;
        let saved = self.save_temporary(meta, data);
        if let Err(cause) = saved {
            let _ = self.folder.remove(name);
            return Err(Failure::from_write(self.folder.path(name), cause));
        }
        self.install_snapshot(name, meta)?;
        self.remove_obsolete()
    }

    /// Reads a chunk of a snapshot; returns it with whether the snapshot ends there.
    ///
    /// # Errors
    /// Fails if the snapshot was removed or is damaged.
    pub fn read_snapshot(
        &self,
        index: Index,
        offset: u64,
        max_bytes: usize,
    ) -> Result<(Bytes, bool)> {
        snapshot::read_chunk(&self.folder, index, offset, max_bytes)
    }

    /// Reads a complete snapshot.
    ///
    /// # Errors
    /// Fails if the snapshot was removed or is damaged.
    pub fn load_snapshot(&self, index: Index) -> Result<Vec<u8>> {
        snapshot::read_whole(&self.folder, index).map(|(_, data)| data)
    }

    fn batch(&self, queue: &VecDeque<Write>) -> (Vec<Record>, usize) {
        let mut records = Vec::new();
        let mut bytes = 0;
        let mut count = 0;
        for write in queue {
            if write.chunk.is_some() || (bytes >= self.settings.batch_bytes && count > 0) {
                break;
            }
            bytes += write.records.iter().map(record_size).sum::<usize>();
            records.extend(write.records.iter().cloned());
            count += 1;
        }
        (records, count)
    }

    pub(super) fn append(&mut self, records: &[Record]) -> std::result::Result<(), Failure> {
        for record in records {
            if let Record::HardState(hard_state) = record {
                self.hard_state = hard_state.clone();
            }
        }
        let is_full = self
            .segments
            .last()
            .is_some_and(|segment| segment.length >= self.settings.segment_bytes);
        if is_full {
            self.rotate()?;
        }
        self.append_frame(records)?;
        match is_full {
            true => self.remove_obsolete(),
            false => Ok(()),
        }
    }

    fn append_frame(&mut self, records: &[Record]) -> std::result::Result<(), Failure> {
        let Some(segment) = self.segments.last_mut() else {
            return Ok(());
        };
        let path = self.folder.path(&names::segment(segment.number));
        // Each segment starts with term, vote and group, so that older segments can be removed.
        let head = (segment.length == 0).then(|| Record::HardState(self.hard_state.clone()));
        let all: Vec<&Record> = head.iter().chain(records).collect();
        let mut body = Vec::new();
        ciborium::into_writer(&all, &mut body)
            .map_err(|cause| Failure::from_write(path.clone(), std::io::Error::other(cause)))?;
        let bytes = frame::encode(self.last_frame + 1, &body);
        if let Err(cause) = self.active.write_at(segment.length, &bytes) {
            return match self.active.truncate(segment.length) {
                Ok(()) => Err(Failure::from_write(path, cause)),
                Err(cause) => Err(Failure::from_sync(path, cause)),
            };
        }
        self.active
            .sync()
            .map_err(|cause| Failure::from_sync(path, cause))?;
        self.last_frame += 1;
        segment.length += bytes.len() as u64;
        let indices = records.iter().map(record_index);
        segment.last_index = indices.fold(segment.last_index, Index::max);
        Ok(())
    }

    /// Starts a new segment.
    fn rotate(&mut self) -> std::result::Result<(), Failure> {
        let number = self.segments.last().map_or(1, |segment| segment.number + 1);
        let name = names::segment(number);
        let path = self.folder.path(&name);
        let file = self
            .folder
            .create(&name)
            .map_err(|cause| Failure::from_write(path.clone(), cause))?;
        self.folder
            .sync()
            .map_err(|cause| Failure::from_sync(path, cause))?;
        self.active = file;
        self.segments.push(Segment {
            number,
            length: 0,
            last_index: 0,
        });
        Ok(())
    }

    fn store_chunk(&mut self, chunk: &Chunk) -> std::result::Result<(), Failure> {
        if chunk.last && chunk.meta.position == self.snapshot {
            return Ok(());
        }
        let path = self.folder.path(names::INCOMING_TEMPORARY);
        let fail = |cause| Failure::from_write(path.clone(), cause);
        let is_same = self
            .incoming
            .as_ref()
            .is_some_and(|incoming| incoming.meta == chunk.meta);
        if chunk.offset == 0 || !is_same {
            let file = self
                .folder
                .create(names::INCOMING_TEMPORARY)
                .map_err(fail)?;
            self.incoming = Some(Writer::begin(file, chunk.meta.clone()).map_err(fail)?);
        }
        let Some(incoming) = &mut self.incoming else {
            return Ok(());
        };
        if !incoming.push(chunk.offset, &chunk.data).map_err(fail)? {
            let cause = std::io::Error::other("a chunk of the snapshot is missing");
            return Err(fail(cause));
        }
        if !chunk.last {
            return Ok(());
        }
        incoming.end().map_err(fail)?;
        incoming
            .sync()
            .map_err(|cause| Failure::from_sync(path.clone(), cause))?;
        self.incoming = None;
        self.install_snapshot(names::INCOMING_TEMPORARY, &chunk.meta)
    }

    fn save_temporary(&mut self, meta: &SnapshotMeta, data: &[u8]) -> std::io::Result<()> {
        let file = self.folder.create(names::SNAPSHOT_TEMPORARY)?;
        let mut writer = Writer::begin(file, meta.clone())?;
        writer.push(0, data)?;
        writer.end()?;
        writer.sync()
    }

    /// Renames a synced snapshot from its temporary name, which makes it the newest one.
    fn install_snapshot(
        &mut self,
        temporary: &str,
        meta: &SnapshotMeta,
    ) -> std::result::Result<(), Failure> {
        let name = names::snapshot(meta.position.index);
        let path = self.folder.path(&name);
        let fail = |cause| Failure::from_sync(path.clone(), cause);
        self.folder.rename(temporary, &name).map_err(fail)?;
        self.folder.sync().map_err(fail)?;
        self.previous_snapshot = self.snapshot.index;
        self.snapshot = meta.position;
        Ok(())
    }

    /// Removes segments that the newest snapshot covers, and snapshots older than the previous one.
    /// The previous snapshot is kept because it may still be in transfer to a lagging member.
    ///
    /// After a received snapshot the removal waits for the next segment, because only then the log
    /// is known to contain the record that makes it continue after the snapshot.
    fn remove_obsolete(&mut self) -> std::result::Result<(), Failure> {
        let has_hard_state = self.segments.last().is_some_and(|active| active.length > 0);
        while has_hard_state
            && self.segments.len() > 1
            && self.segments[0].last_index <= self.snapshot.index
        {
            self.remove(&names::segment(self.segments[0].number))?;
            self.segments.remove(0);
        }
        let names = self.folder.list();
        let names = names.map_err(|cause| Failure::from_sync(self.folder.path(""), cause))?;
        for name in names {
            if names::snapshot_index(&name).is_some_and(|index| index < self.previous_snapshot) {
                self.remove(&name)?;
            }
        }
        Ok(())
    }

    fn remove(&self, name: &str) -> std::result::Result<(), Failure> {
        self.folder
            .remove(name)
            .map_err(|cause| Failure::from_sync(self.folder.path(name), cause))
    }
}

fn record_index(record: &Record) -> Index {
    match record {
        Record::HardState(_) => 0,
        Record::Entry(entry) => entry.index,
        Record::Reset(position) => position.index,
    }
}

fn record_size(record: &Record) -> usize {
    const SMALL_RECORD_BYTES: usize = 64;
    match record {
        Record::Entry(entry) => entry.size(),
        Record::HardState(_) | Record::Reset(_) => SMALL_RECORD_BYTES,
    }
}
