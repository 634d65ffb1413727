//! Faults of patches.

use quick_error::quick_error;

quick_error! {
    /// Reason for which a patch can't be encoded or decoded.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Fault {
        /// The encoder failed.
        Encode(reason: String) {
            display("the text can't be encoded: {reason}")
        }
        /// The patch is malformed, or belongs to another base.
        Decode(reason: String) {
            display("the patch can't be decoded: {reason}")
        }
        /// The patch yields more bytes than are accepted.
        TooLarge(limit: usize) {
            display("the patch yields more than {limit} bytes")
        }
    }
}
