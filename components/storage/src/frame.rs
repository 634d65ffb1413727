//! Frames: a checksummed header and a checksummed body.
//!
//! Header, little-endian: magic (4 bytes), length of the body in bytes (4), number (8), checksum
//! of the 16 bytes before (4), checksum of the body (4).

/// Size of a header, in bytes.
pub(crate) const HEADER_BYTES: usize = 24;
/// Maximum size of a body, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 256 * 1_024 * 1_024;

const MAGIC: [u8; 4] = *b"cvlg";
const CHECKED_BYTES: usize = 16;
/// Unit in which disks write; a torn write leaves whole sectors as zeros.
const SECTOR_BYTES: usize = 512;

/// Header of a frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Header {
    /// Size of the body, in bytes.
    pub(crate) length: usize,
    /// Number of the frame; one more than that of the preceding frame.
    pub(crate) number: u64,
    body_checksum: u32,
}

/// Result of parsing the bytes at an offset.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Parsed {
    /// A complete frame: its number and the offset of the end of its body.
    Complete(u64, usize),
    /// The offset is the end of the bytes.
    End,
    /// A frame whose write was interrupted.
    Torn,
    /// Damage other than an interrupted write, with its description.
    Damaged(&'static str),
}

/// Encodes a frame.
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

/// Decodes a header; `None` if the bytes are not a valid header.
pub(crate) fn parse_header(bytes: &[u8]) -> Option<Header> {
    let checked = bytes.get(..CHECKED_BYTES)?;
    let checksum = u32::from_le_bytes(bytes.get(16..20)?.try_into().ok()?);
    let header = Header {
        length: u32::from_le_bytes(bytes.get(4..8)?.try_into().ok()?) as usize,
        number: u64::from_le_bytes(bytes.get(8..16)?.try_into().ok()?),
        body_checksum: u32::from_le_bytes(bytes.get(20..24)?.try_into().ok()?),
    };
    let is_valid = checked[..4] == MAGIC
        && crc32fast::hash(checked) == checksum
        && header.length <= MAX_BODY_BYTES;
    is_valid.then_some(header)
}

/// Parses the frame at an offset.
pub(crate) fn parse(bytes: &[u8], offset: usize) -> Parsed {
    let rest = &bytes[offset..];
    if rest.is_empty() {
        return Parsed::End;
    }
    let Some(header) = parse_header(rest) else {
        return match rest.len() < HEADER_BYTES || rest.iter().all(|byte| *byte == 0) {
            true => Parsed::Torn,
            false => Parsed::Damaged("the header of a frame does not match its checksum"),
        };
    };
    let Some(body) = rest.get(HEADER_BYTES..HEADER_BYTES + header.length) else {
        return Parsed::Torn;
    };
    let end = offset + HEADER_BYTES + header.length;
    match crc32fast::hash(body) == header.body_checksum {
        true => Parsed::Complete(header.number, end),
        false if end == bytes.len() && has_empty_sector(bytes, offset, end) => Parsed::Torn,
        false => Parsed::Damaged("the body of a frame does not match its checksum"),
    }
}

/// Returns whether the part of a frame's body in any one sector is all zeros.
fn has_empty_sector(bytes: &[u8], start: usize, end: usize) -> bool {
    let first = (start + HEADER_BYTES) / SECTOR_BYTES;
    let last = (end - 1) / SECTOR_BYTES;
    (first..=last).any(|sector| {
        let from = (sector * SECTOR_BYTES).max(start + HEADER_BYTES);
        let to = ((sector + 1) * SECTOR_BYTES).min(end);
        bytes[from..to].iter().all(|byte| *byte == 0)
    })
}
