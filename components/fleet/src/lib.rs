//! Membership of an entry in the fleet: its view of texts and upstreams, and its requests to the
//! control group.
//!
//! The request path reads a [`View`], which is replaced atomically on each change, so that requests
//! share no lock. Everything that requires agreement goes through [`Control`].

mod control;
mod directory;
mod freshness;
mod holders;
mod member;
mod standalone;
mod view;

pub use control::Control;
pub use directory::{Directory, Leave, Update};
pub use freshness::Freshness;
pub use holders::{Holders, inform};
pub use member::{Member, Settings};
pub use standalone::Standalone;
pub use state::claim;
pub use view::{Config, View};
