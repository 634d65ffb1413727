//! Result of opening a data folder.

use consensus::InitialState;
use consensus::ids::DiskId;

/// Content of a data folder when it was opened.
#[derive(Debug)]
pub struct Recovery {
    /// Id of the folder.
    pub disk: DiskId,
    /// State from which a node starts.
    pub initial_state: InitialState,
    /// Size of the torn tail that a crash left behind and that was truncated, in bytes.
    pub truncated_bytes: u64,
}
