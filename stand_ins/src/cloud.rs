//! A cloud API with instances, prices, reclaim notices, refused starts and waves on command.

mod admin;
mod api;
mod instance;
mod launch;
mod settings;
mod table;

pub use instance::{Instance, State};
pub use launch::{Launched, Template};
pub use settings::{Price, Settings};
pub use table::{Notice, Shortage, Wave};

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use config::ids::InstanceId;

use crate::{Life, web};
use table::Table;

/// A running cloud API; it and all that it launched is killed when dropped.
#[derive(Debug)]
pub struct Cloud {
    address: SocketAddr,
    core: Arc<Core>,
}

#[derive(Debug)]
struct Core {
    settings: Settings,
    life: Life,
    table: Mutex<Table>,
}

impl Cloud {
    /// Starts a cloud API without instances.
    ///
    /// # Errors
    /// Fails when the socket can't be opened.
    pub async fn start(settings: Settings) -> io::Result<Cloud> {
        let listen = settings.listen;
        let core = Arc::new(Core {
            settings,
            life: Life::default(),
            table: Mutex::default(),
        });
        let served = core.clone();
        let handler = move |request| api::handle(served.clone(), request);
        let address = web::serve(listen, core.life.clone(), handler).await?;
        Ok(Cloud { address, core })
    }

    /// Returns where the API listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the life of the API; instances live on without it.
    pub fn life(&self) -> &Life {
        &self.core.life
    }

    /// Returns all instances that there ever were.
    pub fn instances(&self) -> Vec<Instance> {
        self.core.table().instances().cloned().collect()
    }

    /// Returns what runs on an instance.
    pub fn launched(&self, instance: &str) -> Option<Arc<Launched>> {
        self.core.table().launched(instance)
    }

    /// Returns what runs on all instances, by name.
    pub fn all_launched(&self) -> Vec<(InstanceId, Arc<Launched>)> {
        self.core.table().all_launched()
    }

    /// Refuses starts.
    pub fn refuse(&self, shortage: Shortage) {
        self.core.table().refuse(shortage, Instant::now());
    }

    /// Takes instances back, and returns which.
    pub fn wave(&self, wave: &Wave) -> Vec<InstanceId> {
        self.core.wave(wave)
    }

    /// Returns how many starts were refused.
    pub fn refused(&self) -> u64 {
        self.core.table().refused
    }
}

impl Drop for Cloud {
    fn drop(&mut self) {
        self.core.life.kill();
    }
}

impl Core {
    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wave(self: &Arc<Self>, wave: &Wave) -> Vec<InstanceId> {
        let now = Instant::now();
        let notice = Duration::from_millis(wave.in_ms);
        let mut table = self.table();
        if let Some(shortage) = wave.shortage() {
            table.refuse(shortage, now);
        }
        let taken = table.notice(wave, now);
        for instance in &taken {
            if let Some(launched) = table.launched(instance) {
                launched.reclaim(notice);
            }
        }
        let (core, ends) = (self.clone(), taken.clone());
        self.life.spawn(async move {
            tokio::time::sleep(notice).await;
            let mut table = core.table();
            for instance in ends {
                table.end(&instance, State::Reclaimed);
            }
        });
        taken
    }
}
