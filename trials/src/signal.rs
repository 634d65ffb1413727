//! Signals to the processes of a fleet.

use std::io;
use std::process::Command;

/// A signal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Asks for a planned stop.
    Terminate,
    /// Ends the process at once.
    Kill,
    /// Freezes the process.
    Stop,
    /// Lets a frozen process go on.
    Continue,
}

impl Signal {
    /// Sends the signal to the process with number `pid`.
    pub(crate) fn send(self, pid: u32) -> io::Result<()> {
        let name = match self {
            Signal::Terminate => "-TERM",
            Signal::Kill => "-KILL",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
        };
        let status = Command::new("kill")
            .args([name, &pid.to_string()])
            .status()?;
        match status.success() {
            true => Ok(()),
            false => Err(io::Error::other(format!("kill {name} {pid} failed"))),
        }
    }
}
