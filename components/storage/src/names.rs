//! Names of the files in a data folder.

use consensus::ids::Index;

/// Name of the file with the identity of the data folder.
pub(crate) const IDENTITY: &str = "identity";
/// Name of that file until it is synced and renamed.
pub(crate) const IDENTITY_TEMPORARY: &str = "identity.tmp";
/// Name of the file of a snapshot that this node took, until it is synced and renamed.
pub(crate) const SNAPSHOT_TEMPORARY: &str = "snapshot.tmp";
/// Name of the file of a received snapshot, until it is synced and renamed.
pub(crate) const INCOMING_TEMPORARY: &str = "incoming.tmp";

const SEGMENT: &str = "log-";
const SNAPSHOT: &str = "snapshot-";

/// Returns the name of a segment file.
pub(crate) fn segment(number: u64) -> String {
    format!("{SEGMENT}{number:020}")
}

/// Returns the number of a segment; `None` for other files.
pub(crate) fn segment_number(name: &str) -> Option<u64> {
    name.strip_prefix(SEGMENT)?.parse().ok()
}

/// Returns the name of a snapshot file.
pub(crate) fn snapshot(index: Index) -> String {
    format!("{SNAPSHOT}{index:020}")
}

/// Returns the last entry that a snapshot covers; `None` for other files.
pub(crate) fn snapshot_index(name: &str) -> Option<Index> {
    name.strip_prefix(SNAPSHOT)?.parse().ok()
}

/// Returns whether a file is a temporary one, left over from an interrupted write.
pub(crate) fn is_temporary(name: &str) -> bool {
    matches!(
        name,
        IDENTITY_TEMPORARY | SNAPSHOT_TEMPORARY | INCOMING_TEMPORARY
    )
}
