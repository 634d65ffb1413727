//! Encoding of envelopes.

use crate::{Envelope, Malformed};

/// Largest encoded envelope, in bytes.
pub const MAX_FRAME_BYTES: usize = 5 * 1_024 * 1_024;
/// Greatest nesting depth of CBOR items.
pub(crate) const MAX_DEPTH: usize = 32;

/// Encodes an envelope.
///
/// # Errors
/// If the encoded envelope is larger than [`MAX_FRAME_BYTES`].
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, Malformed> {
    let mut bytes = Vec::new();
    ciborium::into_writer(envelope, &mut bytes)
        .map_err(|error| Malformed::Syntax(error.to_string()))?;
    match bytes.len() {
        len if len > MAX_FRAME_BYTES => Err(Malformed::TooLarge(len, MAX_FRAME_BYTES)),
        _ => Ok(bytes),
    }
}

/// Decodes an envelope.
///
/// # Errors
/// If the bytes are larger than [`MAX_FRAME_BYTES`], are not an envelope, or continue after it.
pub fn decode(bytes: &[u8]) -> Result<Envelope, Malformed> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(Malformed::TooLarge(bytes.len(), MAX_FRAME_BYTES));
    }
    let mut rest = bytes;
    let envelope = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_DEPTH)
        .map_err(|error| Malformed::Syntax(error.to_string()))?;
    match rest.len() {
        0 => Ok(envelope),
        count => Err(Malformed::Trailing(count)),
    }
}
