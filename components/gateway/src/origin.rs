//! Keeps each stream at the software version that began it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::warn;
use upstream::{Origin, Software, StreamKey};

use crate::Refusal;
use crate::call::Call;
use crate::core::{Core, lock};

/// Longest time for which the first event waits until control processes hold the record.
const RECORD_TIMEOUT: Duration = Duration::from_millis(60);
/// Longest time from the beginning of a stream until it is taken up last, relative to the timeout of
/// its route. Callers may take it up several times, each time within the timeout.
const LIFETIME_PER_TIMEOUT: u32 = 2;
/// Longest wait for the answers of control processes about a stream.
const FIND_TIMEOUT: Duration = Duration::from_millis(400);

/// Records that `call` begins a stream at `software`, here and at control processes. After an
/// error, only this entry continues the stream.
pub(crate) async fn record(core: Arc<Core>, call: Arc<Call>, software: Software) {
    let key = key(&call, &call.id);
    let origin = Origin { key, software };
    lock(&core.origins).record(origin.clone(), Instant::now());
    if !core.member.record_origin(origin, RECORD_TIMEOUT).await {
        warn!(
            request = %call.id,
            "origin: the record did not reach enough control processes within {RECORD_TIMEOUT:?}"
        );
    }
}

/// Returns the software version at which `call` has to go on; `None` if it begins a stream.
///
/// # Errors
/// Returns a refusal if the call takes up a stream whose version is not known.
pub(crate) async fn find(core: &Core, call: &Call) -> Result<Option<Software>, Refusal> {
    if !call.takes_up() {
        return Ok(None);
    }
    let software = match &call.resumes {
        Some(begun) => find_record(core, &key(call, begun)).await,
        // Callers that don't name the request know of one version only.
        None if is_settled(core, call) => find_only_version(core, call).await,
        None => None,
    };
    software.map(Some).ok_or(Refusal::UnknownOrigin)
}

/// Returns the only version of the service's upstreams that this entry knows, if a majority of the
/// control processes knows no other one now. What the entry knows may be older than its lease tells: it
/// may just have been cut off, or have stood still.
async fn find_only_version(core: &Core, call: &Call) -> Option<Software> {
    let own = lock(&core.balancer).only_software(&call.service).cloned()?;
    let known = core.member.list_software(&call.service, FIND_TIMEOUT);
    let known = known.await?;
    known.iter().all(|version| *version == own).then_some(own)
}

/// Reports whether this entry has been in contact for as long as a stream of the route may go on. After
/// a start it does not know the upstreams that have left before.
fn is_settled(core: &Core, call: &Call) -> bool {
    let is_settled = lock(&core.contact).is_settled(Instant::now());
    is_settled && core.started.elapsed() >= call.route.timeout * LIFETIME_PER_TIMEOUT
}

async fn find_record(core: &Core, key: &StreamKey) -> Option<Software> {
    let own = lock(&core.origins).find(key).cloned();
    match own {
        Some(software) => Some(software),
        None => core.member.find_origin(key, FIND_TIMEOUT).await,
    }
}

fn key(call: &Call, begun: &str) -> StreamKey {
    let account = call.account.as_ref();
    StreamKey::new(account.map_or("", |account| account.name.as_str()), begun)
}
