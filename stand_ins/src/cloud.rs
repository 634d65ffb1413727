//! A cloud API with instances and prices, and with shortages and reclaims on command.

mod admin;
mod api;
mod instance;
mod settings;
mod table;
mod template;

pub use instance::{Instance, State};
pub use settings::{Price, Settings};
pub use table::{Notice, Reclaim, Shortage};
pub use template::{Template, Upstream};

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use config::ids::InstanceId;

use crate::{Lifecycle, web};
use table::Table;

/// A running cloud API; it is killed, with the upstreams on its instances, when dropped.
#[derive(Debug)]
pub struct Cloud {
    address: SocketAddr,
    core: Arc<Core>,
}

#[derive(Debug)]
struct Core {
    settings: Settings,
    lifecycle: Lifecycle,
    table: Mutex<Table>,
}

impl Cloud {
    /// Starts a cloud API without instances.
    ///
    /// # Errors
    /// Fails when the listener cannot be bound.
    pub async fn start(settings: Settings) -> io::Result<Cloud> {
        let listen = settings.listen;
        let core = Arc::new(Core {
            settings,
            lifecycle: Lifecycle::default(),
            table: Mutex::default(),
        });
        let api_core = core.clone();
        let handler = move |request| api::handle(api_core.clone(), request);
        let address = web::serve(listen, core.lifecycle.clone(), handler).await?;
        Ok(Cloud { address, core })
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the lifecycle of the API; killing it leaves the instances running.
    pub fn lifecycle(&self) -> &Lifecycle {
        &self.core.lifecycle
    }

    /// Returns all instances ever ordered, including ended ones.
    pub fn instances(&self) -> Vec<Instance> {
        self.core.table().instances().cloned().collect()
    }

    /// Returns the upstream that was launched on an instance.
    pub fn upstream(&self, instance: &str) -> Option<Arc<Upstream>> {
        self.core.table().upstream(instance)
    }

    /// Returns the upstreams of all instances, with the ids of the instances.
    pub fn upstreams(&self) -> Vec<(InstanceId, Arc<Upstream>)> {
        self.core.table().upstreams()
    }

    /// Refuses starts for the duration of `shortage`.
    pub fn add_shortage(&self, shortage: Shortage) {
        self.core.table().add_shortage(shortage, Instant::now());
    }

    /// Reclaims instances and returns their ids.
    pub fn reclaim(&self, reclaim: &Reclaim) -> Vec<InstanceId> {
        self.core.reclaim(reclaim)
    }

    /// Returns the number of refused starts.
    pub fn refused_starts(&self) -> u64 {
        self.core.table().refused_starts
    }
}

impl Drop for Cloud {
    fn drop(&mut self) {
        self.core.lifecycle.kill();
    }
}

impl Core {
    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reclaim(self: &Arc<Self>, reclaim: &Reclaim) -> Vec<InstanceId> {
        let now = Instant::now();
        let notice = Duration::from_millis(reclaim.in_ms);
        let mut table = self.table();
        if let Some(shortage) = reclaim.shortage() {
            table.add_shortage(shortage, now);
        }
        let reclaimed = table.add_notices(reclaim, now);
        for instance in &reclaimed {
            if let Some(upstream) = table.upstream(instance) {
                upstream.reclaim(notice);
            }
        }
        let (core, ids) = (self.clone(), reclaimed.clone());
        self.lifecycle.spawn(async move {
            tokio::time::sleep(notice).await;
            let mut table = core.table();
            for instance in ids {
                table.end(&instance, State::Reclaimed);
            }
        });
        reclaimed
    }
}
