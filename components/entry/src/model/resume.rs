//! Goes on with a request that another entry handed over.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{Config, Control};
use tokio::sync::oneshot;

use super::Call;
use super::relay::{Origin, Relay, Start};
use super::sink::Sink;
use crate::admit::Admitted;
use crate::core::Core;
use crate::exchange::Exchange;
use crate::handover::Record;
use crate::lifecycle::Event;
use crate::reply::Reply;
use crate::story::Subject;
use crate::stream::Assembler;

/// Serves the rest of the request; all events go to `reply`, those of earlier tokens too.
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
    let mut call = match Call::parse(record.shape, &record.body) {
        Ok(call) => call,
        Err(failure) => return drop(reply.send(exchange.fail(&failure))),
    };
    call.stream = record.stream;
    exchange.step(Event::TakenOver);
    let start = Start {
        config,
        origin: Origin {
            account: record.account,
            key: record.key,
            fingerprint: record.fingerprint,
            created: record.created,
        },
        call,
        admitted: Admitted {
            priority: record.priority,
        },
        exchange,
        assembler: Assembler::resumed(record.tokens),
        sink: Sink::new(reply, record.stream),
    };
    let deadline = Instant::now() + Duration::from_millis(record.remaining_ms);
    Relay::new(&core, start).until(deadline).run().await;
}
