//! A relay between an entry and a control process that can make open connections silent.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::fleet_of_one::any_port;

pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    /// Connections with a smaller number carry nothing any more.
    cut: watch::Sender<u64>,
    accepted: watch::Receiver<u64>,
}

impl Relay {
    pub(crate) async fn start(to: SocketAddr) -> Relay {
        let listener = TcpListener::bind(any_port())
            .await
            .expect("loopback can be listened on");
        let address = listener.local_addr().expect("the listener has an address");
        let cut = watch::Sender::new(0);
        let (count, accepted) = watch::channel(0);
        let cuts = cut.subscribe();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let number = *count.borrow();
                count.send_replace(number + 1);
                if let Ok(far) = TcpStream::connect(to).await {
                    let (near_read, near_write) = near.into_split();
                    let (far_read, far_write) = far.into_split();
                    tokio::spawn(copy(near_read, far_write, number, cuts.clone()));
                    tokio::spawn(copy(far_read, near_write, number, cuts.clone()));
                }
            }
        });
        Relay {
            address,
            cut,
            accepted,
        }
    }

    /// Makes the open connections silent; new ones work.
    pub(crate) fn silence_open(&self) {
        self.cut.send_replace(*self.accepted.borrow());
    }

    /// Makes all connections silent, also those that are yet to be opened.
    pub(crate) fn silence_all(&self) {
        self.cut.send_replace(u64::MAX);
    }

    /// Lets new connections work again.
    pub(crate) fn mend(&self) {
        self.silence_open();
    }

    pub(crate) fn accepted(&self) -> u64 {
        *self.accepted.borrow()
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    number: u64,
    cut: watch::Receiver<u64>,
) {
    let mut buffer = [0; 16 * 1_024];
    loop {
        let length = from.read(&mut buffer).await.unwrap_or(0);
        let silent = number < *cut.borrow();
        match length {
            // A silent connection does not say that one end closed.
            0 if silent => std::future::pending().await,
            0 => return,
            _ if silent => {}
            length if to.write_all(&buffer[..length]).await.is_err() => return,
            _ => {}
        }
    }
}
