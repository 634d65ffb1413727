//! A plain service that counts executions by idempotency key and by body.

mod api;
mod ledger;
mod settings;
mod switches;

pub use api::{booking_number, read_answer};
pub use ledger::{Ledger, Record};
pub use settings::Settings;
pub use switches::Switches;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use upstream::{Announcement, Availability, Load};

use crate::announcer::{self, Handle};
use crate::{Lifecycle, web};

/// A running plain service; it is killed when dropped.
#[derive(Debug)]
pub struct Plain {
    address: SocketAddr,
    core: Arc<Core>,
}

#[derive(Debug)]
struct Core {
    settings: Settings,
    lifecycle: Lifecycle,
    announcer: Handle,
    ledger: Mutex<Ledger>,
    switches: Mutex<Switches>,
    availability: Mutex<Availability>,
}

impl Plain {
    /// Starts the service and announces it.
    ///
    /// # Errors
    /// Fails when the listener cannot be bound.
    pub async fn start(settings: Settings) -> io::Result<Plain> {
        let lifecycle = Lifecycle::default();
        let core = Arc::new(Core {
            settings: settings.clone(),
            lifecycle: lifecycle.clone(),
            announcer: Handle::default(),
            ledger: Mutex::default(),
            switches: Mutex::default(),
            availability: Mutex::default(),
        });
        let api_core = core.clone();
        let handler = move |request| api::handle(api_core.clone(), request);
        let address = web::serve(settings.listen, lifecycle.clone(), handler).await?;
        let incarnation = announcer::incarnation();
        let announcer_core = core.clone();
        let describe = move |sequence| announcer_core.describe(address, incarnation, sequence);
        announcer::start(
            settings.announce,
            &lifecycle,
            core.announcer.clone(),
            describe,
        );
        Ok(Plain { address, core })
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the lifecycle of the service, with which it is killed or frozen.
    pub fn lifecycle(&self) -> &Lifecycle {
        &self.core.lifecycle
    }

    /// Returns a copy of the ledger.
    pub fn ledger(&self) -> Ledger {
        lock(&self.core.ledger).clone()
    }

    /// Changes the fault switches.
    pub fn update_switches(&self, change: impl FnOnce(&mut Switches)) {
        change(&mut lock(&self.core.switches));
    }

    /// Announces that the service is leaving.
    pub fn leave(&self) {
        *lock(&self.core.availability) = Availability::Leaving;
        self.core.announcer.announce_now();
    }

    /// Announces a reclaim and kills the service after `notice`.
    pub fn reclaim(&self, notice: Duration) {
        let in_ms = notice.as_millis() as u64;
        *lock(&self.core.availability) = Availability::Reclaimed { in_ms };
        self.core.announcer.announce_now();
        let lifecycle = self.core.lifecycle.clone();
        self.core.lifecycle.spawn(async move {
            tokio::time::sleep(notice).await;
            lifecycle.kill();
        });
    }
}

impl Drop for Plain {
    fn drop(&mut self) {
        self.core.lifecycle.kill();
    }
}

impl Core {
    fn describe(&self, address: SocketAddr, incarnation: u64, sequence: u64) -> Announcement {
        let settings = &self.settings;
        Announcement {
            upstream: settings.upstream.clone(),
            incarnation,
            sequence,
            service: settings.service.clone(),
            address: settings.announce_as.unwrap_or(address),
            data_centre: settings.data_centre.clone(),
            class: settings.class,
            role: upstream::Role::Both,
            models: Vec::new(),
            capacity: settings.capacity,
            load: Load {
                running: lock(&self.ledger).running(),
                ..Load::default()
            },
            lease_ms: settings.announce.lease.as_millis() as u64,
            availability: *lock(&self.availability),
            fence: 0,
            software: Default::default(),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
