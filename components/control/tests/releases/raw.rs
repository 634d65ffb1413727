//! A connection of the system's own processes without any declaration, frame by frame.

use ciborium::Value;
use config::keys::Secret;
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use wire::{Envelope, Frame, Hello, PROTOCOL_VERSION, Role};

/// End of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Side {
    Dialer,
    Acceptor,
}

/// An open connection.
pub(crate) struct Raw {
    socket: WebSocketStream<TcpStream>,
    pub(crate) other: Hello,
    number: u64,
    echo: u64,
}

impl Raw {
    /// Exchanges hellos and proofs.
    pub(crate) async fn open(
        mut socket: WebSocketStream<TcpStream>,
        side: Side,
        node: &str,
        role: Role,
        secret: &Secret,
    ) -> Option<Raw> {
        let own = Hello {
            protocol: PROTOCOL_VERSION,
            node: node.into(),
            incarnation: 1,
            role,
            nonce: [side as u8; 16],
        };
        write(&mut socket, &Envelope(1, 0, Frame::Hello(own.clone()))).await?;
        let Frame::Hello(other) = wire::decode(&read(&mut socket).await?).ok()?.2 else {
            return None;
        };
        let (label, hellos): (&[u8], _) = match side {
            Side::Dialer => (b"dialer", [&own, &other]),
            Side::Acceptor => (b"acceptor", [&other, &own]),
        };
        let mut transcript = label.to_vec();
        for hello in hellos {
            let frame = Envelope(0, 0, Frame::Hello(hello.clone()));
            transcript.extend(wire::encode(&frame).ok()?);
        }
        let proof = Frame::Proof(secret.sign(&transcript));
        write(&mut socket, &Envelope(2, 1, proof)).await?;
        read(&mut socket).await?;
        Some(Raw {
            socket,
            other,
            number: 2,
            echo: 2,
        })
    }

    /// Returns the bytes of the next frame; `None` once the connection is closed.
    pub(crate) async fn receive(&mut self) -> Option<Vec<u8>> {
        let bytes = read(&mut self.socket).await?;
        self.echo += 1;
        Some(bytes)
    }

    pub(crate) async fn send(&mut self, frame: Frame) -> Option<()> {
        self.number += 1;
        let envelope = Envelope(self.number, self.echo, frame);
        write(&mut self.socket, &envelope).await
    }

    /// Sends a frame of any form.
    pub(crate) async fn send_value(&mut self, frame: Value) -> Option<()> {
        self.number += 1;
        let envelope = Value::Array(vec![self.number.into(), self.echo.into(), frame]);
        let mut bytes = Vec::new();
        ciborium::into_writer(&envelope, &mut bytes).ok()?;
        self.socket.send(Message::binary(bytes)).await.ok()
    }
}

async fn write(socket: &mut WebSocketStream<TcpStream>, envelope: &Envelope) -> Option<()> {
    let bytes = wire::encode(envelope).ok()?;
    socket.send(Message::binary(bytes)).await.ok()
}

async fn read(socket: &mut WebSocketStream<TcpStream>) -> Option<Vec<u8>> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => Some(bytes.to_vec()),
        _ => None,
    }
}
