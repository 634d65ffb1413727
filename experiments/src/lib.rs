//! Simulations that measure the routing and placement decisions on seeded arrivals.
//!
//! All runs in one process. An engine is modelled by its batch, prefill rate, decode rate and
//! prefix cache; its load reports lag, and its cache events arrive late and with gaps. Network,
//! control group and failures other than reclaims are not modelled.

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
