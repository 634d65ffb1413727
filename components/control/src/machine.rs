//! The replicated state machine, shared between the replica's driver and the tasks that answer
//! requests.

use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard};

use errors::{Error, Peer, Result, Step};
use state::{Command, Output, Position, State};

/// A shared handle to the replicated state of this process.
#[derive(Clone, Debug, Default)]
pub struct Machine {
    state: Arc<RwLock<State>>,
}

impl Machine {
    /// Applies a committed command.
    pub fn apply(&self, position: Position, command: Command) -> Output {
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        state.apply(position, command)
    }

    /// Locks the state for reading. The guard must not be held across an await.
    pub fn read(&self) -> RwLockReadGuard<'_, State> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Encodes the whole state.
    ///
    /// # Errors
    /// Fails when the state can't be encoded.
    pub fn snapshot(&self) -> Result<Vec<u8>> {
        let encoded = self.read().snapshot();
        encoded.map_err(|error| Error::Other(Step::Encode, Peer::Local, Box::new(error)))
    }

    /// Replaces the state with that of a snapshot.
    ///
    /// # Errors
    /// Fails when the bytes are no valid snapshot; the state is then unchanged.
    pub fn restore(&self, bytes: &[u8]) -> Result<()> {
        let restored = State::restore(bytes)
            .map_err(|error| Error::Other(Step::Decode, Peer::Local, Box::new(error)))?;
        *self.state.write().unwrap_or_else(PoisonError::into_inner) = restored;
        Ok(())
    }
}
