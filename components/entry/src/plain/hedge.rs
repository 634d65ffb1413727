//! Idempotent calls, which are retried and hedged within the retry budget.

use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use fleet::Control;
use futures_util::stream::{FuturesUnordered, StreamExt};
use routing::Choice;
use tokio::time::sleep;

use super::call::{Call, is_rejection, is_stray, reply};
use super::serve::{MAX_ANSWER_BYTES, RETRY_AFTER, Session, is_safe};
use crate::core::Core;
use crate::dispatch::{Answer, AnswerError, Client, collect};
use crate::failure::{Failure, Kind};
use crate::lifecycle::Event;
use crate::reply::Reply;

/// Largest number of dispatches of one call.
const MAX_ATTEMPTS: u32 = 3;
/// Time after which a safe call without an answer is also sent to a second upstream, as a share of
/// the latency target.
const HEDGE_SHARE: f64 = 0.5;

/// A dispatch that the router counts as in flight until this is dropped.
struct InFlight<'a, C: Control>(&'a Core<C>, Choice);

impl<C: Control> Drop for InFlight<'_, C> {
    fn drop(&mut self) {
        self.0.router.record_finish(&self.1);
    }
}

/// Makes the call, with retries and hedged dispatches, and returns the first complete answer.
pub(super) async fn call<C: Control>(session: &mut Session<C>) -> Result<Reply, Failure> {
    let deadline = session.deadline.into();
    let core = session.core.clone();
    let hedge_after = session.config.text.latency.first_token.mul_f64(HEDGE_SHARE);
    let mut tried: Vec<CompactString> = Vec::new();
    let mut running = FuturesUnordered::new();
    let mut last_failure = None;
    let mut attempts = 0;
    loop {
        if running.is_empty() {
            attempts += 1;
            let choice = match (session.choose(&tried, attempts), last_failure.take()) {
                (Ok(choice), _) => choice,
                (Err(_), Some(failure)) => return Err(failure),
                (Err(failure), None) => return Err(failure),
            };
            running.push(start_dispatch(session, &core, &choice));
            tried.push(choice.upstream);
        }
        let safe = is_safe(&session.call.incoming.method);
        let may_hedge = safe && running.len() == 1 && attempts < MAX_ATTEMPTS;
        let event = tokio::select! {
            Some(event) = running.next() => event,
            () = sleep(hedge_after), if may_hedge => {
                if let Some(choice) = choose_hedge(session, &tried, &mut attempts) {
                    running.push(start_dispatch(session, &core, &choice));
                    tried.push(choice.upstream);
                }
                continue;
            }
            () = tokio::time::sleep_until(deadline) => return Err(timed_out(session)),
        };
        match event {
            Ok(answer) if is_stray(&answer, &session.call.request) => {
                last_failure = Some(upstream_failure("the upstream answered another request"));
            }
            Ok(answer) if !is_rejection(&answer) => {
                session.exchange.apply(Event::Accepted);
                session.exchange.apply(Event::Completed);
                return Ok(reply(answer));
            }
            Ok(_) => {
                session.exchange.apply(Event::Rejected);
                last_failure = Some(upstream_failure(
                    "the upstream refused the call and did not run it",
                ));
            }
            Err(DispatchError {
                is_retryable: false,
                detail,
                ..
            }) => return Err(upstream_failure(&detail)),
            Err(DispatchError {
                may_have_arrived,
                detail,
                ..
            }) => {
                if !may_have_arrived {
                    session.exchange.apply(Event::NotSent);
                }
                last_failure = Some(upstream_failure(&detail));
            }
        }
        if running.is_empty() && (attempts >= MAX_ATTEMPTS || !core.budget.spend()) {
            return Err(last_failure.unwrap_or_else(|| upstream_failure("no upstream answered")));
        }
        core.metrics.retries.inc();
    }
}

/// Chooses the upstream of a hedged dispatch, if the budget allows one. If there is no other
/// upstream, the same one is called on another connection, because the first connection may be
/// unresponsive.
fn choose_hedge<C: Control>(
    session: &Session<C>,
    tried: &[CompactString],
    attempts: &mut u32,
) -> Option<Choice> {
    *attempts += 1;
    let other = session.choose(tried, *attempts);
    let choice = other.or_else(|_| session.choose(&[], *attempts)).ok()?;
    session.core.budget.spend().then_some(choice)
}

/// Why a dispatch has no complete answer.
struct DispatchError {
    may_have_arrived: bool,
    /// Whether another dispatch may bring an answer.
    is_retryable: bool,
    detail: CompactString,
}

fn start_dispatch<'a, C: Control>(
    session: &mut Session<C>,
    core: &'a Core<C>,
    choice: &Choice,
) -> impl Future<Output = Result<Answer, DispatchError>> + use<'a, C> {
    session.exchange.apply(Event::Dispatched);
    let now = Instant::now();
    core.router
        .record_dispatch(choice, &session.route_request(&[]), now);
    let in_flight = InFlight(core, choice.clone());
    let time_left = session.deadline.saturating_duration_since(now);
    let call = session.call.clone();
    async move {
        let choice = &in_flight.1;
        dispatch(&core.plain_client, &core.memory, &call, choice, time_left).await
    }
}

async fn dispatch(
    client: &Client,
    memory: &web::Budget,
    call: &Call,
    choice: &Choice,
    time_left: Duration,
) -> Result<Answer, DispatchError> {
    let request = call
        .request(choice.address)
        .map_err(|failure| DispatchError {
            may_have_arrived: false,
            is_retryable: true,
            detail: failure.message,
        })?;
    let response = client
        .send(choice.address, request)
        .await
        .map_err(|error| DispatchError {
            may_have_arrived: error.step() != errors::Step::Connect,
            is_retryable: true,
            detail: format_compact!("{error}"),
        })?;
    collect(response, memory, MAX_ANSWER_BYTES, time_left)
        .await
        .map_err(|error| DispatchError {
            may_have_arrived: true,
            // The same memory is short for another answer.
            is_retryable: !matches!(error, AnswerError::Dropped),
            detail: format_compact!("{error}"),
        })
}

fn upstream_failure(detail: &str) -> Failure {
    Failure::retryable(Kind::Upstream, detail, RETRY_AFTER)
}

fn timed_out<C>(session: &Session<C>) -> Failure {
    let timeout = session.deadline - session.exchange.started;
    let message = format_compact!("no whole answer within {} ms", timeout.as_millis());
    Failure::retryable(Kind::Timeout, message, RETRY_AFTER)
}
