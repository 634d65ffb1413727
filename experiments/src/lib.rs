//! Small measures of the routing and placement decisions on seeded arrivals.
//!
//! The engines here are a model in one process: a batch, a prefill rate, a decode rate and a
//! prefix cache, with load reports that lag and cache events that come late and with gaps. It
//! measures the decisions and simulates no cluster.

mod cache;
mod case;
mod engine;
mod event;
mod fleet;
mod job;
pub mod month;
mod outcome;
mod policy;
mod run;
pub mod table;
mod user;
mod workload;

pub use case::Case;
pub use outcome::Outcome;
pub use policy::Policy;
pub use run::Run;
pub use user::User;

/// Microseconds since the start of a run.
pub(crate) type Micros = u64;

/// Microseconds in a second.
pub(crate) const SECOND: Micros = 1_000_000;
