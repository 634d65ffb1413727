//! Chooses the upstream of each request. No sockets and no clock: time comes in with each call.

mod choice;
mod refusal;
mod request;
mod router;

pub use choice::Choice;
pub use refusal::Refusal;
pub use request::Request;
pub use router::Router;
