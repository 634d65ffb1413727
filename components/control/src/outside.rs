//! The listener for upstreams and operators who speak another language than our own.

mod inquiry;
mod server;
mod speaker;

pub use inquiry::{Inquiry, Reply};
pub(crate) use server::start;
pub use speaker::{Order, Speaker, Unreadable};
