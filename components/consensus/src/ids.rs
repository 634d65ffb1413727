//! Aliases for the numbers and names of the replicated log.

use compact_str::CompactString;

/// Name of a control process.
pub type NodeId = CompactString;
/// Random number of a data folder; a new one for each emptied disk.
pub type DiskId = u64;
/// Random number of a control group, given at its founding.
pub type GroupId = u64;
/// Number of a leader's reign, from 1.
pub type Term = u64;
/// Position in the log, from 1; 0 before the first entry.
pub type Index = u64;
/// Number of a [`crate::Write`], from 1.
pub type Sequence = u64;
/// Number of a heartbeat round of one leader, from 1.
pub type Round = u64;
/// Number of a read barrier, given by its caller and never used again, also not after a restart.
pub type ReadId = u64;

/// Terms from here on are refused; a fencing number has 24 bits for the term.
pub const TERM_LIMIT: Term = 1 << 24;
/// Indices from here on are refused; a fencing number has 40 bits for the index.
pub const INDEX_LIMIT: Index = 1 << 40;
