//! Announcements, load reports and cache events that upstreams publish, and the table of the known
//! upstreams.

mod announcement;
pub mod blocks;
pub mod cache;
mod capacity;
mod conflict;
mod load;
mod object;
mod origins;
pub mod prompt;
mod routes;

pub use announcement::{Announcement, Availability, Role, Served, Software};
pub use capacity::Capacity;
pub use conflict::Conflict;
pub use load::Load;
pub use object::Object;
pub use origins::{Origin, Origins, StreamKey};
pub use routes::{Route, Routes};

/// Header that carries the signature of an announcement's body.
pub const SIGNATURE_HEADER: &str = "chervilloft-signature";
