//! Snapshot files.

use std::io;

use bytes::Bytes;
use errors::{Error, Result};

use consensus::SnapshotMeta;
use consensus::ids::Index;

use crate::blocks::{self, BLOCK_BYTES, BLOCK_HEADER_BYTES};
use crate::folder::{File, Folder};
use crate::frame::{self, HEADER_BYTES, Parsed};
use crate::identity::damage_error;
use crate::names;
use crate::segment::io_error;

/// A snapshot that is being written to a temporary file.
#[derive(Debug)]
pub(crate) struct Writer<F> {
    /// Last entry and membership that the snapshot covers.
    pub(crate) meta: SnapshotMeta,
    file: F,
    /// Number of bytes written to the file.
    position: u64,
    /// Received bytes that do not fill a block yet.
    pending: Vec<u8>,
    /// Number of received bytes of the snapshot.
    received: u64,
}

impl<F: File> Writer<F> {
    /// Starts a file with the header of a snapshot.
    pub(crate) fn begin(mut file: F, meta: SnapshotMeta) -> io::Result<Self> {
        let mut body = Vec::new();
        ciborium::into_writer(&meta, &mut body).map_err(io::Error::other)?;
        let head = frame::encode(0, &body);
        file.write_at(0, &head)?;
        Ok(Writer {
            meta,
            file,
            position: head.len() as u64,
            pending: Vec::new(),
            received: 0,
        })
    }

    /// Appends bytes that start at an offset of the snapshot, and skips those that were received
    /// before. Blocks whose write failed are written again. Returns `false` if bytes before the
    /// offset are missing.
    pub(crate) fn push(&mut self, offset: u64, data: &[u8]) -> io::Result<bool> {
        if offset > self.received {
            return Ok(false);
        }
        let overlap = (self.received - offset) as usize;
        if let Some(new) = data.get(overlap..) {
            self.pending.extend(new);
            self.received += new.len() as u64;
        }
        while self.pending.len() > BLOCK_BYTES {
            let block = blocks::encode(&self.pending[..BLOCK_BYTES], false);
            self.file.write_at(self.position, &block)?;
            self.position += block.len() as u64;
            self.pending.drain(..BLOCK_BYTES);
        }
        Ok(true)
    }

    /// Writes the last block.
    pub(crate) fn end(&mut self) -> io::Result<()> {
        let block = blocks::encode(&self.pending, true);
        self.file.write_at(self.position, &block)
    }

    /// Waits until the file is on the disk.
    pub(crate) fn sync(&mut self) -> io::Result<()> {
        self.file.sync()
    }
}

/// Reads the header of a snapshot file; returns it with the offset of the first block.
pub(crate) fn read_meta<D: Folder>(
    folder: &D,
    name: &str,
    file: &D::File,
) -> Result<(SnapshotMeta, u64)> {
    let error = || damage_error(folder, name, 0, "the header of the snapshot is corrupt");
    let mut head = vec![0; HEADER_BYTES];
    read_exactly(folder, name, file, 0, &mut head)?;
    let length = frame::parse_header(&head).ok_or_else(error)?.length;
    head.resize(HEADER_BYTES + length, 0);
    read_exactly(folder, name, file, 0, &mut head)?;
    match frame::parse(&head, 0) {
        Parsed::Complete(_, end) => {
            let meta = ciborium::from_reader(&head[HEADER_BYTES..end]).map_err(|_| error())?;
            Ok((meta, end as u64))
        }
        _ => Err(error()),
    }
}

/// Reads a chunk of a snapshot, at most up to the end of its block; returns it with whether the
/// snapshot ends there.
pub(crate) fn read_chunk<D: Folder>(
    folder: &D,
    index: Index,
    offset: u64,
    max_bytes: usize,
) -> Result<(Bytes, bool)> {
    let name = names::snapshot(index);
    let file = folder
        .open(&name)
        .map_err(|cause| io_error(folder, &name, cause))?;
    let (_, blocks_start) = read_meta(folder, &name, &file)?;
    let (data, is_last) = read_block(folder, &name, &file, blocks_start, offset)?;
    let block_offset = (offset % BLOCK_BYTES as u64) as usize;
    let end = data.len().min(block_offset + max_bytes);
    let last = is_last && end == data.len();
    Ok((
        Bytes::copy_from_slice(&data[block_offset.min(end)..end]),
        last,
    ))
}

/// Reads a complete snapshot.
pub(crate) fn read_whole<D: Folder>(folder: &D, index: Index) -> Result<(SnapshotMeta, Vec<u8>)> {
    let name = names::snapshot(index);
    let file = folder
        .open(&name)
        .map_err(|cause| io_error(folder, &name, cause))?;
    let (meta, blocks_start) = read_meta(folder, &name, &file)?;
    let mut data = Vec::new();
    loop {
        let (block, is_last) = read_block(folder, &name, &file, blocks_start, data.len() as u64)?;
        data.extend(block);
        if is_last {
            return Ok((meta, data));
        }
    }
}

/// Reads the block that contains an offset of the snapshot; returns its data and whether it is the
/// last block.
fn read_block<D: Folder>(
    folder: &D,
    name: &str,
    file: &D::File,
    blocks_start: u64,
    offset: u64,
) -> Result<(Vec<u8>, bool)> {
    let number = offset / BLOCK_BYTES as u64;
    let at = blocks_start + number * (BLOCK_BYTES + BLOCK_HEADER_BYTES) as u64;
    let mut bytes = vec![0; BLOCK_BYTES + BLOCK_HEADER_BYTES];
    let count = read_up_to(folder, name, file, at, &mut bytes)?;
    match blocks::decode(&bytes[..count]) {
        Some((data, is_last)) => Ok((data.to_vec(), is_last)),
        None => Err(damage_error(
            folder,
            name,
            at,
            "a block of the snapshot is corrupt",
        )),
    }
}

fn read_exactly<D: Folder>(
    folder: &D,
    name: &str,
    file: &D::File,
    at: u64,
    buffer: &mut [u8],
) -> Result<()> {
    match read_up_to(folder, name, file, at, buffer)? {
        count if count == buffer.len() => Ok(()),
        count => Err(damage_error(
            folder,
            name,
            at + count as u64,
            "the file is too short",
        )),
    }
}

fn read_up_to<D: Folder>(
    folder: &D,
    name: &str,
    file: &D::File,
    at: u64,
    buffer: &mut [u8],
) -> std::result::Result<usize, Error> {
    let mut filled = 0;
    while filled < buffer.len() {
        let count = file
            .read_at(at + filled as u64, &mut buffer[filled..])
            .map_err(|cause| io_error(folder, name, cause))?;
        if count == 0 {
            break;
        }
        filled += count;
    }
    Ok(filled)
}
