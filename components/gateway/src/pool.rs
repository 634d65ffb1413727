//! Pool of idle connections to upstreams.

use std::time::{Duration, Instant};

use config::ids::{Incarnation, UpstreamId};
use indexmap::IndexMap;

use crate::balancer::Choice;
use crate::connection::Connection;

/// Time for which an idle connection is reused if its upstream states no keep-alive timeout.
const IDLE_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time for which an idle connection is reused, whatever its upstream states.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3_600);
/// Time before the upstream's keep-alive timeout at which a connection is no longer reused, so that
/// no request is sent while the upstream closes the connection.
const CLOSE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum number of idle connections to one upstream.
const MAX_IDLE_CONNECTIONS: u32 = 8;
/// Fraction of an upstream's connections that all entries together keep idle at most.
const MAX_IDLE_FRACTION: f64 = 0.5;
/// Number of entries assumed until the leader has sent the actual number.
const ASSUMED_ENTRIES: u32 = 100;

/// Returns how many idle connections one of `entries` entries keeps to an upstream that accepts
/// `max_connections` from all of them; `None` if that is not known.
pub fn idle_limit(max_connections: Option<u32>, entries: u32) -> u32 {
    let share = |max: u32| f64::from(max) * MAX_IDLE_FRACTION / f64::from(entries.max(1));
    max_connections.map_or(MAX_IDLE_CONNECTIONS, |max| {
        MAX_IDLE_CONNECTIONS.min(share(max) as u32)
    })
}

/// Idle connections by upstream.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: IndexMap<(UpstreamId, Incarnation), Vec<Idle>>,
    /// Number of entries that connect to the upstreams, as last received from the leader.
    entries: Option<u32>,
}

/// An idle connection, and when it is no longer reused.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires_at: Instant,
}

impl Pool {
    /// Takes a usable idle connection to an upstream, if there is one.
    pub(crate) fn take(&mut self, choice: &Choice, now: Instant) -> Option<Connection> {
        let idle = self
            .idle
            .get_mut(&(choice.upstream.clone(), choice.incarnation))?;
        while let Some(candidate) = idle.pop() {
            if now < candidate.expires_at && candidate.connection.is_ready() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Sets the number of entries that connect to the upstreams.
    pub(crate) fn set_entries(&mut self, entries: u32) {
        self.entries = Some(entries);
    }

    /// Adds a connection whose last answer was read completely. `keep_alive` is the idle timeout
    /// that the upstream stated, and `max_connections` how many it accepts from all entries.
    pub(crate) fn put(
        &mut self,
        choice: &Choice,
        connection: Connection,
        keep_alive: Option<Duration>,
        max_connections: Option<u32>,
        now: Instant,
    ) {
        let limit = idle_limit(max_connections, self.entries.unwrap_or(ASSUMED_ENTRIES));
        let usable =
            keep_alive.map_or(IDLE_TIMEOUT, |timeout| timeout.saturating_sub(CLOSE_MARGIN));
        let usable = usable.min(MAX_IDLE_TIME);
        if usable.is_zero() {
            return;
        }
        let key = (choice.upstream.clone(), choice.incarnation);
        let idle = self.idle.entry(key).or_default();
        idle.retain(|idle| now < idle.expires_at);
        if idle.len() < limit as usize {
            idle.push(Idle {
                connection,
                expires_at: now + usable,
            });
        }
    }

    /// Closes the idle connections to upstreams of which `is_gone` holds.
    pub(crate) fn remove_upstreams(&mut self, is_gone: impl Fn(&UpstreamId) -> bool) {
        self.idle.retain(|(upstream, _), _| !is_gone(upstream));
    }

    /// Closes the connections whose idle time has expired.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        for idle in self.idle.values_mut() {
            idle.retain(|idle| now < idle.expires_at);
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }
}
