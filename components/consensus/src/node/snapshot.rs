//! Snapshots: log compaction, sending to members that lag, and receiving.

use std::time::Duration;

use bytes::Bytes;

use crate::ids::{Index, Round};
use crate::progress::Mode;
use crate::{Action, Body, Chunk, Entry, Member, Record, SnapshotMeta};

use super::Node;

/// A snapshot that is received chunk by chunk.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    meta: SnapshotMeta,
    offset: u64,
}

impl Node {
    /// Reports the end of an [`Action::Snapshot`]: the snapshot that is synced, or `None` if it
    /// failed.
    pub fn on_snapshot_saved(&mut self, now: Duration, meta: Option<SnapshotMeta>) {
        self.advance(now);
        self.snapshotting = false;
        let Some(meta) = meta else { return };
        let newest = self
            .log
            .snapshot
            .as_ref()
            .map_or(0, |meta| meta.position.index);
        if meta.position.index > newest {
            let upto = self.compaction_index(meta.position.index);
            self.log.snapshot = Some(meta);
            self.log.compact(upto);
        }
    }

    /// Reports the end of an [`Action::ReadChunk`]: the bytes and whether the snapshot ends with
    /// them, or `None` if the snapshot could not be read.
    pub fn on_chunk_read(
        &mut self,
        now: Duration,
        to: &Member,
        index: Index,
        offset: u64,
        result: Option<(Bytes, bool)>,
    ) {
        self.advance(now);
        let round = self.round();
        let Some(progress) = self.progress_of(to) else {
            return;
        };
        let meta = match &progress.mode {
            Mode::Snapshot {
                meta, offset: at, ..
            } if meta.position.index == index && *at == offset => meta.clone(),
            _ => return,
        };
        let Some((data, last)) = result else {
            progress.mode = Mode::Probe { sent: false };
            return;
        };
        let chunk = Chunk {
            meta,
            offset,
            data,
            last,
        };
        self.send(to, Body::Chunk { chunk, round });
    }

    /// Starts to send the newest snapshot to a member that needs compacted entries.
    pub(super) fn begin_snapshot(&mut self, member: &Member) {
        let (snapshot, now) = (self.log.snapshot.clone(), self.now);
        let Some(meta) = snapshot else { return };
        if let Some(progress) = self.progress_of(member) {
            progress.mode = Mode::Snapshot {
                meta,
                offset: 0,
                read_requested_at: now,
            };
            self.read_chunk(member);
        }
    }

    /// Reads and sends a chunk again if the member has not confirmed it. The timeout is short if
    /// the member answers heartbeats, as the chunk was probably lost then.
    pub(super) fn retry_chunk(&mut self, member: &Member) {
        /// Heartbeat intervals without a confirmation after which a chunk counts as lost.
        const CHUNK_LOSS_HEARTBEATS: u32 = 2;
        let (now, short_timeout) = (self.now, self.settings.heartbeat * CHUNK_LOSS_HEARTBEATS);
        let long_timeout = self.settings.election_timeout;
        let Some(progress) = self.progress_of(member) else {
            return;
        };
        let limit = match now < progress.last_contact + short_timeout {
            true => short_timeout,
            false => long_timeout,
        };
        match &progress.mode {
            Mode::Snapshot {
                read_requested_at, ..
            } if now >= *read_requested_at + limit => self.read_chunk(member),
            _ => {}
        }
    }

    fn read_chunk(&mut self, member: &Member) {
        let (now, length) = (self.now, self.settings.max_chunk_bytes);
        let Some(progress) = self.progress_of(member) else {
            return;
        };
        if let Mode::Snapshot {
            meta,
            offset,
            read_requested_at,
        } = &mut progress.mode
        {
            *read_requested_at = now;
            let action = Action::ReadChunk {
                to: member.clone(),
                index: meta.position.index,
                offset: *offset,
                length,
            };
            self.outbox.push(action);
        }
    }

