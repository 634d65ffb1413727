//! The replicated log of the control group, as a pure state machine.
//!
//! The protocol is Raft with pre-votes, leader leases and the replacement of lost voters by spares.
//! [`Node`] takes the time and messages and returns [`Action`]s: messages to send, records to
//! store, entries to apply. It opens no sockets or files and reads no clock.

pub mod ids;

mod action;
mod body;
mod chunk;
mod entry;
mod event;
mod guards;
mod hard_state;
mod initial_state;
mod log;
mod margin;
mod member;
mod membership;
mod message;
mod node;
mod outcome;
mod position;
mod progress;
mod record;
mod refusal;
mod settings;
mod snapshot_meta;
mod write;

pub use action::Action;
pub use body::Body;
pub use chunk::Chunk;
pub use entry::{Entry, Payload};
pub use event::Event;
pub use guards::Guards;
pub use hard_state::HardState;
pub use initial_state::InitialState;
pub use margin::Margin;
pub use member::Member;
pub use membership::Membership;
pub use message::Message;
pub use node::Node;
pub use outcome::Outcome;
pub use position::Position;
pub use record::Record;
pub use refusal::Refusal;
pub use settings::Settings;
pub use snapshot_meta::SnapshotMeta;
pub use write::Write;
