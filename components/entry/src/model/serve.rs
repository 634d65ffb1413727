//! From a caller's request to the relay of its answer.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use compact_str::format_compact;
use fleet::{Config, Control};
use tokio::sync::oneshot;

use super::relay::{Relay, Start};
use super::sink::Sink;
use super::{Call, list};
use crate::admit::{self, Admitted};
use crate::core::Core;
use crate::exchange::Exchange;
use crate::failure::{Failure, Kind};
use crate::incoming::Incoming;
use crate::reply::Reply;
use crate::stream::{Encoder, Shape};

/// Serves one call until its answer is with the caller's connection.
pub(crate) async fn serve<C: Control>(
    core: Arc<Core<C>>,
    config: Arc<Config>,
    incoming: Incoming,
    shape: Shape,
    exchange: Exchange,
    reply: oneshot::Sender<Reply>,
) {
    // Boxed apart, so that the state of admission is freed before the long time of relaying.
    let admitted = Box::pin(begin(core, config, incoming, shape, exchange, reply)).await;
    if let Some(relay) = admitted {
        Box::pin(relay.run()).await;
    }
}

/// Admits a call, or answers why not.
async fn begin<C: Control>(
    core: Arc<Core<C>>,
    config: Arc<Config>,
    incoming: Incoming,
    shape: Shape,
    mut exchange: Exchange,
    reply: oneshot::Sender<Reply>,
) -> Option<Relay<C>> {
    let admitted = admit(&core, &config, &incoming, shape, &mut exchange).await;
    let (call, admitted) = match admitted {
        Ok(admitted) => admitted,
        Err(failure) => {
            let _ = reply.send(exchange.fail(&failure));
            return None;
        }
    };
    let id = exchange.subject.request.clone();
    let encoder = Encoder::new(shape, &id, &call.model, unix_seconds());
    let sink = Sink::new(reply, call.stream);
    let start = Start {
        config,
        incoming,
        call,
        admitted,
        exchange,
        encoder,
        sink,
    };
    Some(Relay::new(&core, start))
}

async fn admit<C: Control>(
    core: &Core<C>,
    config: &Arc<Config>,
    incoming: &Incoming,
    shape: Shape,
    exchange: &mut Exchange,
) -> Result<(Call, Admitted), Failure> {
    let call = parse(config, incoming, shape, exchange)?;
    let tokens = call.prompt_tokens + call.max_tokens;
    let admitted = admit::admit(core, config, incoming, tokens, exchange).await?;
    Ok((call, admitted))
}

fn parse(
    config: &Config,
    incoming: &Incoming,
    shape: Shape,
    exchange: &mut Exchange,
) -> Result<Call, Failure> {
    let call = Call::parse(shape, &incoming.body)?;
    let (service, _) = config.text.service_of_model(&call.model).ok_or_else(|| {
        let known: Vec<&str> = list::names(&config.text).collect();
        let message = format_compact!(
            "model \"{}\" does not exist; the models are: {}",
            call.model,
            known.join(", ")
        );
        Failure::new(Kind::NotFound, message)
    })?;
    exchange.subject.service = service.clone();
    match incoming.header("last-event-id") {
        None => Ok(call),
        Some(_) => {
            let message = "no stream is kept here that goes on after \"last-event-id\"; \
                           send the request without it to begin again";
            Err(Failure::new(Kind::Conflict, message))
        }
    }
}

fn unix_seconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
