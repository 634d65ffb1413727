//! Chooses the upstream of each request. No sockets and no clock: time comes in with each call.
//!
//! The tables are replaced as a whole (read-copy-update) and the counters are atomics, so that
//! requests share no lock.

mod affinity;
mod candidate;
mod choice;
mod estimate;
mod prefixes;
mod recent;
mod refusal;
mod request;
mod router;
mod settings;
mod table;
mod ticket;
mod tracker;
mod weights;

pub use choice::Choice;
pub use prefixes::Prefixes;
pub use refusal::Refusal;
pub use request::Request;
pub use router::Router;
pub use settings::Settings;
pub use ticket::Ticket;
