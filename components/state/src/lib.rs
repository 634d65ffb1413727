//! The replicated state machine: every control process computes the same [`State`] from the same
//! log.
//!
//! The crate opens no sockets and reads no clock. Time is the leader's wall clock in milliseconds
//! since the Unix epoch, which each [`Command`] carries. The time of the state never decreases.

pub mod claim;
pub mod claims;
mod command;
mod error;
pub mod ledger;
pub mod members;
pub mod order;
mod output;
mod position;
pub mod rollouts;
pub mod spending;
mod state;
pub mod text;
pub mod usage;
pub mod verdicts;

pub use command::{Change, Command};
pub use error::Error;
pub use output::Output;
pub use position::Position;
pub use state::State;

/// A leader's wall clock time, in milliseconds since the Unix epoch.
pub type Millis = u64;
