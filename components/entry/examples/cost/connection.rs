//! The subset of HTTP/1.1 that the measurement needs.

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// A connection.
pub(crate) struct Connection {
    stream: BufReader<TcpStream>,
    line: String,
}

/// First line of a message, and the length of its body in bytes, 0 without a body.
pub(crate) struct Head {
    pub(crate) line: String,
    pub(crate) length: usize,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).expect("a TCP socket");
        Connection {
            stream: BufReader::with_capacity(2_048, stream),
            line: String::new(),
        }
    }

    pub(crate) async fn connect(port: u16) -> Self {
        let stream = TcpStream::connect(("127.0.0.1", port)).await;
        Connection::new(stream.expect("the port is listened on"))
    }

    pub(crate) async fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.get_mut().write_all(bytes).await
    }

    /// Reads one line. Returns `None` at the end of the connection.
    pub(crate) async fn line(&mut self) -> Option<&str> {
        self.line.clear();
        match self.stream.read_line(&mut self.line).await {
            Ok(count) if count > 0 => Some(self.line.trim_end()),
            _ => None,
        }
    }

    pub(crate) async fn head(&mut self) -> Option<Head> {
        let line = self.line().await?.to_owned();
        let mut length = 0;
        loop {
            let header = self.line().await?.to_ascii_lowercase();
            if header.is_empty() {
                return Some(Head { line, length });
            }
            if let Some(value) = header.strip_prefix("content-length:") {
                length = value.trim().parse().unwrap_or(0);
            }
        }
    }

    pub(crate) async fn body(&mut self, length: usize) -> Vec<u8> {
        let mut body = vec![0; length];
        match self.stream.read_exact(&mut body).await {
            Ok(_) => body,
            Err(_) => Vec::new(),
        }
    }
}
