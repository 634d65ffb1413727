//! Non-idempotent calls with an idempotency key, which run at most once over all entries.

use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use config::ids::RequestId;
use fleet::Control;
use fleet::claim::{Claim, Settlement, Verdict};
use tokio::time::{sleep, timeout};

use super::call::{from_record, reply, to_record};
use super::serve::{RETRY_AFTER, Session};
use crate::failure::{Failure, Kind};
use crate::lifecycle::Event;
use crate::reply::Reply;

/// Timeout for one request to the control group.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time to wait for the request that holds the claim.
const MAX_HELD_WAIT: Duration = Duration::from_secs(10);
/// First pause before a held claim is requested again, doubled each time.
const MIN_HELD_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause before a held claim is requested again.
const MAX_HELD_PAUSE: Duration = Duration::from_millis(500);
/// Longest time for which the reply to the caller is delayed until the answer is recorded.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest number of attempts to settle a claim.
const MAX_SETTLE_ATTEMPTS: u32 = 20;
/// Pause between two attempts to settle a claim.
const SETTLE_PAUSE: Duration = Duration::from_millis(500);

/// Claims the key and makes the call, or returns the outcome of an earlier call with the key.
pub(super) async fn call<C: Control>(
    session: &mut Session<C>,
    key: CompactString,
) -> Result<Reply, Failure> {
    let claim = Claim {
        account: session.call.incoming.account.clone(),
        key,
        fingerprint: session.call.fingerprint(),
        request: session.exchange.subject.request.clone(),
        version: session.config.version,
    };
    let give_up_at = Instant::now() + MAX_HELD_WAIT;
    let give_up_at = give_up_at.min(session.deadline);
    let mut pause = MIN_HELD_PAUSE;
    loop {
        // The dispatch window starts before the request, because the control group grants the claim
        // at an unknown time during the request.
        let asked_at = Instant::now();
        match request_claim(session, &claim).await? {
            Verdict::Granted { dispatch_within_ms } => {
                let dispatch_deadline = asked_at + Duration::from_millis(dispatch_within_ms);
                session.exchange.apply(Event::Claimed);
                return dispatch_claimed(session, claim, dispatch_deadline).await;
            }
            Verdict::Held { holder } if Instant::now() + pause >= give_up_at => {
                session.exchange.apply(Event::HeldElsewhere);
                return Err(held_failure(&holder));
            }
            Verdict::Held { .. } => {
                sleep(pause).await;
                pause = (pause * 2).min(MAX_HELD_PAUSE);
            }
            verdict => return resolve(session, verdict),
        }
    }
}

async fn request_claim<C: Control>(
    session: &Session<C>,
    claim: &Claim,
) -> Result<Verdict, Failure> {
    let result = timeout(CLAIM_TIMEOUT, session.core.control.claim(claim.clone())).await;
    let reason = match result {
        Ok(Ok(verdict)) => return Ok(verdict),
        Ok(Err(error)) => format_compact!("{error}"),
        Err(_) => CompactString::from("no answer in time"),
    };
    // The claim may have been committed nevertheless. It is released, as nothing is dispatched.
    spawn_settle(session, claim.clone(), Settlement::NotRun);
    let message = format_compact!("the key can't be claimed: {reason}");
    Err(Failure::retryable(Kind::Unavailable, message, RETRY_AFTER))
}

fn resolve<C>(session: &mut Session<C>, verdict: Verdict) -> Result<Reply, Failure> {
    match verdict {
        Verdict::Recorded(answer) => {
            session.exchange.apply(Event::Replayed);
            Ok(from_record(answer))
        }
        Verdict::NotRecorded { holder } => {
            session.exchange.apply(Event::Replayed);
            let message = format_compact!(
                "the call ran as request \"{holder}\", and its answer was too large to record"
            );
            let body = Failure::new(Kind::Conflict, message).body();
            Ok(Reply::json(Kind::Conflict.status(), body))
        }
        Verdict::Unknown { holder } => {
            session.exchange.apply(Event::HeldElsewhere);
            let message = format_compact!(
                "request \"{holder}\" with this key may have run, and its answer is lost"
            );
            Err(Failure::new(Kind::Upstream, message))
        }
        Verdict::Mismatch => {
            let message = "the idempotency key was used with another method, path or body";
            Err(Failure::new(Kind::KeyMismatch, message))
        }
        Verdict::Outdated { in_force } => {
            let message =
                format_compact!("version {in_force} of the text is in force, not yet known here");
            Err(Failure::retryable(Kind::Unavailable, message, RETRY_AFTER))
        }
        Verdict::Full { retry_after_ms } => {
            let message = "the table of idempotency keys is full";
            let after = Duration::from_millis(retry_after_ms);
            Err(Failure::retryable(Kind::Unavailable, message, after))
        }
        Verdict::Granted { .. } | Verdict::Held { .. } => Err(Failure::retryable(
            Kind::Unavailable,
            "the claim is not settled",
            RETRY_AFTER,
        )),
    }
}

async fn dispatch_claimed<C: Control>(
    session: &mut Session<C>,
    claim: Claim,
    dispatch_deadline: Instant,
) -> Result<Reply, Failure> {
    match session.call_once(Some(dispatch_deadline)).await {
        Ok(answer) => {
            let settlement = Settlement::Answered(to_record(&answer));
            let settling = spawn_settle(session, claim, settlement);
            // Records the answer before the caller receives it, so that a caller that loses it can
            // request it again.
            let _ = timeout(SETTLE_TIMEOUT, settling).await;
            Ok(reply(answer))
        }
        Err(failure) => {
            let settlement = match session.exchange.lifecycle().may_have_run() {
                true => Settlement::Unknown,
                false => Settlement::NotRun,
            };
            spawn_settle(session, claim, settlement);
            Err(failure)
        }
    }
}

/// Settles a claim in the background, with retries that outlive the request.
fn spawn_settle<C: Control>(
    session: &Session<C>,
    claim: Claim,
    settlement: Settlement,
) -> tokio::task::JoinHandle<()> {
    let core = session.core.clone();
    let guard = core.drain.enter();
    session.core.runtime.spawn(async move {
        let _guard = guard;
        for _ in 0..MAX_SETTLE_ATTEMPTS {
            let settled = core.control.settle(claim.clone(), settlement.clone());
            match timeout(CLAIM_TIMEOUT, settled).await {
                Ok(Ok(())) => return,
                Ok(Err(error)) => tracing::warn!(request = %claim.request, "request: settling the claim failed: {error}"),
                Err(_) => tracing::warn!(request = %claim.request, "request: timed out settling the claim"),
            }
            sleep(SETTLE_PAUSE).await;
        }
    })
}

fn held_failure(holder: &RequestId) -> Failure {
    let message = format_compact!("request \"{holder}\" with this key is still in progress");
    Failure::retryable(Kind::Conflict, message, RETRY_AFTER)
}
