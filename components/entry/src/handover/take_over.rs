//! Takes over a request from a stopping entry.

use std::sync::Arc;

use bytes::Bytes;
use fleet::Control;
use http::{HeaderMap, StatusCode};
use tokio::sync::oneshot;
use upstream::SIGNATURE_HEADER;

use super::buffer::Buffer;
use super::{Record, Store};
use crate::core::Core;
use crate::failure::{Failure, Kind};
use crate::model;
use crate::reply::{Body, Reply};
use crate::stream::KEEP_ALIVE;

/// Takes over the request whose record is in `body`, if another entry signed it.
///
/// # Errors
/// If the record is forged or malformed, this entry is stopping, or the answer can't be buffered.
pub(crate) fn take_over<C: Control>(
    core: &Arc<Core<C>>,
    headers: &HeaderMap,
    body: &Bytes,
) -> Result<Reply, Failure> {
    let signature = headers.get(SIGNATURE_HEADER);
    let signature = signature.and_then(|value| value.to_str().ok());
    if !core.keys.fleet.verify(body, signature.unwrap_or("")) {
        let message = "the signature does not fit the body and the fleet's secret";
        return Err(Failure::new(Kind::Unauthorized, message));
    }
    let record: Record = ciborium::from_reader(body.as_ref()).map_err(|error| {
        let message = compact_str::format_compact!("the body is not a record: {error}");
        Failure::new(Kind::Invalid, message)
    })?;
    if !core.drain.is_serving() {
        return Err(Failure::new(Kind::Draining, "this entry is stopping"));
    }
    let config = core.config()?;
    let buffer = reserve(&core.buffers, &record)?;
    tracing::info!(
        request = %record.request,
        account = %record.account,
        service = %record.service,
        tokens = record.tokens.len(),
        "request: taken over"
    );
    let (sender, receiver) = oneshot::channel();
    let guard = core.drain.enter();
    let core = core.clone();
    let runtime = core.runtime.clone();
    runtime.spawn(async move {
        let _guard = guard;
        tokio::join!(
            model::resume(core, config, record, sender),
            fill(buffer, receiver)
        );
    });
    Ok(Reply::json(StatusCode::OK, "{}"))
}

fn reserve(store: &Store, record: &Record) -> Result<Arc<Buffer>, Failure> {
    store.insert(record).ok_or_else(|| {
        let message = "the key is kept already, or there is no room for another answer";
        Failure::new(Kind::Unavailable, message)
    })
}

/// Appends the output of a relay to the buffer until it ends.
pub(crate) async fn fill(buffer: Arc<Buffer>, receiver: oneshot::Receiver<Reply>) {
    let Ok(reply) = receiver.await else {
        return buffer.finish(StatusCode::BAD_GATEWAY);
    };
    match reply.body {
        Body::Full(body) | Body::Held(body) => buffer.push(body),
        Body::Stream(mut events) => {
            while let Some(event) = events.recv().await {
                match () {
                    () if event.is_empty() => break,
                    () if event.as_ref() == KEEP_ALIVE => {}
                    () => buffer.push(event),
                }
            }
        }
    }
    buffer.finish(reply.status);
}
