//! Quarantine of parts of prompts that crash upstreams.
//!
//! The crate opens no sockets and reads no clock: the caller passes the current time to each call.
//!
//! An entry keeps a [`Watch`]: it notes which parts were being answered at upstreams that crashed,
//! and with which parts answers began well, and sends both to the leader in a [`Report`]. The leader
//! weighs the [`Evidence`] of all entries and answers with a [`Notice`], which names the parts under
//! suspicion and those in quarantine. Entries refuse prompts with the latter.

mod crash;
mod evidence;
mod notice;
mod report;
mod verdict;
mod watch;

pub use crash::Crash;
pub use evidence::Evidence;
pub use notice::Notice;
pub use report::Report;
pub use verdict::{Record, TRIAL_PAUSES};
pub use watch::{BEGUN_WELL, Watch};

/// Identifier of a part of a prompt.
pub type PartId = u64;
