//! Handles one request of a caller up to the head of its answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use config::ids::ServiceId;
use config::text::ingress::Route;
use http::{HeaderValue, Request, Response, header, request};
use hyper::body::Incoming;

use crate::call::{Admission, Call};
use crate::core::{Core, lock};
use crate::dispatch::{self, Attempts};
use crate::drain::Timing;
use crate::request_log::RequestLog;
use crate::{
    Account, Head, Prompt, Refusal, Table, origin, priority, relay, retries, table, token_limit,
};

/// Longest wait of a request for the first text after the start of the entry. A request that waits
/// this long still meets most latency targets.
const READINESS_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after its start within which an entry usually receives the text, also if all processes were
/// started at once.
const EXPECTED_STARTUP_TIME: Duration = Duration::from_millis(1_200);
/// Shortest time after which callers should retry if the entry has no text yet.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time within which most calls to plain services finish.
const PLAIN_CALL_TIME: Duration = Duration::from_millis(500);
/// Time within which most generations produce their first event.
const GENERATION_BASE_TIME: Duration = Duration::from_millis(1_500);
/// Time within which a busy engine generates one token.
const GENERATION_TIME_PER_TOKEN: Duration = Duration::from_millis(15);

/// Time in which most bodies that are dropped for others make room.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves one request.
pub(crate) async fn serve(core: Arc<Core>, request: Request<Incoming>) -> Response<web::Body> {
    let arrived = Instant::now();
    let mut request_log = RequestLog::new(&core, arrived);
    let (parts, body) = request.into_parts();
    let head = core.protocol.decode_head(&parts);
    if let Ok(head) = &head {
        request_log.set_id(&head.id);
    }
    let id = head.as_ref().ok().map(|head| head.id.clone());
    let refuse = |mut request_log: RequestLog, refusal: &Refusal| {
        let answer = core
            .protocol
            .encode_refusal(refusal, id.as_ref())
            .map(web::full);
        request_log.set_outcome(refusal.name(), answer.status().as_u16());
        close_if_stopping(&core, answer)
    };
    // The rest of the body is not read.
    let refuse_body = |log: RequestLog, refusal: &Refusal| close(refuse(log, refusal));
    let limits = core.table.load().limits();
    let body_limits = web::Limits {
        bytes: limits.body_bytes,
        time: limits.idle_timeout,
    };
    let collected = tokio::select! {
        collected = web::collect(body, &core.budget, body_limits) => collected,
        () = core.drain.ended() => return refuse(request_log, &Refusal::Stopping),
    };
    let bytes = match collected {
        web::Collected::Complete(bytes) => bytes,
        web::Collected::TooLarge => return refuse_body(request_log, &Refusal::TooLarge),
        web::Collected::TimedOut => return refuse_body(request_log, &Refusal::SlowBody),
        web::Collected::Dropped => {
            let retry_after = memory_retry_after(arrived);
            return refuse_body(request_log, &Refusal::MemoryShort(retry_after));
        }
        web::Collected::Incomplete(error) => {
            return refuse_body(request_log, &Refusal::Malformed(error.to_string()));
        }
    };
    if !core.readiness.wait(READINESS_TIMEOUT).await {
        return refuse(request_log, &unready(&core));
    }
    let admitted = head
        .map_err(Refusal::Malformed)
        .and_then(|head| admit(&core, &mut request_log, head, parts, bytes, arrived));
    let call = match admitted {
        Ok(call) => Arc::new(call),
        Err(refusal) => return refuse(request_log, &refusal),
    };
    let quarantined = lock(&core.quarantine).refusal(&call, Instant::now());
    if let Some(subject) = quarantined {
        return refuse(request_log, &Refusal::Quarantined(subject, false));
    }
    let software = match origin::find(&core, &call).await {
        Ok(software) => software,
        Err(refusal) => return refuse(request_log, &refusal),
    };
    if let Err(refusal) = token_limit::take(&core, &call, &mut request_log).await {
        return refuse(request_log, &refusal);
    }
    let since_start = retries::elapsed(core.started, arrived);
    lock(&core.retries).record_request(&call.service, since_start);
    lock(&core.demand).add(&call.service, call.prompt.as_ref());
    if let Err(refusal) = priority::decide(&core, &call) {
        account_for_refusal(&core, &call, &refusal);
        return refuse(request_log, &refusal);
    }
    let mut attempts = Attempts::at(software);
    let dispatched = match core.drain.is_closed() {
        true => Err(Refusal::Stopping),
        false => tokio::select! {
            dispatched = dispatch::dispatch(&core, &call, None, &mut attempts, &mut request_log) => {
                dispatched
            }
            () = core.drain.ended() => Err(Refusal::Lost("this entry stops".to_owned())),
        },
    };
    match dispatched {
        Ok(answer) => close_if_stopping(
            &core,
            relay::relay(&core, call, answer, attempts, request_log),
        ),
        Err(refusal) => {
            account_for_refusal(&core, &call, &refusal);
            refuse(request_log, &refusal)
        }
    }
}

