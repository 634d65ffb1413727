//! Why bytes are not a frame.

use quick_error::quick_error;

quick_error! {
    /// Bytes that are not a frame, or a frame that can't be encoded.
    #[derive(Debug, Eq, PartialEq)]
    pub enum Malformed {
        /// The frame is too large.
        TooLarge(bytes: usize, limit: usize) {
            display("frame of {bytes} bytes is larger than {limit}")
        }
        /// The bytes are not CBOR of a frame.
        Syntax(what: String) {
            display("frame is not valid: {what}")
        }
        /// Bytes follow the frame.
        Trailing(bytes: usize) {
            display("frame is followed by {bytes} bytes")
        }
    }
}
