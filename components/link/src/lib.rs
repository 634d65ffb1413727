//! Connections between the system's own processes, over WebSocket: mutual authentication,
//! heartbeats in both directions and an upper bound on the age of each frame.

mod calls;
mod connection;
mod declaration;
mod handshake;
mod identity;
mod reader;
pub mod send_times;
mod settings;
mod socket;
mod traffic;
mod writer;

pub use connection::{Connection, Incoming, accept, dial};
pub use identity::Identity;
pub use settings::Settings;
pub use traffic::Traffic;
