//! The handshake, in which both ends prove that they know the fleet's secret.
//!
//! Each end sends a hello with a random nonce, then an HMAC over the label of its side and both
//! hellos. The label keeps a proof from being reflected to its sender.

use errors::{Error, Peer, Result, Step};
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use wire::{Envelope, Frame, Hello, PROTOCOL_VERSION};

use crate::Identity;

pub(crate) type Socket = WebSocketStream<TcpStream>;

/// End of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Side {
    Dialer,
    Acceptor,
}

impl Side {
    fn other(self) -> Side {
        match self {
            Side::Dialer => Side::Acceptor,
            Side::Acceptor => Side::Dialer,
        }
    }

    fn label(self) -> &'static [u8] {
        match self {
            Side::Dialer => b"dialer",
            Side::Acceptor => b"acceptor",
        }
    }
}

/// Exchanges hellos and proofs, and returns the hello of the other end.
pub(crate) async fn run(
    socket: &mut Socket,
    side: Side,
    identity: &Identity,
    peer: &Peer,
) -> Result<Hello> {
    let mut nonce = [0; 16];
    getrandom::fill(&mut nonce)
        .map_err(|error| refusal(peer, format!("can't generate a nonce: {error}")))?;
    let own = identity.hello(nonce);
    send(socket, 1, Frame::Hello(own.clone()), peer).await?;
    let other = match receive(socket, peer).await? {
        Frame::Hello(hello) if hello.protocol != PROTOCOL_VERSION => {
            let reason = format!(
                "the other end has protocol version {}, this process has {PROTOCOL_VERSION}",
                hello.protocol
            );
            return Err(refusal(peer, reason));
        }
        Frame::Hello(hello) => hello,
        _ => return Err(refusal(peer, "first frame is not a hello".to_owned())),
    };
    let (dialer, acceptor) = match side {
        Side::Dialer => (&own, &other),
        Side::Acceptor => (&other, &own),
    };
    let proof = identity
        .secret
        .sign(&transcript(side, dialer, acceptor, peer)?);
    send(socket, 2, Frame::Proof(proof), peer).await?;
    let expected = transcript(side.other(), dialer, acceptor, peer)?;
    match receive(socket, peer).await? {
        Frame::Proof(proof) if identity.secret.verify(&expected, &proof) => Ok(other),
        Frame::Proof(_) => {
            let reason = format!("\"{}\" does not know the fleet's secret", other.node);
            Err(refusal(peer, reason))
        }
        _ => Err(refusal(peer, "second frame is not a proof".to_owned())),
    }
}

/// Returns the bytes that the end on `side` signs.
fn transcript(side: Side, dialer: &Hello, acceptor: &Hello, peer: &Peer) -> Result<Vec<u8>> {
    let mut bytes = side.label().to_vec();
    for hello in [dialer, acceptor] {
        let frame = Envelope(0, 0, Frame::Hello(hello.clone()));
        bytes.extend(wire::encode(&frame).map_err(|error| refusal(peer, error.to_string()))?);
    }
    Ok(bytes)
}

async fn send(socket: &mut Socket, sequence: u64, frame: Frame, peer: &Peer) -> Result<()> {
    let bytes = wire::encode(&Envelope(sequence, sequence - 1, frame))
        .map_err(|error| refusal(peer, error.to_string()))?;
    socket
        .send(Message::binary(bytes))
        .await
        .map_err(|error| Error::Other(Step::Authenticate, peer.clone(), Box::new(error)))
}

async fn receive(socket: &mut Socket, peer: &Peer) -> Result<Frame> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => wire::decode(&bytes)
            .map(|envelope| envelope.2)
            .map_err(|error| refusal(peer, error.to_string())),
        Some(Ok(_)) => Err(refusal(peer, "message is not binary".to_owned())),
        Some(Err(error)) => Err(Error::Other(
            Step::Authenticate,
            peer.clone(),
            Box::new(error),
        )),
        None => Err(refusal(peer, "closed during the handshake".to_owned())),
    }
}

fn refusal(peer: &Peer, reason: String) -> Error {
    Error::Protocol(Step::Authenticate, peer.clone(), reason)
}
