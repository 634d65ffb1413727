//! The replicated log of the control group, as a pure state machine.
//!
//! [`Node`] takes the time and messages and returns [`Action`]s: messages to send, records to
//! store, entries to apply. It opens no socket or file and reads no clock.

pub mod ids;

mod action;
mod body;
mod chunk;
mod entry;
mod event;
mod fate;
mod guards;
mod hard;
mod log;
mod mark;
mod member;
mod membership;
mod message;
mod meta;
mod node;
mod progress;
mod record;
mod refusal;
mod settings;
mod stored;
mod write;

pub use action::Action;
pub use body::Body;
pub use chunk::Chunk;
pub use entry::{Entry, Payload};
pub use event::Event;
pub use fate::Fate;
pub use guards::Guards;
pub use hard::Hard;
pub use mark::Mark;
pub use member::Member;
pub use membership::Membership;
pub use message::Message;
pub use meta::Meta;
pub use node::Node;
pub use record::Record;
pub use refusal::Refusal;
pub use settings::Settings;
pub use stored::Stored;
pub use write::Write;
