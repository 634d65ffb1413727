//! The peer of a failed step.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use compact_str::CompactString;

/// The process, file or address that a failed step worked with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Peer {
    /// This process itself.
    Local,
    /// A file or folder.
    File(PathBuf),
    /// A socket address.
    Address(SocketAddr),
    /// A process, upstream or account, by its name.
    Name(CompactString),
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Peer::Local => f.write_str("this process"),
            Peer::File(path) => write!(f, "file {}", path.display()),
            Peer::Address(address) => write!(f, "{address}"),
            Peer::Name(name) => write!(f, "\"{name}\""),
        }
    }
}
