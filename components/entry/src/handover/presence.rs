//! Announces this entry to the other entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use compact_str::format_compact;
use config::text::Class;
use fleet::Control;
use tracing::warn;
use upstream::{Announcement, Availability, Capacity, Load, Role, Routes};

use super::ENTRIES;
use crate::core::Core;

/// Time between two announcements.
const RENEWAL_PERIOD: Duration = Duration::from_secs(1);
/// Lease of an announcement, in milliseconds.
const LEASE_MS: u64 = 3_000;

/// What this entry announces of itself.
#[derive(Clone, Debug)]
pub(crate) struct Presence {
    /// Address of its listener.
    pub address: SocketAddr,
}

/// Announces this entry for as long as the process runs.
pub(crate) async fn run<C: Control>(core: Arc<Core<C>>, presence: Presence) {
    let incarnation = unix_ms();
    let mut interval = tokio::time::interval(RENEWAL_PERIOD);
    let mut changes = core.changes.subscribe();
    let mut serving = true;
    for sequence in 1.. {
        loop {
            tokio::select! {
                _ = interval.tick() => break,
                // The other entries must learn of a stop before callers reconnect to them.
                _ = changes.changed() => {
                    let before = std::mem::replace(&mut serving, core.drain.is_serving());
                    if before != serving {
                        break;
                    }
                }
            }
        }
        let availability = match core.drain.is_serving() {
            true => Availability::Serving,
            false => Availability::Leaving,
        };
        let announced = core.control.announce(Announcement {
            upstream: name(&core.settings.node),
            incarnation,
            sequence,
            service: ENTRIES.into(),
            address: presence.address,
            data_centre: core.settings.data_centre.clone(),
            class: Class::OnDemand,
            role: Role::Both,
            models: Vec::new(),
            capacity: Capacity::default(),
            load: Load::default(),
            lease_ms: LEASE_MS,
            availability,
            fence: 0,
            software: Default::default(),
        });
        if let Err(error) = announced.await {
            warn!("handover: the other entries may not know that this one leaves: {error}");
        }
    }
}

/// Reports whether an entry is leaving, or was lost so recently that its route is still known.
pub(crate) fn any_unavailable(routes: &Routes) -> bool {
    let now = std::time::Instant::now();
    routes
        .for_service(ENTRIES)
        .any(|route| !route.takes_work(now))
}

/// Returns the name under which the entry `node` announces itself.
pub(crate) fn name(node: &str) -> compact_str::CompactString {
    format_compact!("entry:{node}")
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let since = since.unwrap_or_default().as_millis();
    u64::try_from(since).unwrap_or(u64::MAX)
}
