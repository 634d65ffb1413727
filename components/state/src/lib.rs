//! The replicated state: what every control process computes from the same log.
//!
//! The crate has no sockets and no clock. Time is the leader's wall clock in milliseconds since
//! the Unix epoch, stamped into each [`Command`]; the state never lets it go back.

pub mod claim;
pub mod claims;
mod command;
mod error;
pub mod ledger;
pub mod members;
pub mod order;
mod output;
mod position;
pub mod spending;
mod state;
pub mod text;
pub mod usage;

pub use command::{Change, Command};
pub use error::Error;
pub use output::Output;
pub use position::Position;
pub use state::State;

/// Milliseconds since the Unix epoch, as the leaders stamped them.
pub type Millis = u64;
