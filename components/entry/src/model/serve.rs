//! Admission of a caller's request, up to the relay of its answer.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use compact_str::format_compact;
use fleet::{Config, Control};
use tokio::sync::oneshot;

use super::relay::{Origin, Parameters, Relay};
use super::sink::Sink;
use super::{Call, list};
use crate::admit::{self, Admission};
use crate::core::Core;
use crate::exchange::Exchange;
use crate::failure::{Failure, Kind};
use crate::handover;
use crate::incoming::Incoming;
use crate::lifecycle::Event;
use crate::reply::Reply;
use crate::stream::{Api, Assembler};

/// Longest wait until the answer of a caller that reconnects is buffered.
const RECONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two lookups of the buffered answer.
const RECONNECT_POLL: Duration = Duration::from_millis(50);

/// Serves one call until its answer has been passed to the caller's connection.
pub(crate) async fn serve<C: Control>(
    core: Arc<Core<C>>,
    config: Arc<Config>,
    incoming: Incoming,
    api: Api,
    exchange: Exchange,
    reply: oneshot::Sender<Reply>,
) {
    // Boxed separately, so that the state of admission is freed before the answer is relayed.
    let relay = Box::pin(prepare(core, config, incoming, api, exchange, reply)).await;
    if let Some(relay) = relay {
        Box::pin(relay.run()).await;
    }
}

/// Admits a call and returns its relay. Otherwise replies with a buffered answer or a failure.
async fn prepare<C: Control>(
    core: Arc<Core<C>>,
    config: Arc<Config>,
    incoming: Incoming,
    api: Api,
    mut exchange: Exchange,
    reply: oneshot::Sender<Reply>,
) -> Option<Relay<C>> {
    let decision = admit(&core, &config, &incoming, api, &mut exchange).await;
    let (call, admission) = match decision {
        Ok(Decision::Relay(call, admission)) => (call, admission),
        Ok(Decision::Replay(answer)) => {
            let _ = reply.send(answer);
            return None;
        }
        Err(failure) => {
            let _ = reply.send(exchange.fail(&failure));
            return None;
        }
    };
    let origin = Origin {
        account: incoming.account.clone(),
        key: incoming.header("idempotency-key").map(Into::into),
        fingerprint: handover::fingerprint(incoming.uri.path(), &incoming.body),
        created: unix_seconds(),
    };
    let parameters = Parameters {
        config,
        origin,
        sink: Sink::new(reply, call.stream),
        call,
        admission,
        exchange,
        assembler: Assembler::default(),
    };
    Some(Relay::new(&core, parameters))
}

/// How a call is answered.
enum Decision {
    /// The call is admitted.
    Relay(Call, Admission),
    /// The answer was buffered for the caller.
    Replay(Reply),
}

async fn admit<C: Control>(
    core: &Arc<Core<C>>,
    config: &Arc<Config>,
    incoming: &Incoming,
    api: Api,
    exchange: &mut Exchange,
) -> Result<Decision, Failure> {
    let call = parse(config, incoming, api, exchange)?;
    if let Some(answer) = find_buffered(core, incoming, exchange).await? {
        return Ok(Decision::Replay(answer));
    }
    let tokens = call.prompt_tokens + call.max_tokens;
    let admission = admit::admit(core, config, incoming, tokens, exchange).await?;
    Ok(Decision::Relay(call, admission))
}

fn parse(
    config: &Config,
    incoming: &Incoming,
    api: Api,
    exchange: &mut Exchange,
) -> Result<Call, Failure> {
    let call = Call::parse(api, &incoming.body)?;
    let (service, _) = config.text.service_of_model(&call.model).ok_or_else(|| {
        let known: Vec<&str> = list::model_names(&config.text).collect();
        let message = format_compact!(
            "model \"{}\" does not exist; the models are: {}",
            call.model,
            known.join(", ")
        );
        Failure::new(Kind::NotFound, message)
    })?;
    exchange.subject.service = service.clone();
    Ok(call)
}

/// Returns the answer that an entry buffers for the caller, if the caller reconnects.
async fn find_buffered<C: Control>(
    core: &Arc<Core<C>>,
    incoming: &Incoming,
    exchange: &mut Exchange,
) -> Result<Option<Reply>, Failure> {
    match find_with_retry(core, incoming).await? {
        Some(reply) => {
            exchange.apply(Event::Admitted);
            exchange.apply(Event::Replayed);
            Ok(Some(exchange.answer(reply, "replayed from a buffer")))
        }
        None if incoming.header("last-event-id").is_some() => {
            let message = "no stream is kept that goes on after \"last-event-id\"; \
                           send the request without it to begin again";
            Err(Failure::new(Kind::Conflict, message))
        }
        None => Ok(None),
    }
}

/// Finds the answer that is buffered for a caller. If the request has `Last-Event-ID`, the lookup
/// is repeated for a short time, because the entry may not have noticed yet that the caller's
/// previous connection is closed.
async fn find_with_retry<C: Control>(
    core: &Arc<Core<C>>,
    incoming: &Incoming,
) -> Result<Option<Reply>, Failure> {
    let until = Instant::now() + RECONNECT_TIMEOUT;
    loop {
        let found = handover::find(core, incoming).await?;
        let again = incoming.headers.contains_key("last-event-id") && Instant::now() < until;
        match found {
            None if again => tokio::time::sleep(RECONNECT_POLL).await,
            found => return Ok(found),
        }
    }
}

fn unix_seconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
