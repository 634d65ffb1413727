//! Frames: a checksummed header and a checksummed body.
//!
//! Header, little-endian: magic (4 bytes), length of the body in bytes (4), number (8), checksum
//! of the 16 bytes before (4), checksum of the body (4).

/// Bytes of a header.
pub(crate) const HEADER_BYTES: usize = 24;
/// Largest body, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 256 * 1_024 * 1_024;

const MAGIC: [u8; 4] = *b"cvlg";
const CHECKED_BYTES: usize = 16;
/// Unit in which disks write; a torn write leaves whole units as zeros.
const SECTOR_BYTES: usize = 512;

/// Header of a frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Header {
    /// Bytes of the body.
    pub(crate) length: usize,
    /// Number of the frame; one more than that of the frame before.
    pub(crate) number: u64,
    body_checksum: u32,
}

/// What stands at an offset.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Found {
    /// A whole frame, with its number and the end of its body.
    Whole(u64, usize),
    /// The end of the bytes.
    End,
    /// A frame that was not written to its end.
    Torn,
    /// Bytes that were once right, and why they are not now.
    Damaged(&'static str),
}

/// Returns header and body as bytes.
pub(crate) fn encode(number: u64, body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend(MAGIC);
    bytes.extend((body.len() as u32).to_le_bytes());
    bytes.extend(number.to_le_bytes());
    bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
    bytes.extend(crc32fast::hash(body).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// Reads a header; `None` where the bytes are none.
pub(crate) fn header(bytes: &[u8]) -> Option<Header> {
    let checked = bytes.get(..CHECKED_BYTES)?;
    let checksum = u32::from_le_bytes(bytes.get(16..20)?.try_into().ok()?);
    let header = Header {
        length: u32::from_le_bytes(bytes.get(4..8)?.try_into().ok()?) as usize,
        number: u64::from_le_bytes(bytes.get(8..16)?.try_into().ok()?),
        body_checksum: u32::from_le_bytes(bytes.get(20..24)?.try_into().ok()?),
    };
    let is_whole = checked[..4] == MAGIC
        && crc32fast::hash(checked) == checksum
        && header.length <= MAX_BODY_BYTES;
    is_whole.then_some(header)
}

/// Says what stands at an offset.
pub(crate) fn find(bytes: &[u8], offset: usize) -> Found {
    let rest = &bytes[offset..];
    if rest.is_empty() {
        return Found::End;
    }
    let Some(header) = header(rest) else {
        return match rest.len() < HEADER_BYTES || rest.iter().all(|byte| *byte == 0) {
            true => Found::Torn,
            false => Found::Damaged("the header of a frame does not match its checksum"),
        };
    };
    let Some(body) = rest.get(HEADER_BYTES..HEADER_BYTES + header.length) else {
        return Found::Torn;
    };
    let end = offset + HEADER_BYTES + header.length;
    match crc32fast::hash(body) == header.body_checksum {
        true => Found::Whole(header.number, end),
        false if end == bytes.len() && has_empty_sector(bytes, offset, end) => Found::Torn,
        false => Found::Damaged("the body of a frame does not match its checksum"),
    }
}

/// Returns whether a whole sector of a frame, or the rest of it in its last sector, is zeros.
fn has_empty_sector(bytes: &[u8], start: usize, end: usize) -> bool {
    let first = (start + HEADER_BYTES) / SECTOR_BYTES;
    let last = (end - 1) / SECTOR_BYTES;
    (first..=last).any(|sector| {
        let from = (sector * SECTOR_BYTES).max(start + HEADER_BYTES);
        let to = ((sector + 1) * SECTOR_BYTES).min(end);
        bytes[from..to].iter().all(|byte| *byte == 0)
    })
}
