//! Signals that are sent to processes of a fleet.

use std::io;
use std::process::Command;

/// Signal to a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// `SIGTERM`: asks for a graceful stop.
    Terminate,
    /// `SIGKILL`: kills the process.
    Kill,
    /// `SIGSTOP`: freezes the process.
    Stop,
    /// `SIGCONT`: resumes a frozen process.
    Continue,
}

impl Signal {
    /// Sends the signal to the process with id `pid`.
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
            false => Err(io::Error::other(format!(
                "kill {name} {pid} failed: {status}"
            ))),
        }
    }
}
