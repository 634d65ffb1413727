//! What opening a folder finds.

use consensus::Stored;
use consensus::ids::DiskId;

/// What a folder held when it was opened.
#[derive(Debug)]
pub struct Opened {
    /// Number of the folder.
    pub disk: DiskId,
    /// What a node starts from.
    pub stored: Stored,
    /// Bytes that a crash left torn and that were cut.
    pub cut_bytes: u64,
}
