//! Open connections of a server, of which the one that waits longest for a request gives way to a new one.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use prometheus::IntCounter;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use tracing::warn;

/// Longest wait for the end of a connection that gives way.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Shortest time between two log lines, in microseconds.
const LOG_INTERVAL_US: u64 = 1_000_000;
/// Value of [`Connection::waits_since`] while a request is served.
const SERVING: u64 = u64::MAX;
/// Value of [`Connection::head_since`] while no head arrives.
const NO_HEAD: u64 = u64::MAX;

/// The open connections of one server.
#[derive(Debug)]
pub(crate) struct Connections {
    created: Instant,
    next: AtomicU64,
    open: AtomicUsize,
    waiting: Mutex<BTreeMap<u64, Arc<Connection>>>,
    closed: Notify,
    gave_way: IntCounter,
    /// Time from which the next line may be logged, in microseconds since the creation.
    next_line: AtomicU64,
}

/// An open connection.
#[derive(Debug)]
pub(crate) struct Connection {
    id: u64,
    /// Time since which it waits for the end of a request's head, in microseconds since the creation of the
    /// server.
    waits_since: AtomicU64,
    /// Time of the first byte of the head that arrives, in microseconds since the creation of the server.
    head_since: AtomicU64,
    give_way: Notify,
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub(crate) struct Guard {
    connections: Arc<Connections>,
    connection: Arc<Connection>,
}

impl Connections {
    pub(crate) fn new() -> Connections {
        let gave_way = IntCounter::new(
            "chervilloft_http_closed_connections_total",
            "Connections without a request that were closed for new ones.",
        );
        Connections {
            created: Instant::now(),
            next: AtomicU64::new(0),
            open: AtomicUsize::new(0),
            waiting: Mutex::default(),
            closed: Notify::new(),
            gave_way: gave_way.expect("valid metric"),
            next_line: AtomicU64::new(0),
        }
    }

    /// Returns the counter of connections that gave way.
    pub(crate) fn gave_way(&self) -> &IntCounter {
        &self.gave_way
    }

    /// Returns the number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Makes room for a connection beside at most `max` others. Returns false if all of these serve requests.
    pub(crate) async fn make_room(&self, max: usize) -> bool {
        while self.open() >= max {
            let closed = self.closed.notified();
            let Some(longest) = self.take_longest_waiting() else {
                return false;
            };
            longest.give_way.notify_one();
            self.gave_way.inc();
            self.log(max);
            let _ = timeout(CLOSE_TIMEOUT, closed).await;
        }
        true
    }

    /// Adds a connection that waits for its first request.
    pub(crate) fn add(self: &Arc<Self>) -> Guard {
        let connection = Arc::new(Connection {
            id: self.next.fetch_add(1, Ordering::Relaxed),
            waits_since: AtomicU64::new(self.now()),
            head_since: AtomicU64::new(NO_HEAD),
            give_way: Notify::new(),
        });
        self.open.fetch_add(1, Ordering::Relaxed);
        self.waiting().insert(connection.id, connection.clone());
        Guard {
            connections: self.clone(),
            connection,
        }
    }

    fn take_longest_waiting(&self) -> Option<Arc<Connection>> {
        let mut waiting = self.waiting();
        let since = |connection: &Connection| connection.waits_since.load(Ordering::Relaxed);
        let longest = waiting
            .values()
            .min_by_key(|connection| since(connection))?;
        let id = Some(longest)
            .filter(|longest| since(longest) != SERVING)?
            .id;
        waiting.remove(&id)
    }

    fn waiting(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<Connection>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> u64 {
        u64::try_from(self.created.elapsed().as_micros()).unwrap_or(SERVING - 1)
    }

    fn log(&self, max: usize) {
        let (now, next) = (self.now(), self.next_line.load(Ordering::Relaxed));
        if now >= next {
            self.next_line
                .store(now + LOG_INTERVAL_US, Ordering::Relaxed);
            warn!(
                closed = self.gave_way.get(),
                "http: {max} connections are open; closed the one that waited longest for a request"
            );
        }
    }
}

impl Guard {
    /// Records that a request is served.
    pub(crate) fn begin(&self) {
        let waits_since = &self.connection.waits_since;
        waits_since.store(SERVING, Ordering::Relaxed);
        let head_since = &self.connection.head_since;
        head_since.store(NO_HEAD, Ordering::Relaxed);
    }

    /// Records that bytes have arrived, which begin a head unless one arrives already or a request is served.
    pub(crate) fn record_bytes(&self) {
        let head_since = &self.connection.head_since;
        if head_since.load(Ordering::Relaxed) == NO_HEAD && !self.is_serving() {
            head_since.store(self.connections.now(), Ordering::Relaxed);
        }
    }

    /// Returns once a head has not arrived whole within `limit` from its first byte. One timer serves all heads
    /// of the connection.
    pub(crate) async fn head_is_late(&self, limit: Option<Duration>) {
        let Some(limit) = limit else {
            return std::future::pending().await;
        };
        loop {
            let time_left = match self.connection.head_since.load(Ordering::Relaxed) {
                NO_HEAD => limit,
                since => {
                    let elapsed = self.connections.now().saturating_sub(since);
                    limit.saturating_sub(Duration::from_micros(elapsed))
                }
            };
            match time_left.is_zero() {
                true => return,
                false => sleep(time_left).await,
            }
        }
    }

    /// Records that the connection waits for the next request.
    pub(crate) fn end(&self) {
        let waits_since = &self.connection.waits_since;
        waits_since.store(self.connections.now(), Ordering::Relaxed);
    }

    /// Returns once the connection has to give way to another one.
    pub(crate) async fn must_give_way(&self) {
        self.connection.give_way.notified().await;
    }

    /// Reports whether a request is served.
    pub(crate) fn is_serving(&self) -> bool {
        self.connection.waits_since.load(Ordering::Relaxed) == SERVING
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.connections.waiting().remove(&self.connection.id);
        self.connections.open.fetch_sub(1, Ordering::Relaxed);
        self.connections.closed.notify_one();
    }
}
