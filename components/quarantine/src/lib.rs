//! Quarantine of parts of prompts, and of requests, that crash upstreams.
//!
//! The crate opens no sockets and reads no clock: the caller passes the current time to each call.
//!
//! Both are subjects, each with a number: the identifier of a part, or the fingerprint of a request.
//! Each [`Kind`] is weighed by itself.
//!
//! An entry keeps a [`Watch`]: it notes which subjects were being answered at upstreams that
//! crashed, and with which subjects answers began well, and sends both to the leader in a
//! [`Report`]. The leader weighs the [`Evidence`] of all entries and answers with a [`Notice`],
//! which names the subjects under suspicion and those in quarantine. Entries refuse requests with
//! the latter.

mod crash;
mod evidence;
mod kind;
mod notice;
mod report;
mod verdict;
mod watch;

pub use crash::Crash;
pub use evidence::Evidence;
pub use kind::Kind;
pub use notice::Notice;
pub use report::Report;
pub use verdict::Record;
pub use watch::{BEGUN_WELL, Watch};

/// Identifier of a part of a prompt, equal for equal content.
pub type PartId = SubjectId;
/// Fingerprint of a request: a hash of what stays the same when it is sent again.
pub type Fingerprint = SubjectId;
/// Identifier of a part, or fingerprint of a request.
pub type SubjectId = u64;
