//! Why a snapshot can't be written or read.

use quick_error::quick_error;

quick_error! {
    /// A snapshot that can't be written or read.
    #[derive(Debug)]
    pub enum Error {
        /// The state could not be encoded.
        Encode(what: String) {
            display("snapshot of the replicated state: {what}")
        }
        /// The bytes are not a snapshot.
        Decode(what: String) {
            display("snapshot of the replicated state: {what}")
        }
        /// The snapshot has a layout that this program does not know.
        Format(found: u32, known: u32) {
            display("snapshot of the replicated state has format {found}, this program reads {known}")
        }
    }
}
