//! Errors of snapshots.

use quick_error::quick_error;

quick_error! {
    /// Why a snapshot could not be encoded or decoded.
    #[derive(Debug)]
    pub enum Error {
        /// The state could not be encoded.
        Encode(reason: String) {
            display("can't encode a snapshot of the replicated state: {reason}")
        }
        /// The bytes are not a snapshot.
        Decode(reason: String) {
            display("can't decode a snapshot of the replicated state: {reason}")
        }
        /// The snapshot has a format that this program does not support.
        Format(found: u32, known: u32) {
            display("snapshot of the replicated state has format {found}, this program reads {known}")
        }
    }
}
