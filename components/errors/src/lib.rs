//! The error that every part of chervilloft returns at its edges.

mod error;
mod peer;
mod step;

pub use error::Error;
pub use peer::Peer;
pub use step::Step;

/// A result whose error names the step and the peer at which it arose.
pub type Result<T> = std::result::Result<T, Error>;
