//! Chooses an upstream for each request. The crate uses no sockets and no clock: callers pass the
//! current time.
//!
//! The routing table is replaced as a whole (read-copy-update) and counters are atomics, so that
//! requests never wait for a lock.

mod affinity;
mod candidate;
mod choice;
mod estimate;
mod prefixes;
mod refusal;
mod request;
mod router;
mod settings;
mod table;
mod ticket;
mod tracker;
mod weights;
mod window;

pub use choice::Choice;
pub use prefixes::Prefixes;
pub use refusal::Refusal;
pub use request::Request;
pub use router::Router;
pub use settings::Settings;
pub use ticket::Ticket;
