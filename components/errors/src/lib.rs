//! The error type that the public functions of all crates return.

mod error;
mod peer;
mod step;

pub use error::Error;
pub use peer::Peer;
pub use step::Step;

/// A result whose error names the failed step and its peer.
pub type Result<T> = std::result::Result<T, Error>;
