//! Texts encoded relative to an earlier one, so that their size follows what changed.
//!
//! A patch is a Zstandard frame whose references may reach into the earlier text. It carries a
//! checksum of the text that it yields. Without an earlier text it is the compressed text.
//!
//! A process that holds texts keeps them in an [`Archive`] and answers requests for a [`Range`] of
//! the encoded bytes with a [`Part`]. The process that fetches a text puts the parts together in a
//! [`Download`].

mod archive;
mod download;
mod fault;
mod part;

pub use archive::Archive;
pub use download::Download;
pub use fault::Fault;
pub use part::{MAX_PART_BYTES, Part, Range};

use std::io::{Read, Result, Write};

use bytes::Bytes;

/// Compression level: the lowest at which small changes of a large text are found.
const LEVEL: i32 = 3;
/// Smallest window of the format, as a power of two.
const MIN_WINDOW_LOG: u32 = 10;
/// Largest window that decoders accept by default, as a power of two.
const MAX_WINDOW_LOG: u32 = 27;

/// Encodes `text` relative to `base`, which may be empty. The same texts yield the same bytes.
///
/// # Errors
/// If the encoder fails.
pub fn encode(base: &str, text: &str) -> std::result::Result<Bytes, Fault> {
    encode_bytes(base.as_bytes(), text.as_bytes()).map_err(|error| Fault::Encode(error.to_string()))
}

fn encode_bytes(base: &[u8], text: &[u8]) -> Result<Bytes> {
    let mut encoder = zstd::stream::write::Encoder::with_ref_prefix(Vec::new(), LEVEL, base)?;
    encoder.set_pledged_src_size(Some(text.len() as u64))?;
    encoder.window_log(window_log(base.len() + text.len()))?;
    encoder.include_checksum(true)?;
    encoder.write_all(text)?;
    Ok(encoder.finish()?.into())
}

/// Decodes a patch of `base`, which must be the text that it was encoded with.
///
/// # Errors
/// If the patch is malformed, belongs to another base, or yields more than `max_bytes`.
pub fn decode(base: &str, patch: &[u8], max_bytes: usize) -> std::result::Result<String, Fault> {
    let text = decode_bytes(base.as_bytes(), patch, max_bytes)
        .map_err(|error| Fault::Decode(error.to_string()))?;
    match text.len() {
        length if length > max_bytes => Err(Fault::TooLarge(max_bytes)),
        _ => String::from_utf8(text).map_err(|error| Fault::Decode(error.to_string())),
    }
}

/// Returns the text, or one byte more than `max_bytes` of it.
fn decode_bytes(base: &[u8], patch: &[u8], max_bytes: usize) -> Result<Vec<u8>> {
    let mut decoder = zstd::stream::read::Decoder::with_ref_prefix(patch, base)?;
    // Bounds the memory that a patch can claim.
    decoder.window_log_max(window_log(base.len() + max_bytes))?;
    let mut text = Vec::new();
    decoder.take(max_bytes as u64 + 1).read_to_end(&mut text)?;
    Ok(text)
}

/// Returns the smallest window, as a power of two, that covers `bytes`.
fn window_log(bytes: usize) -> u32 {
    let log = bytes.next_power_of_two().trailing_zeros();
    log.clamp(MIN_WINDOW_LOG, MAX_WINDOW_LOG)
}
