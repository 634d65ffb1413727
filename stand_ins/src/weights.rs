//! A store of model weights, whose bandwidth is shared by all readers.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::Lifecycle;
use crate::web::{self, Disconnect, Request, Response};

const CHUNK_BYTES: usize = 16 * 1_024;

/// Content and bandwidth of a weight store.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the listener; with port 0 the system assigns one.
    pub listen: SocketAddr,
    /// Total rate of all readers, in bytes per second.
    pub bytes_per_second: f64,
    /// Sizes of weights in bytes, by `model/version`.
    pub sizes: IndexMap<String, usize>,
    /// Size of all other weights in bytes; with `None` they are not found.
    pub default_size: Option<usize>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            bytes_per_second: 16_000_000.0,
            sizes: IndexMap::new(),
            default_size: Some(1_000_000),
        }
    }
}

/// A running weight store; it is killed when dropped.
#[derive(Debug)]
pub struct Weights {
    address: SocketAddr,
    lifecycle: Lifecycle,
    store: Arc<Store>,
}

#[derive(Debug)]
struct Store {
    settings: Settings,
    /// Time until which the bandwidth is reserved.
    free_at: Mutex<Instant>,
    reads: Mutex<Vec<String>>,
}

impl Weights {
    /// Starts a weight store.
    ///
    /// # Errors
    /// Fails when the listener cannot be bound.
    pub async fn start(settings: Settings) -> io::Result<Weights> {
        let lifecycle = Lifecycle::default();
        let listen = settings.listen;
        let store = Arc::new(Store {
            settings,
            free_at: Mutex::new(Instant::now()),
            reads: Mutex::default(),
        });
        let api_store = store.clone();
        let handler = move |request| handle(api_store.clone(), request);
        let address = web::serve(listen, lifecycle.clone(), handler).await?;
        Ok(Weights {
            address,
            lifecycle,
            store,
        })
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the lifecycle of the store.
    pub fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    /// Returns the weights that were read, as `model/version`, oldest first.
    pub fn reads(&self) -> Vec<String> {
        let reads = self.store.reads.lock();
        reads.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for Weights {
    fn drop(&mut self) {
        self.lifecycle.kill();
    }
}

async fn handle(store: Arc<Store>, request: Request) -> Result<Response, Disconnect> {
    let name = request.uri().path().strip_prefix("/v1/weights/");
    let name = name.unwrap_or_default().to_owned();
    let settings = &store.settings;
    let size = settings.sizes.get(&name).copied().or(settings.default_size);
    match size {
        Some(size) if name.contains('/') => {
            let reads = store.reads.lock();
            reads.unwrap_or_else(PoisonError::into_inner).push(name);
            Ok(send(store.clone(), size))
        }
        _ => {
            let message = format!("weights \"{name}\" are unknown");
            Ok(web::error(StatusCode::NOT_FOUND, "not_found", &message))
        }
    }
}

fn send(store: Arc<Store>, size: usize) -> Response {
    let chunks = stream::unfold((store, size), |(store, remaining)| async move {
        let chunk = remaining.min(CHUNK_BYTES);
        if chunk == 0 {
            return None;
        }
        tokio::time::sleep_until(store.reserve(chunk)).await;
        let bytes = Bytes::from_static(&[0; CHUNK_BYTES]).slice(..chunk);
        Some((Ok(Frame::data(bytes)), (store, remaining - chunk)))
    });
    hyper::Response::builder()
        .header(CONTENT_LENGTH, size)
        .body(StreamBody::new(chunks).boxed_unsync())
        .expect("the headers are valid")
}

impl Store {
    /// Reserves bandwidth for `bytes` and returns when they may be sent.
    fn reserve(&self, bytes: usize) -> Instant {
        let send_time = Duration::from_secs_f64(bytes as f64 / self.settings.bytes_per_second);
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        *free_at = Instant::now().max(*free_at) + send_time;
        *free_at
    }
}
