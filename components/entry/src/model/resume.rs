//! Continues a request that another entry handed over.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{Config, Control};
use tokio::sync::oneshot;

use super::Call;
use super::relay::{Origin, Parameters, Relay};
use super::sink::Sink;
use crate::admit::Admission;
use crate::core::Core;
use crate::exchange::Exchange;
use crate::handover::Record;
use crate::lifecycle::Event;
use crate::reply::Reply;
use crate::request_log::Subject;
use crate::stream::Assembler;

/// Serves the rest of the request. All events go to `reply`, including those of tokens that the
/// other entry received.
pub(crate) async fn resume<C: Control>(
    core: Arc<Core<C>>,
    config: Arc<Config>,
    record: Record,
    reply: oneshot::Sender<Reply>,
) {
    let subject = Subject {
        request: record.request.clone(),
        account: record.account.clone(),
        service: record.service.clone(),
    };
    let mut exchange = Exchange::new(subject, core.metrics.clone());
    let mut call = match Call::parse(record.api, &record.body) {
        Ok(call) => call,
        Err(failure) => return drop(reply.send(exchange.fail(&failure))),
    };
    call.stream = record.stream;
    exchange.apply(Event::TakenOver);
    let parameters = Parameters {
        config,
        origin: Origin {
            account: record.account,
            key: record.key,
            fingerprint: record.fingerprint,
            created: record.created,
        },
        call,
        admission: Admission {
            priority: record.priority,
        },
        exchange,
        assembler: Assembler::with_tokens(record.tokens),
        sink: Sink::new(reply, record.stream),
    };
    let deadline = Instant::now() + Duration::from_millis(record.remaining_ms);
    Relay::new(&core, parameters)
        .at(record.software)
        .with_deadline(deadline)
        .run()
        .await;
}
