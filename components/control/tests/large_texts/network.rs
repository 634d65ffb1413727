//! Links of instances with a bounded bandwidth, and relays over them.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep_until;

/// Bytes of one direction of a connection that are on their way at one time.
const WINDOW_BYTES: usize = 64 * 1_024;

/// The link of one instance, the same in both directions.
#[derive(Debug)]
pub(crate) struct Link {
    bytes_per_second: f64,
    outgoing: Mutex<Instant>,
    incoming: Mutex<Instant>,
}

impl Link {
    pub(crate) fn new(megabits_per_second: f64) -> Arc<Link> {
        const BYTES_PER_MEGABIT: f64 = 125_000.0;
        Arc::new(Link {
            bytes_per_second: megabits_per_second * BYTES_PER_MEGABIT,
            outgoing: Mutex::new(Instant::now()),
            incoming: Mutex::new(Instant::now()),
        })
    }

    /// Returns when `bytes` that are queued now in one direction have passed.
    fn pass(&self, direction: &Mutex<Instant>, bytes: usize) -> Instant {
        let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        let mut free_at = direction.lock().unwrap_or_else(PoisonError::into_inner);
        *free_at = (*free_at).max(Instant::now()) + time;
        *free_at
    }
}

/// Listens for connections from the instance with the link `near`, and relays them to `target` at
/// the instance with the link `far`. Returns the address to connect to.
pub(crate) async fn relay(near: Arc<Link>, far: Arc<Link>, target: SocketAddr) -> SocketAddr {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = TcpListener::bind(any)
        .await
        .expect("loopback can be listened on");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        while let Ok((caller, _)) = listener.accept().await {
            tokio::spawn(forward(caller, target, near.clone(), far.clone()));
        }
    });
    address
}

async fn forward(caller: TcpStream, target: SocketAddr, near: Arc<Link>, far: Arc<Link>) {
    let Ok(target) = TcpStream::connect(target).await else {
        return;
    };
    for stream in [&caller, &target] {
        let _ = SockRef::from(stream).set_recv_buffer_size(WINDOW_BYTES);
        let _ = stream.set_nodelay(true);
    }
    let (from_caller, to_caller) = caller.into_split();
    let (from_target, to_target) = target.into_split();
    let up = copy(from_caller, to_target, near.clone(), far.clone());
    let down = copy(from_target, to_caller, far, near);
    // Either end closes both directions, as a reset does.
    tokio::select! {
        () = up => {}
        () = down => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    sender: Arc<Link>,
    receiver: Arc<Link>,
) {
    let mut buffer = vec![0; WINDOW_BYTES];
    loop {
        let length = from.read(&mut buffer).await.unwrap_or(0);
        if length == 0 {
            return;
        }
        let sent = sender.pass(&sender.outgoing, length);
        let received = receiver.pass(&receiver.incoming, length);
        sleep_until(sent.max(received).into()).await;
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
