//! Tells crashes of upstreams from connections that break for another reason.
//!
//! An upstream whose connection broke has crashed if it refuses new connections at once. Something
//! else may accept connections in its place, as a supervisor does; then it has crashed if another
//! process takes its place soon, without the upstream having said that it leaves. An entry that is
//! cut off from all upstreams can't tell.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::{sleep, timeout};
use tracing::warn;

use crate::balancer::Choice;
use crate::call::Call;
use crate::core::{Core, lock};
use crate::reach;

/// Pauses before the attempts to connect with an upstream whose connection broke. One that crashes
/// may still accept connections for a moment.
const PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(200),
];
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time within which other upstreams refuse connections as well if this entry is cut off.
const CUT_OFF_TIME: Duration = Duration::from_millis(60);
/// Time within which another process takes the place of an upstream that crashed.
const RESTART_TIME: Duration = Duration::from_secs(6);
/// Broken connections that are kept at one time, in case their upstream is replaced.
const MAX_BROKEN: usize = 128;

/// Connections that broke within the last [`RESTART_TIME`] at upstreams that still accept
/// connections.
#[derive(Debug, Default)]
pub(crate) struct Broken {
    connections: VecDeque<Connection>,
}

/// A connection that broke.
#[derive(Clone, Debug)]
struct Connection {
    choice: Choice,
    /// The request, whose answer had not begun well.
    call: Arc<Call>,
    at: Instant,
}

impl Broken {
    fn add(&mut self, connection: Connection) {
        if self.connections.len() >= MAX_BROKEN {
            self.connections.pop_front();
        }
        self.connections.push_back(connection);
    }

    /// Removes and returns the connections to upstreams of which `is_replaced` holds, and forgets
    /// old ones.
    fn take_replaced(
        &mut self,
        is_replaced: impl Fn(&Choice) -> bool,
        now: Instant,
    ) -> Vec<Connection> {
        self.connections
            .retain(|broken| now.saturating_duration_since(broken.at) < RESTART_TIME);
        let (replaced, kept) = std::mem::take(&mut self.connections)
            .into_iter()
            .partition(|broken| is_replaced(&broken.choice));
        self.connections = kept;
        Vec::from(replaced)
    }
}

/// Checks whether the upstream of `choice` has crashed, and records `call`, whose answer had not
/// begun well.
pub(crate) fn check(core: &Arc<Core>, call: &Arc<Call>, choice: &Choice) {
    if lock(&core.balancer).is_leaving(choice) {
        return;
    }
    let broken = Connection {
        choice: choice.clone(),
        call: call.clone(),
        at: Instant::now(),
    };
    if lock(&core.quarantine).knows_crash(choice) {
        return record(core, &broken);
    }
    let core = core.clone();
    tokio::spawn(async move {
        match refuses_connections(&core, &broken.choice).await {
            true if is_cut_off(&core, &broken).await => {
                broken.log("not known, as this entry reaches no upstream");
            }
            true => {
                broken.log("the upstream refuses connections");
                record(&core, &broken);
            }
            false => lock(&core.broken).add(broken),
        }
    });
}

/// Records the crashes of upstreams in whose place another process has announced itself.
pub(crate) fn check_replaced(core: &Core, now: Instant) {
    let replaced = {
        let balancer = lock(&core.balancer);
        let is_replaced = |choice: &Choice| balancer.is_replaced(choice);
        lock(&core.broken).take_replaced(is_replaced, now)
    };
    for broken in replaced {
        broken.log("another process has taken the upstream's place");
        record(core, &broken);
    }
}

impl Connection {
    fn log(&self, evidence: &str) {
        warn!(
            request = %self.call.id,
            upstream = %self.choice.upstream,
            fingerprint = %format_args!("{:x}", self.call.fingerprint),
            parts = %self.call.shared_parts_text(),
            "crash: {evidence}"
        );
    }
}

fn record(core: &Core, broken: &Connection) {
    let Connection { choice, call, at } = broken;
    lock(&core.quarantine).record_crash(choice, call, *at);
    core.report_now.notify_one();
}

/// Reports whether this entry reaches no upstream of any service, and not only none of that of a
/// broken connection, whose upstreams may all have crashed.
async fn is_cut_off(core: &Arc<Core>, broken: &Connection) -> bool {
    let Connection { choice, call, .. } = broken;
    reach::record(core, &call.service, &choice.upstream, false);
    sleep(CUT_OFF_TIME).await;
    let services = lock(&core.balancer).services();
    let reach = lock(&core.reach);
    services.iter().all(|service| reach.is_lost(service))
}

async fn refuses_connections(core: &Core, choice: &Choice) -> bool {
    for pause in PAUSES {
        sleep(pause).await;
        match timeout(
            CONNECT_TIMEOUT,
            core.settings.network.connect(choice.address),
        )
        .await
        {
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => return true,
            _ => {}
        }
    }
    false
}
