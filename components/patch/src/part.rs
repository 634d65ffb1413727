//! Requests for parts of an encoded text, and the parts.

use bytes::Bytes;
use config::ids::Version;
use serde::{Deserialize, Serialize};

/// Largest part, in bytes. It passes a link of 10 Mbit/s in 13 ms, so that messages behind it are
/// hardly delayed.
pub const MAX_PART_BYTES: usize = 16 * 1_024;

/// A range of an encoded text.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Range {
    /// Version of the text.
    pub version: Version,
    /// Version relative to which the text is to be encoded; 0 for none.
    pub base: Version,
    /// Number of encoded bytes before the range, which ends with the text or the largest part.
    pub offset: u64,
}

/// A part of an encoded text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Part {
    /// Version relative to which the text is encoded; 0 if the sender does not hold the one that was
    /// asked for.
    pub base: Version,
    /// Length of the encoded text, in bytes.
    pub total_bytes: u64,
    /// Hash of the encoded text. Parts with the same hash belong together, whoever sent them.
    pub hash: u64,
    /// The bytes of the range, at most [`MAX_PART_BYTES`].
    pub bytes: Bytes,
}
