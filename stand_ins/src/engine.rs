//! A simulated model engine with continuous batching, a prefix cache, KV state transfer and orders.
//!
//! Time is simulated: one second of simulated time takes `1 / time_scale` seconds.

mod announce;
mod api;
mod batch;
mod buffered;
mod cache;
mod generate;
mod history;
mod job;
mod kv;
mod orders;
mod request;
mod scheduler;
mod settings;
mod status;
mod stream;
mod switches;

pub use history::{End, Record};
pub use settings::{Fencing, Settings, Transfer};
pub use switches::Switches;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use upstream::Served;

use crate::announcer::{self, Handle};
use crate::{Lifecycle, web};

use batch::Batch;
use cache::Cache;
use history::History;
use kv::Transfers;
use status::Status;

/// A running engine; it is killed when dropped.
#[derive(Debug)]
pub struct Engine {
    address: SocketAddr,
    core: Arc<Core>,
}

/// State shared by all tasks of one engine.
#[derive(Debug)]
struct Core {
    settings: Settings,
    lifecycle: Lifecycle,
    announcer: Handle,
    started: Instant,
    /// Notified when a request is queued.
    work: Notify,
    batch: Mutex<Batch>,
    cache: Mutex<Cache>,
    transfers: Mutex<Transfers>,
    status: Mutex<Status>,
    history: Mutex<History>,
    switches: Mutex<Switches>,
}

impl Engine {
    /// Starts an engine and announces it.
    ///
    /// # Errors
    /// Fails when the listener cannot be bound.
    pub async fn start(settings: Settings) -> io::Result<Engine> {
        let core = Arc::new(Core::new(settings));
        let (listen, lifecycle) = (core.settings.listen, core.lifecycle.clone());
        let api_core = core.clone();
        let handler = move |request| api::handle(api_core.clone(), request);
        let address = web::serve(listen, lifecycle.clone(), handler).await?;
        lifecycle.spawn(scheduler::run(core.clone()));
        let announcer_core = core.clone();
        let incarnation = announcer::incarnation();
        let describe = move |sequence| announcer_core.describe(address, incarnation, sequence);
        let settings = core.settings.announce.clone();
        announcer::start(settings, &lifecycle, core.announcer.clone(), describe);
        Ok(Engine { address, core })
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the settings with which the engine was started.
    pub fn settings(&self) -> &Settings {
        &self.core.settings
    }

    /// Returns the lifecycle of the engine, with which it is killed or frozen.
    pub fn lifecycle(&self) -> &Lifecycle {
        &self.core.lifecycle
    }

    /// Returns the handle of the engine's announcements.
    pub fn announcer(&self) -> &Handle {
        &self.core.announcer
    }

    /// Returns the records of all requests that the engine accepted, oldest first.
    pub fn history(&self) -> Vec<Record> {
        lock(&self.core.history).records()
    }

    /// Returns the number of running and waiting requests.
    pub fn in_progress(&self) -> usize {
        lock(&self.core.batch).in_progress()
    }

    /// Returns the loaded models.
    pub fn models(&self) -> Vec<Served> {
        lock(&self.core.status).models.clone()
    }

    /// Changes the fault switches.
    pub fn update_switches(&self, change: impl FnOnce(&mut Switches)) {
        change(&mut lock(&self.core.switches));
    }

    /// Announces a reclaim, unless `ignore_notice` is set, and kills the engine after `notice`.
    pub fn reclaim(&self, notice: Duration) {
        self.core.reclaim(notice);
    }

    /// Announces that the engine is leaving, and refuses new requests.
    pub fn drain(&self) {
        lock(&self.core.status).draining = true;
        self.core.announcer.announce_now();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.core.lifecycle.kill();
    }
}

impl Core {
    fn new(settings: Settings) -> Core {
        Core {
            lifecycle: Lifecycle::default(),
            announcer: Handle::default(),
            started: Instant::now(),
            work: Notify::new(),
            batch: Mutex::new(Batch::new(settings.capacity.batch, settings.max_waiting)),
            cache: Mutex::new(Cache::new(&settings)),
            transfers: Mutex::default(),
            status: Mutex::new(Status::new(&settings)),
            history: Mutex::default(),
            switches: Mutex::default(),
            settings,
        }
    }

    /// Starts the reclaim of the engine's instance.
    fn reclaim(&self, notice: Duration) {
        let ignored = lock(&self.switches).ignore_notice;
        if !ignored {
            let now = Instant::now();
            let mut status = lock(&self.status);
            status.reclaim_notice_at = Some(now);
            status.stops_at = Some(now + notice);
            drop(status);
            self.announcer.announce_now();
        }
        let lifecycle = self.lifecycle.clone();
        self.lifecycle.spawn(async move {
            tokio::time::sleep(notice).await;
            lifecycle.kill();
        });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
