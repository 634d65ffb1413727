//! Modes of connections.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::ConnectionId;

/// How a relay treats the bytes of a connection.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Forwards all bytes.
    #[default]
    Pass,
    /// Forwards all bytes after a delay.
    Delay {
        /// Delay in each direction, in milliseconds.
        ms: u64,
    },
    /// Discards bytes from the caller; connections stay open.
    DropUp,
    /// Discards bytes from the target; connections stay open.
    DropDown,
    /// Discards all bytes; connections stay open.
    DropBoth,
    /// Resets the connections to the caller and the target.
    Reset,
}

/// What happens to bytes in one direction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Action {
    Forward(Duration),
    Discard,
}

impl Mode {
    /// Returns the action for bytes from the caller.
    pub(super) fn action_up(self) -> Action {
        match self {
            Mode::DropUp | Mode::DropBoth | Mode::Reset => Action::Discard,
            other => other.forward(),
        }
    }

    /// Returns the action for bytes from the target.
    pub(super) fn action_down(self) -> Action {
        match self {
            Mode::DropDown | Mode::DropBoth | Mode::Reset => Action::Discard,
            other => other.forward(),
        }
    }

    fn forward(self) -> Action {
        match self {
            Mode::Delay { ms } => Action::Forward(Duration::from_millis(ms)),
            _ => Action::Forward(Duration::ZERO),
        }
    }
}

/// Connections that a change of mode applies to.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    /// Open connections and all later ones.
    All,
    /// Open connections.
    Open,
    /// All later connections.
    New,
    /// One open connection.
    One(ConnectionId),
}

impl Scope {
    /// Reports whether the scope includes the open connection `id`.
    pub(super) fn covers(self, id: ConnectionId) -> bool {
        match self {
            Scope::All | Scope::Open => true,
            Scope::New => false,
            Scope::One(one) => one == id,
        }
    }
}
