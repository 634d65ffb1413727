//! Names of the files.

use consensus::ids::Index;

/// Identity of the data folder.
pub(crate) const IDENTITY: &str = "identity";
/// Identity before it has its name.
pub(crate) const IDENTITY_TEMPORARY: &str = "identity.tmp";
/// Own snapshot before it has its name.
pub(crate) const SNAPSHOT_TEMPORARY: &str = "snapshot.tmp";
/// Snapshot of a leader before it has its name.
pub(crate) const INCOMING_TEMPORARY: &str = "incoming.tmp";

const SEGMENT: &str = "log-";
const SNAPSHOT: &str = "snapshot-";

/// Returns the name of a segment.
pub(crate) fn segment(number: u64) -> String {
    format!("{SEGMENT}{number:020}")
}

/// Returns the number of a segment; `None` for other files.
pub(crate) fn segment_number(name: &str) -> Option<u64> {
    name.strip_prefix(SEGMENT)?.parse().ok()
}

/// Returns the name of a snapshot.
pub(crate) fn snapshot(index: Index) -> String {
    format!("{SNAPSHOT}{index:020}")
}

/// Returns the last entry that a snapshot holds; `None` for other files.
pub(crate) fn snapshot_index(name: &str) -> Option<Index> {
    name.strip_prefix(SNAPSHOT)?.parse().ok()
}

/// Returns whether a file is left over from an interrupted write.
pub(crate) fn is_temporary(name: &str) -> bool {
    matches!(
        name,
        IDENTITY_TEMPORARY | SNAPSHOT_TEMPORARY | INCOMING_TEMPORARY
    )
}
