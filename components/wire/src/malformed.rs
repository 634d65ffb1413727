//! Errors of encoding and decoding.

use quick_error::quick_error;

quick_error! {
    /// Error of decoding bytes or of encoding an envelope.
    #[derive(Debug, Eq, PartialEq)]
    pub enum Malformed {
        /// The frame is larger than the limit.
        TooLarge(bytes: usize, limit: usize) {
            display("frame of {bytes} bytes is larger than the limit of {limit} bytes")
        }
        /// The bytes are not an envelope in CBOR, or the envelope can't be encoded.
        Syntax(reason: String) {
            display("frame is not valid: {reason}")
        }
        /// Bytes follow the envelope.
        Trailing(bytes: usize) {
            display("frame is followed by {bytes} bytes")
        }
    }
}
