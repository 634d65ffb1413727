//! Explains to operators where a request would go now, without sending it.
//!
//! The listener for metrics answers; callers can't reach it through theirs. The functions that decide
//! about requests decide here too, and nothing is counted, drawn, charged or learned.

mod answer;
mod client;
mod question;

use std::sync::Arc;
use std::time::{Duration, Instant};

use config::text::ingress::Route;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use limits::Decision;
use serde::Serialize;
use serde_json::json;

pub use answer::{Answer, Chosen, Course, Limit, Planned, Refused, Subject};
pub use client::ask;
pub use question::{Generation, Question};

use crate::call::Call;
use crate::core::{Core, lock};
use crate::dispatch::{self, Preview};
use crate::{Account, Refusal, Table, exchange, priority, table, token_limit};

/// Path on the listener for metrics.
const PATH: &str = "/explain-route";
/// Limits of a question; the longest ones list some hundred parts.
const LIMITS: web::Limits = web::Limits {
    bytes: 64 * 1_024,
    time: Duration::from_secs(2),
};

/// Reports whether a request to the listener for metrics asks for an explanation.
pub(crate) fn is_asked(request: &Request<Incoming>) -> bool {
    request.method() == Method::POST && request.uri().path() == PATH
}

/// Answers a question.
pub(crate) async fn serve(core: &Core, request: Request<Incoming>) -> Response<web::Body> {
    let error = |status, message: String| respond(status, &json!({"error": {"message": message}}));
    let body = match web::collect(request.into_body(), &core.budget, LIMITS).await {
        web::Collected::Complete(body) => body,
        web::Collected::TooLarge => {
            let message = "the question is too large";
            return error(StatusCode::PAYLOAD_TOO_LARGE, message.into());
        }
        web::Collected::Dropped => {
            let message = "this entry is short of memory";
            return error(StatusCode::SERVICE_UNAVAILABLE, message.into());
        }
        web::Collected::TimedOut | web::Collected::Incomplete(_) => {
            let message = "the question was not received completely";
            return error(StatusCode::BAD_REQUEST, message.into());
        }
    };
    match serde_json::from_slice(&body) {
        Ok(question) => respond(StatusCode::OK, &explain(core, &question, Instant::now())),
        Err(reason) => {
            let message = format!("the question can't be read: {reason}");
            error(StatusCode::BAD_REQUEST, message)
        }
    }
}

fn respond(status: StatusCode, body: &impl Serialize) -> Response<web::Body> {
    let (status, body) = match serde_json::to_vec(body) {
        Ok(body) => (status, body),
        Err(_) => (StatusCode::INTERNAL_SERVER_ERROR, Vec::new()),
    };
    let mut answer = Response::new(web::full(body));
    *answer.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}

/// Explains what would happen to a request.
fn explain(core: &Core, question: &Question, now: Instant) -> Answer {
    let mut answer = Answer {
        entry: core.settings.node.clone(),
        data_centre: core.settings.data_centre.clone(),
        version: core.table.load().version(),
        overview_age_ms: lock(&core.plans).age(now).map(millis),
        is_settled: lock(&core.contact).is_settled(now),
        ..Answer::default()
    };
    let call = match call(core, question, now) {
        Ok(call) => call,
        Err(refusal) => {
            answer.course = refused(core, &refusal);
            return answer;
        }
    };
    let preview = dispatch::preview(core, &call, &question.excluded, now);
    let charged = token_limit::preview(core, &call, now);
    let planned = priority::preview(core, &call, now);
    answer.subject = Some(subject(&call, &preview, now));
    answer.limit = charged.map(limit);
    answer.plan = planned.and_then(|decision| plan(core, &call, decision, now));
    answer.course = match refusal(core, &call, charged, planned, now) {
        Some(refusal) => refused(core, &refusal),
        None => course(core, &preview),
    };
    let explanation = preview.explanation;
    answer.is_by_work = explanation.is_by_work;
    answer.candidates = explanation.candidates;
    answer.left_out = explanation.left_out;
    answer
}

/// Returns the request that is asked about, as if it were admitted now.
fn call(core: &Core, question: &Question, now: Instant) -> Result<Call, Refusal> {
    let table = core.table.load();
    if table.version() == 0 {
        return Err(exchange::unready(core));
    }
    let route = find_route(&table, question).ok_or(Refusal::NoRoute)?;
    let account = find_account(&table, question, route)?;
    let service = match &question.service {
        Some(service) => route
            .splits
            .iter()
            .map(|split| &split.service)
            .find(|s| *s == service),
        None => table::select_service(route, &question.id),
    };
    let service = service.ok_or(Refusal::NoRoute)?;
    let head = question.head();
    let route = match question.rank {
        Some(rank) => &Arc::new(Route {
            rank,
            ..(**route).clone()
        }),
        None => route,
    };
    let admission = exchange::accept(core, &table, (route, service), account, &head, now)?;
    let (parts, ()) = Request::new(()).into_parts();
    Ok(Call::new(admission, head, parts, bytes::Bytes::new()))
}

