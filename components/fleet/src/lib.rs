//! What an entry knows of the fleet, and what it asks of the control group.
//!
//! The request path reads a [`View`] that is replaced as a whole on each change, so that no
//! lock is shared between requests. Everything that needs agreement goes through [`Control`].

pub mod claim;
mod control;
mod standalone;
mod view;

pub use control::Control;
pub use standalone::Standalone;
pub use view::{Config, View};
