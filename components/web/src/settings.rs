//! Settings of a server.

use std::time::Duration;

/// Limits on the connections of one server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Longest time from the end of a response, or from the opening of a connection, until the
    /// next request head is complete.
    pub idle_timeout: Duration,
    /// Longest time from the first byte of a request head to its end, beside the idle timeout.
    pub head_timeout: Option<Duration>,
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Time after which the kernel closes a connection whose sent bytes are not acknowledged.
    pub tcp_user_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            idle_timeout: Duration::from_secs(15),
            head_timeout: None,
            max_head_bytes: 16 * 1_024,
            max_connections: 3_000,
            tcp_user_timeout: Duration::from_secs(20),
        }
    }
}