/// Returns the route to which a request would go; if only a service is given, the first one to it.
fn find_route<'t>(table: &'t Table, question: &Question) -> Option<&'t Arc<Route>> {
    match (&question.path, &question.service) {
        (Some(path), _) => table.route(question.host.as_deref().unwrap_or_default(), path),
        (None, Some(service)) => table.route_to(service),
        (None, None) => None,
    }
}

fn find_account(
    table: &Table,
    question: &Question,
    route: &Route,
) -> Result<Option<Arc<Account>>, Refusal> {
    let Some(name) = &question.account else {
        return match route.public {
            true => Ok(None),
            false => Err(Refusal::NoAccount),
        };
    };
    let account = table.account_named(name).ok_or(Refusal::NoAccount)?;
    Ok(Some(match question.rank {
        Some(rank) => Arc::new(Account {
            rank: Some(rank),
            ..(**account).clone()
        }),
        None => account.clone(),
    }))
}

/// Returns the refusal that the request gets before an upstream is chosen for it, in the order in which
/// these are decided.
fn refusal(
    core: &Core,
    call: &Call,
    charged: Option<(u64, Decision)>,
    planned: Option<priority::Decision>,
    now: Instant,
) -> Option<Refusal> {
    if let Some(subject) = lock(&core.quarantine).preview(call, now) {
        return Some(Refusal::Quarantined(subject, false));
    }
    if let Some((_, Decision::Refused { retry_after })) = charged {
        return Some(Refusal::OverLimit(retry_after));
    }
    if let Some(priority::Decision::Refused(retry_after)) = planned {
        return Some(Refusal::OverCapacity(retry_after));
    }
    core.drain.is_closed().then_some(Refusal::Stopping)
}

fn subject(call: &Call, preview: &Preview, now: Instant) -> Subject {
    Subject {
        id: call.id.clone(),
        route: call.route.name.clone(),
        service: call.service.clone(),
        account: call.account.as_ref().map(|account| account.name.clone()),
        rank: call.rank(),
        target_ms: millis(call.route.target),
        time_left_ms: millis(call.time_left(now)),
        max_wait_ms: match preview.max_wait {
            Duration::MAX => None,
            max_wait => Some(millis(max_wait)),
        },
        work_ms: preview.explanation.is_by_work.then_some(preview.work_ms),
    }
}

fn limit((tokens, decision): (u64, Decision)) -> Limit {
    Limit {
        tokens,
        decision: match decision {
            Decision::Admitted => "admitted",
            Decision::Draw => "draw",
            Decision::Refused { .. } => "refused",
        }
        .into(),
    }
}

fn plan(core: &Core, call: &Call, decision: priority::Decision, now: Instant) -> Option<Planned> {
    let plan = lock(&core.plans).newest(&call.service, now)?;
    Some(Planned {
        share: plan.share(priority::class(call)),
        decision: decision.name().into(),
    })
}

fn course(core: &Core, preview: &Preview) -> Course {
    match &preview.course {
        dispatch::Course::Sent(choice) => Course::Sent(Chosen::from(&**choice)),
        dispatch::Course::Forwarded(entry) => Course::Forwarded {
            entry: entry.clone(),
        },
        dispatch::Course::NeedsPermit { wanted, otherwise } => Course::NeedsPermit {
            upstreams: wanted.iter().map(|(name, _)| name.clone()).collect(),
            otherwise: refused_as(core, otherwise),
        },
        dispatch::Course::Refused(refusal) => refused(core, refusal),
    }
}

fn refused(core: &Core, refusal: &Refusal) -> Course {
    Course::Refused(refused_as(core, refusal))
}

/// Returns what the caller would get.
fn refused_as(core: &Core, refusal: &Refusal) -> Refused {
    let answer = core.protocol.encode_refusal(refusal, None);
    let retry_after = answer.headers().get(header::RETRY_AFTER);
    let retry_after = retry_after.and_then(|value| value.to_str().ok());
    Refused {
        name: refusal.name().into(),
        message: refusal.to_string().into(),
        status: answer.status().as_u16(),
        retry_after: retry_after.map(Into::into),
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