/// Puts the tokens of a refused request back into its account's balance if it did not run, and
/// adds a call without a stream to the usage of its account if it may have run.
fn account_for_refusal(core: &Core, call: &Call, refusal: &Refusal) {
    let Some(account) = &call.account else {
        return;
    };
    let now = Instant::now();
    match refusal.is_not_run() {
        true => token_limit::put_back(core, call, account),
        false if !call.route.kind.is_stream() => lock(&core.usage).record(&account.name, now),
        false => {}
    }
}

/// Asks the caller to close the connection if this entry is stopping.
fn close_if_stopping(core: &Core, answer: Response<web::Body>) -> Response<web::Body> {
    match core.drain.is_stopping() {
        true => close(answer),
        false => answer,
    }
}

/// Asks the caller to close the connection.
fn close(mut answer: Response<web::Body>) -> Response<web::Body> {
    let close = HeaderValue::from_static("close");
    answer.headers_mut().insert(header::CONNECTION, close);
    answer
}

/// Returns the time after which a caller whose body was dropped should retry: half to one and a half of
/// [`MEMORY_RETRY_AFTER`], spread so that callers don't return together.
fn memory_retry_after(arrived: Instant) -> Duration {
    let spread = arrived.elapsed().subsec_nanos() % 1_000;
    MEMORY_RETRY_AFTER.mul_f64(0.5 + f64::from(spread) / 1_000.0)
}

/// Returns the refusal of a request while the entry has no text.
pub(crate) fn unready(core: &Core) -> Refusal {
    let retry_after = EXPECTED_STARTUP_TIME.saturating_sub(core.started.elapsed());
    Refusal::Unready(retry_after.max(MIN_RETRY_AFTER))
}

/// Finds the route, the service and the account of a request.
fn admit(
    core: &Core,
    request_log: &mut RequestLog,
    head: Head,
    parts: request::Parts,
    body: bytes::Bytes,
    arrived: Instant,
) -> Result<Call, Refusal> {
    let table = core.table.load();
    let host = parts.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let route = table
        .route(host, parts.uri.path())
        .ok_or(Refusal::NoRoute)?;
    request_log.set_route(&route.name, table.version());
    let account = find_account(&table, &head, route.public)?;
    if let Some(account) = &account {
        request_log.set_account(&account.name);
    }
    if let Some(begun) = &head.resumes {
        request_log.set_resumes(begun);
    }
    let service = table::select_service(route, &head.id).ok_or(Refusal::NoRoute)?;
    let admission = accept(core, &table, (route, service), account, &head, arrived)?;
    Ok(Call::new(admission, head, parts, body))
}

/// Accepts a request to a service of a route, unless the entry is stopping.
pub(crate) fn accept(
    core: &Core,
    table: &Table,
    (route, service): (&Arc<Route>, &ServiceId),
    account: Option<Arc<Account>>,
    head: &Head,
    arrived: Instant,
) -> Result<Admission, Refusal> {
    let wait = head
        .wait
        .map_or(route.timeout, |wait| wait.min(route.timeout));
    if !takes(core, route, head.prompt.as_ref(), arrived, wait) {
        return Err(Refusal::Stopping);
    }
    Ok(Admission {
        route: route.clone(),
        service: service.clone(),
        account,
        version: table.version(),
        forwarded_by: None,
        arrived,
        deadline: arrived + wait,
    })
}

/// Reports whether a request that waits up to `wait` is taken, if the entry is stopping.
pub(crate) fn takes(
    core: &Core,
    route: &Route,
    prompt: Option<&Prompt>,
    arrived: Instant,
    wait: Duration,
) -> bool {
    let timing = Timing {
        arrived,
        expected: expected_time(prompt),
        deadline: arrived + wait,
        is_idempotent: route.kind.is_idempotent(),
    };
    core.drain.takes(timing, core.settings.schedule())
}

/// Returns the time within which most requests of this kind finish.
fn expected_time(prompt: Option<&Prompt>) -> Duration {
    match prompt {
        Some(prompt) => GENERATION_BASE_TIME + GENERATION_TIME_PER_TOKEN * prompt.output_tokens,
        None => PLAIN_CALL_TIME,
    }
}

/// Returns the account of a request; `None` on a public route without a known key.
fn find_account(table: &Table, head: &Head, public: bool) -> Result<Option<Arc<Account>>, Refusal> {
    let known = head.key.as_ref().and_then(|key| table.account(key));
    match known {
        Some(account) => Ok(Some(account.clone())),
        None if public => Ok(None),
        None => Err(Refusal::NoAccount),
    }
}
