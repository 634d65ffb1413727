//! Settings of a connection.

use std::time::Duration;

/// Timeouts and sizes of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time without other frames after which a heartbeat is sent.
    pub heartbeat_interval: Duration,
    /// Time without received frames after which the connection is lost.
    pub silence_timeout: Duration,
    /// Greatest age of a frame; a frame that may be older closes the connection.
    pub max_age: Duration,
    /// Timeout for opening the TCP connection.
    pub connect_timeout: Duration,
    /// Timeout for the WebSocket upgrade and the handshake.
    pub handshake_timeout: Duration,
    /// Timeout for writing one frame.
    pub write_timeout: Duration,
    /// Time after which the kernel closes a connection with unacknowledged bytes
    /// (`TCP_USER_TIMEOUT`).
    pub tcp_user_timeout: Duration,
    /// Capacity of the queues of frames to be written and of received messages.
    pub queue_capacity: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            heartbeat_interval: Duration::from_millis(400),
            silence_timeout: Duration::from_millis(1_500),
            max_age: Duration::from_millis(1_500),
            connect_timeout: Duration::from_millis(300),
            handshake_timeout: Duration::from_millis(700),
            write_timeout: Duration::from_millis(1_000),
            tcp_user_timeout: Duration::from_millis(1_500),
            queue_capacity: 1_024,
        }
    }
}
