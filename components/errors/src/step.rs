//! The steps that can fail.

use std::fmt;

/// The step that failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Step {
    /// Loading settings, keys, the operators' text or logs.
    Load,
    /// Opening a listening socket.
    Listen,
    /// Opening a connection.
    Connect,
    /// Authenticating the peer.
    Authenticate,
    /// Sending a request or a frame.
    Send,
    /// Waiting for an answer or a frame.
    Receive,
    /// Decoding a message or stored data.
    Decode,
    /// Encoding a message or stored data.
    Encode,
    /// Writing to or reading from the data folder.
    Store,
    /// Committing an entry of the replicated log.
    Commit,
    /// Choosing an upstream.
    Route,
    /// Checking limits and deadlines of a request.
    Admit,
    /// Starting, stopping or ordering an instance or an engine.
    Order,
    /// Stopping the process.
    Stop,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Step::Load => "load",
            Step::Listen => "listen",
            Step::Connect => "connect",
            Step::Authenticate => "authenticate",
            Step::Send => "send",
            Step::Receive => "receive",
            Step::Decode => "decode",
            Step::Encode => "encode",
            Step::Store => "store",
            Step::Commit => "commit",
            Step::Route => "route",
            Step::Admit => "admit",
            Step::Order => "order",
            Step::Stop => "stop",
        };
        f.write_str(name)
    }
}
