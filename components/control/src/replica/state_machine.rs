//! Interface between the replicated log and the state that it replicates.

use config::release::{self, Level};
use errors::Result;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A state machine that changes only by the commands of the log, in their order.
pub trait StateMachine: Send + 'static {
    /// Commands, which are stored and sent as CBOR.
    type Command: Serialize + DeserializeOwned + Send + 'static;
    /// What applying a command returns.
    type Output: Send + 'static;

    /// Applies a committed command. Must be deterministic: the result may depend only on the state
    /// and the arguments.
    fn apply(&mut self, position: consensus::Position, command: Self::Command) -> Self::Output;

    /// Returns the lowest level of a process that can read a command.
    fn level(_command: &Self::Command) -> Level {
        release::UNDECLARED
    }

    /// Encodes the whole state.
    ///
    /// # Errors
    /// Fails when the state can't be encoded.
    fn snapshot(&self) -> Result<Vec<u8>>;

    /// Replaces the state with that of a snapshot.
    ///
    /// # Errors
    /// Fails when the bytes are no valid snapshot.
    fn restore(&mut self, bytes: &[u8]) -> Result<()>;
}

impl StateMachine for crate::Machine {
    type Command = state::Command;
    type Output = state::Output;

    fn apply(&mut self, position: consensus::Position, command: state::Command) -> state::Output {
        let position = state::Position {
            term: position.term,
            index: position.index,
        };
        crate::Machine::apply(self, position, command)
    }

    fn level(command: &state::Command) -> Level {
        command.change.level()
    }

    fn snapshot(&self) -> Result<Vec<u8>> {
        crate::Machine::snapshot(self)
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<()> {
        crate::Machine::restore(self, bytes)
    }
}