    /// Handles a reply to a chunk: continues with the chunk at the offset that the member expects.
    pub(super) fn on_chunk_received(
        &mut self,
        from: &Member,
        index: Index,
        expected_offset: u64,
        round: Round,
    ) {
        self.on_member_contact(from, round);
        let Some(progress) = self.progress_of(from) else {
            return;
        };
        match &mut progress.mode {
            Mode::Snapshot { meta, offset, .. }
                if meta.position.index == index && *offset != expected_offset =>
            {
                *offset = expected_offset;
                self.read_chunk(from);
            }
            _ => {}
        }
    }

    pub(super) fn on_chunk(&mut self, from: &Member, chunk: Chunk, round: Round) {
        let index = chunk.meta.position.index;
        if index <= self.commit {
            let matched = index.min(self.durable);
            let reply = self.message(from, Body::Accepted { matched, round });
            self.outbox
                .send_after(self.outbox.hard_state_write(), reply);
            return;
        }
        if chunk.offset == 0 {
            self.incoming = Some(IncomingSnapshot {
                meta: chunk.meta.clone(),
                offset: 0,
            });
        }
        let expected = match &self.incoming {
            Some(incoming) if incoming.meta == chunk.meta => incoming.offset,
            _ => 0,
        };
        match chunk.offset == expected {
            true => self.store_chunk(from, chunk, round),
            false => self.send(
                from,
                Body::Received {
                    index,
                    offset: expected,
                    round,
                },
            ),
        }
    }

    fn store_chunk(&mut self, from: &Member, chunk: Chunk, round: Round) {
        let (meta, last) = (chunk.meta.clone(), chunk.last);
        let index = meta.position.index;
        let offset = chunk.offset + chunk.data.len() as u64;
        let end = self.log.last().index;
        let sequence = self.outbox.record_chunk(chunk, end);
        let body = match last {
            true => {
                self.incoming = None;
                self.install(meta, sequence);
                Body::Accepted {
                    matched: index,
                    round,
                }
            }
            false => {
                self.incoming = Some(IncomingSnapshot { meta, offset });
                Body::Received {
                    index,
                    offset,
                    round,
                }
            }
        };
        let reply = self.message(from, body);
        self.outbox.send_after(self.outbox.latest_write(), reply);
    }

    /// Continues the log after a received snapshot. `applied` includes the snapshot at once; later
    /// entries are applied only after it is synced and its loading is requested.
    fn install(&mut self, meta: SnapshotMeta, sequence: crate::ids::Sequence) {
        let position = meta.position;
        match self.log.holds(position) {
            true => {
                self.log.compact(position.index);
                self.log.snapshot = Some(meta);
            }
            false => {
                self.outbox.record(Record::Reset(position));
                self.log.reset(meta);
                self.durable = 0;
                self.outbox.truncate(0);
            }
        }
        self.commit = self.commit.max(position.index);
        self.applied = position.index;
        self.restoring = Some(sequence);
        self.settle_proposals_upto(position.index);
    }

    /// Loads a received snapshot once it is synced.
    pub(super) fn finish_restore(&mut self) {
        let Some(sequence) = self.restoring else {
            return;
        };
        if self.outbox.is_synced(sequence) {
            self.restoring = None;
            if let Some(meta) = self.log.snapshot.clone() {
                self.outbox.push(Action::Restore(meta));
            }
            self.pass_barriers();
            self.apply();
        }
    }

    /// Returns the last entry that may be dropped from memory when a snapshot covers all up to
    /// `index`. The kept entries are limited by `trailing_entries` and `snapshot_bytes`.
    fn compaction_index(&self, index: Index) -> Index {
        let mut from = index;
        let mut bytes = 0;
        while index - from < self.settings.trailing_entries
            && bytes < self.settings.snapshot_bytes
            && let Some(entry) = self.log.get(from)
        {
            bytes += Entry::size(entry);
            from -= 1;
        }
        from
    }
}
