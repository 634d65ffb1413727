//! Aliases for the ids of the replicated log, and their limits.

use compact_str::CompactString;

/// Name of a control process.
pub type NodeId = CompactString;
/// Random id of a data folder, which names call a disk for short; an emptied folder gets a new one.
pub type DiskId = u64;
/// Random id of a control group, assigned at its founding.
pub type GroupId = u64;
/// Number of a term, from 1; each term has at most one leader.
pub type Term = u64;
/// Index of an entry in the log, from 1; 0 stands for the empty log.
pub type Index = u64;
/// Number of a [`crate::Write`], from 1.
pub type Sequence = u64;
/// Number of a heartbeat round in one term, from 1.
pub type Round = u64;
/// Id of a read barrier, assigned by the caller; never reused, not even after a restart.
pub type ReadId = u64;

/// Lowest term that is refused; a fencing number has 24 bits for the term.
pub const TERM_LIMIT: Term = 1 << 24;
/// Lowest index that is refused; a fencing number has 40 bits for the index.
pub const INDEX_LIMIT: Index = 1 << 40;
