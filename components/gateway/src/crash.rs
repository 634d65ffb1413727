//! Tells crashes of upstreams from connections that break for another reason.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tracing::warn;

use crate::balancer::Choice;
use crate::call::Call;
use crate::core::{Core, lock};

/// Pauses before the attempts to connect with an upstream whose connection broke. One that crashes
/// may still accept connections for a moment.
const PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(200),
];
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Checks whether the upstream of `choice` has crashed, and records `call`, whose answer had not
/// begun well.
pub(crate) fn check(core: &Arc<Core>, call: &Arc<Call>, choice: &Choice) {
    if lock(&core.balancer).is_leaving(choice) {
        return;
    }
    let (core, call, choice) = (core.clone(), call.clone(), choice.clone());
    let broke_at = Instant::now();
    let is_known = lock(&core.quarantine).knows_crash(&choice);
    if is_known {
        record(&core, &choice, &call, broke_at);
        return;
    }
    tokio::spawn(async move {
        if refuses_connections(&choice).await {
            warn!(
                request = %call.id,
                upstream = %choice.upstream,
                fingerprint = %format_args!("{:x}", call.fingerprint),
                parts = %call.shared_parts_text(),
                "crash: the upstream refuses connections"
            );
            record(&core, &choice, &call, broke_at);
        }
    });
}

fn record(core: &Core, choice: &Choice, call: &Call, broke_at: Instant) {
    lock(&core.quarantine).record_crash(choice, call, broke_at);
    core.report_now.notify_one();
}

async fn refuses_connections(choice: &Choice) -> bool {
    for pause in PAUSES {
        sleep(pause).await;
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(choice.address)).await {
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => return true,
            _ => {}
        }
    }
    false
}
