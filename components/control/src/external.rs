//! HTTP interface for upstreams and operators of a platform that has its own protocol.

mod operation;
mod protocol;
mod server;

pub use operation::{Operation, Reply};
pub use protocol::{Fence, Protocol, Rejection};
pub(crate) use server::start;
