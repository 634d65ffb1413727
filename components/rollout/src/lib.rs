//! Roll-outs: what the new version gets, the evidence about it, and when a phase ends.
//!
//! Entries count what each version of a service does and report the totals. The leader compares the
//! versions route by route, and decides about the next phase. The crate opens no sockets and reads
//! no clock: callers pass the current time. See `docs/design/rollouts.md`.

mod comparison;
mod counts;
mod decision;
mod evidence;
mod schedule;
mod stage;
mod statistics;

pub use comparison::Verdict;
pub use counts::{Counts, MAX_ROUTES, MAX_TIME_SLOTS, Report, Version, slot};
pub use decision::{CANARY_SHARE, MOVING_SHARE, Next, Progress, next, share};
pub use evidence::{EntryProcess, Evidence};
pub use schedule::Schedule;
pub use stage::Stage;
