//! Log entries that a receiver of another release can read.

use config::release::{self, Level};
use consensus::{Body, Entry, Message, Payload};
use state::Command;
use tracing::warn;

/// Returns the message as a receiver with a level may get it: a message that appends entries ends
/// before the first entry that the receiver can't read. The receiver then stays behind, as one does
/// that lost the rest of the message.
pub(crate) fn message(mut message: Message, level: Level) -> Message {
    if level >= release::OWN {
        return message;
    }
    if let Body::Append { entries, .. } = &mut message.body
        && let Some(unreadable) = entries.iter().position(|entry| needed(entry) > level)
    {
        warn!(
            "control: \"{}\" can't read log entry {} and stays behind",
            message.to, entries[unreadable].index
        );
        entries.truncate(unreadable);
    }
    message
}

/// Returns the lowest level of a process that can read an entry.
fn needed(entry: &Entry) -> Level {
    let Payload::Command(bytes) = &entry.payload else {
        return release::UNDECLARED;
    };
    match ciborium::from_reader::<Command, _>(bytes.as_ref()) {
        Ok(command) => command.change.level(),
        // A later release wrote it.
        Err(_) => Level::MAX,
    }
}
