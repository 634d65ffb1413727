//! From a caller's request to the relay of its answer.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use compact_str::format_compact;
use fleet::{Config, Control};
use tokio::sync::oneshot;

use super::relay::{Origin, Relay, Start};
use super::sink::Sink;
use super::{Call, list};
use crate::admit::{self, Admitted};
use crate::core::Core;
use crate::exchange::Exchange;
use crate::failure::{Failure, Kind};
use crate::handover;
use crate::incoming::Incoming;
use crate::lifecycle::Event;
use crate::reply::Reply;
use crate::stream::{Assembler, Shape};

/// Longest wait for an answer that is about to be kept.
const FIND_TIME: Duration = Duration::from_secs(1);
/// Pause between two looks for it.
const FIND_PAUSE: Duration = Duration::from_millis(50);

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
    let begun = admit(&core, &config, &incoming, shape, &mut exchange).await;
    let (call, admitted) = match begun {
        Ok(Begun::Admitted(call, admitted)) => (call, admitted),
        Ok(Begun::Kept(answer)) => {
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
    let start = Start {
        config,
        origin,
        sink: Sink::new(reply, call.stream),
        call,
        admitted,
        exchange,
        assembler: Assembler::default(),
    };
    Some(Relay::new(&core, start))
}

/// What came of a call before it is dispatched.
enum Begun {
    /// It is admitted.
    Admitted(Call, Admitted),
    /// Its answer was kept for the caller.
    Kept(Reply),
}

async fn admit<C: Control>(
    core: &Arc<Core<C>>,
    config: &Arc<Config>,
    incoming: &Incoming,
    shape: Shape,
    exchange: &mut Exchange,
) -> Result<Begun, Failure> {
    let call = parse(config, incoming, shape, exchange)?;
    if let Some(answer) = kept(core, incoming, exchange).await? {
        return Ok(Begun::Kept(answer));
    }
    let tokens = call.prompt_tokens + call.max_tokens;
    let admitted = admit::admit(core, config, incoming, tokens, exchange).await?;
    Ok(Begun::Admitted(call, admitted))
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
    Ok(call)
}

/// Returns the answer that an entry keeps for the caller, if it came back for one.
async fn kept<C: Control>(
    core: &Arc<Core<C>>,
    incoming: &Incoming,
    exchange: &mut Exchange,
) -> Result<Option<Reply>, Failure> {
    match find(core, incoming).await? {
        Some(reply) => {
            exchange.step(Event::Admitted);
            exchange.step(Event::Replayed);
            Ok(Some(exchange.answer(reply, "given from what was kept")))
        }
        None if incoming.header("last-event-id").is_some() => {
            let message = "no stream is kept that goes on after \"last-event-id\"; \
                           send the request without it to begin again";
            Err(Failure::new(Kind::Conflict, message))
        }
        None => Ok(None),
    }
}

/// Finds the answer that is kept for a caller. One who names the last event that it has seen may
/// come before its old connection is known to be closed, and so waits a little.
async fn find<C: Control>(
    core: &Arc<Core<C>>,
    incoming: &Incoming,
) -> Result<Option<Reply>, Failure> {
    let until = Instant::now() + FIND_TIME;
    loop {
        let found = handover::find(core, incoming).await?;
        let again = incoming.headers.contains_key("last-event-id") && Instant::now() < until;
        match found {
            None if again => tokio::time::sleep(FIND_PAUSE).await,
            found => return Ok(found),
        }
    }
}

fn unix_seconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
