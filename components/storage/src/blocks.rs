//! Blocks of a snapshot file.
//!
//! A snapshot file is a frame (see [`crate::frame`]) with the [`consensus::SnapshotMeta`], followed
//! by blocks. Each block starts with a header of 8 bytes, little-endian: length, whose top bit
//! marks the last block (4 bytes), and checksum of length and data (4). All blocks but the last are
//! full.

/// Size of a full block without its header, in bytes.
pub(crate) const BLOCK_BYTES: usize = 256 * 1_024;
/// Size of the header of a block, in bytes.
pub(crate) const BLOCK_HEADER_BYTES: usize = 8;

const LAST_BLOCK_FLAG: u32 = 1 << 31;

/// Encodes a block; `last` marks the last one of a snapshot.
pub(crate) fn encode(data: &[u8], last: bool) -> Vec<u8> {
    let flag = if last { LAST_BLOCK_FLAG } else { 0 };
    let length = (data.len() as u32 | flag).to_le_bytes();
    let mut bytes = Vec::with_capacity(BLOCK_HEADER_BYTES + data.len());
    bytes.extend(length);
    bytes.extend(checksum(&length, data).to_le_bytes());
    bytes.extend(data);
    bytes
}

/// Decodes a block, and returns its data and whether it is the last one; `None` if the bytes are
/// not a valid block.
pub(crate) fn decode(bytes: &[u8]) -> Option<(&[u8], bool)> {
    let length_bytes: [u8; 4] = bytes.get(..4)?.try_into().ok()?;
    let stored_checksum = u32::from_le_bytes(bytes.get(4..8)?.try_into().ok()?);
    let length = u32::from_le_bytes(length_bytes);
    let size = (length & !LAST_BLOCK_FLAG) as usize;
    let data = bytes.get(BLOCK_HEADER_BYTES..BLOCK_HEADER_BYTES + size)?;
    let is_valid = size <= BLOCK_BYTES && checksum(&length_bytes, data) == stored_checksum;
    is_valid.then_some((data, length & LAST_BLOCK_FLAG != 0))
}

fn checksum(length: &[u8], data: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(length);
    hasher.update(data);
    hasher.finalize()
}
