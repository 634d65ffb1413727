//! Handles every request of a caller, an upstream or another entry, up to the head of its reply.

use std::sync::Arc;
use std::time::Duration;

use compact_str::format_compact;
use fleet::Control;
use http::{HeaderValue, Method, StatusCode, header, request};
use rand::RngExt;
use tokio::sync::oneshot;
use xitca_web::WebContext;
use xitca_web::body::{RequestBody, ResponseBody};
use xitca_web::http::WebResponse;

use crate::body::{self, Length, Limits};
use crate::core::Core;
use crate::drain::{Guard, Phase};
use crate::exchange::Exchange;
use crate::failure::{Failure, Kind};
use crate::held_body::HeldBody;
use crate::incoming::Incoming;
use crate::lifecycle::Event;
use crate::relay_body::RelayBody;
use crate::reply::{Body, Reply};
use crate::request_log::Subject;
use crate::stream::Api;
use crate::{access, announce, handover, model, plain};

/// Suggested pause before a request that is refused during a stop is sent to another entry.
const DRAIN_RETRY: Duration = Duration::from_secs(1);

/// Largest body that is not sent in parts, in bytes: as much as the server buffers for a connection.
const MAX_COPIED_BYTES: usize = 16 * 1_024;

/// Value of the `Connection` header that announces that the connection will be closed.
const CONNECTION_CLOSE: HeaderValue = HeaderValue::from_static("close");

/// What a path addresses.
enum Target {
    Health,
    Ready,
    Metrics,
    Announce,
    Models,
    Model(Api),
    Handover,
    Plain,
    Unknown,
}

impl Target {
    fn from_path(path: &str) -> Self {
        match path {
            "/healthz" => Target::Health,
            "/readyz" => Target::Ready,
            "/metrics" => Target::Metrics,
            "/v1/upstreams" => Target::Announce,
            "/v1/models" => Target::Models,
            handover::PATH => Target::Handover,
            "/v1/chat/completions" => Target::Model(Api::Chat),
            "/v1/completions" => Target::Model(Api::Completion),
            _ if path.starts_with("/services/") => Target::Plain,
            _ => Target::Unknown,
        }
    }

    fn allows(&self, method: &Method) -> bool {
        match self {
            Target::Announce | Target::Model(_) => method == Method::POST,
            Target::Handover => matches!(*method, Method::GET | Method::HEAD | Method::POST),
            Target::Plain | Target::Unknown => true,
            _ => matches!(*method, Method::GET | Method::HEAD),
        }
    }
}

/// Answers one request.
pub(crate) async fn handle<C: Control>(
    mut ctx: WebContext<'_, Arc<Core<C>>>,
) -> Result<WebResponse, xitca_web::error::Error> {
    let core = ctx.state().clone();
    let guard = core.drain.enter();
    let (head, ext) = ctx.take_request().into_parts();
    let (_, body) = ext.replace_body(());
    let reply = answer(&core, head, body).await;
    Ok(respond(&core, reply, guard))
}

async fn answer<C: Control>(core: &Arc<Core<C>>, head: request::Parts, body: RequestBody) -> Reply {
    let target = Target::from_path(head.uri.path());
    match target {
        Target::Health | Target::Ready | Target::Metrics if !target.allows(&head.method) => {
            Reply::failure(&wrong_method(&head.method))
        }
        Target::Health => Reply::full(StatusCode::OK, "text/plain", "ok\n"),
        Target::Ready => ready(core),
        Target::Metrics => {
            Reply::full(StatusCode::OK, "text/plain; version=0.0.4", telemetry(core))
        }
        Target::Announce => handle_announcement(core, &head, body)
            .await
            .unwrap_or_else(|failure| closing(Reply::failure(&failure))),
        Target::Handover => handle_handover(core, &head, body)
            .await
            .unwrap_or_else(|failure| closing(Reply::failure(&failure))),
        _ => handle_call(core, target, head, body).await,
    }
}

fn ready<C: Control>(core: &Core<C>) -> Reply {
    match core.is_ready() {
        true => Reply::full(StatusCode::OK, "text/plain", "ready\n"),
        false => Reply::full(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n"),
    }
}

fn telemetry<C: Control>(core: &Core<C>) -> Vec<u8> {
    let view = core.control.view().load();
    let version = view.config.as_ref().map_or(0, |config| config.version);
    core.metrics.record_text_version(version);
    core.memory.update_metrics();
    core.metrics.render()
}

async fn handle_announcement<C: Control>(
    core: &Core<C>,
    head: &request::Parts,
    body: RequestBody,
) -> Result<Reply, Failure> {
    if !Target::Announce.allows(&head.method) {
        return Err(wrong_method(&head.method));
    }
    let length = Length::from_headers(&head.headers);
    let body = body::read(body, length, &core.memory, limits(core)).await?;
    announce::accept(core, &head.headers, &body).await
}

async fn handle_handover<C: Control>(
    core: &Arc<Core<C>>,
    head: &request::Parts,
    body: RequestBody,
) -> Result<Reply, Failure> {
    if head.method != Method::POST {
        let account = match handover::verify_follow_request(&head.headers, &core.keys.fleet) {
            Some(account) => account,
            None => access::account(&head.headers, &core.keys)?,
        };
        return handover::answer_lookup(core, &account, &head.method, &head.headers).await;
    }
    let limits = Limits {
        bytes: 2 * core.settings.entry.max_body_bytes,
        ..limits(core)
    };
    let length = Length::from_headers(&head.headers);
    let body = body::read(body, length, &core.memory, limits).await?;
    handover::take_over(core, &head.headers, &body)
}

async fn handle_call<C: Control>(
    core: &Arc<Core<C>>,
    target: Target,
    head: request::Parts,
    body: RequestBody,
) -> Reply {
    let subject = Subject {
        request: new_request_id(),
        ..Subject::default()
    };
    let mut exchange = Exchange::new(subject, core.metrics.clone());
    let has_body = Length::from_headers(&head.headers) != Length::None;
    match receive(core, &target, head, body, &mut exchange).await {
        Ok(incoming) => serve(core, target, incoming, exchange).await,
        Err(failure) => {
            let reply = exchange.fail(&failure);
            match has_body {
                true => closing(reply),
                false => reply,
            }
        }
    }
}

/// Closes the connection after a reply: the rest of a body that was not read can't be distinguished from a
/// next request.
fn closing(mut reply: Reply) -> Reply {
    reply.headers.insert(header::CONNECTION, CONNECTION_CLOSE);
    reply
}

/// Checks the head and reads the body.
async fn receive<C: Control>(
    core: &Core<C>,
    target: &Target,
    head: request::Parts,
    body: RequestBody,
    exchange: &mut Exchange,
) -> Result<Incoming, Failure> {
    let account = access::account(&head.headers, &core.keys)?;
    exchange.subject.account = account.clone();
    if core.drain.phase() >= Phase::Finishing {
        let message = "this entry is stopping";
        return Err(Failure::retryable(Kind::Draining, message, DRAIN_RETRY));
    }
    let length = Length::from_headers(&head.headers);
    match (target, length) {
        (Target::Unknown, _) => return Err(no_such_path(head.uri.path())),
        _ if !target.allows(&head.method) => return Err(wrong_method(&head.method)),
        (Target::Plain, Length::Chunked) => {
            let message = "a call of a plain service needs \"content-length\"";
            return Err(Failure::new(Kind::LengthRequired, message));
        }
        _ => {}
    }
    let body = body::read(body, length, &core.memory, limits(core)).await?;
    Ok(Incoming {
        account,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
    })
}

/// Serves the request on the runtime of the calls to upstreams, so that serving can outlive the
/// caller's connection.
async fn serve<C: Control>(
    core: &Arc<Core<C>>,
    target: Target,
    incoming: Incoming,
    mut exchange: Exchange,
) -> Reply {
    let config = match core.config() {
        Ok(config) => config,
        Err(failure) => return exchange.fail(&failure),
    };
    let (sender, receiver) = oneshot::channel();
    let (core, guard) = (core.clone(), core.drain.enter());
    let runtime = core.runtime.clone();
    let gauge = core.metrics.in_progress.clone();
    let served = async move {
        let _guard = guard;
        gauge.inc();
        // Boxed, so that a stream does not occupy the memory of the largest kind of call.
        match target {
            Target::Model(api) => {
                let served = model::serve(core, config, incoming, api, exchange, sender);
                Box::pin(served).await;
            }
            Target::Plain => {
                Box::pin(plain::serve(core, config, incoming, exchange, sender)).await;
            }
            _ => {
                exchange.apply(Event::Admitted);
                exchange.apply(Event::Replayed);
                let reply = exchange.answer(model::list(&config.text), "listed the models");
                let _ = sender.send(reply);
            }
        }
        gauge.dec();
    };
    runtime.spawn(served);
    receiver.await.unwrap_or_else(|_| {
        let message = "the request failed inside this entry";
        Reply::failure(&Failure::new(Kind::Upstream, message)).with_outcome(crate::Outcome::Unknown)
    })
}

fn respond<C>(core: &Core<C>, reply: Reply, guard: Guard) -> WebResponse {
    let body = match reply.body {
        Body::Full(body) => ResponseBody::bytes(body),
        // The server copies it whole into the buffer of the connection.
        Body::Held(body) if body.len() <= MAX_COPIED_BYTES => ResponseBody::bytes(body),
        Body::Held(body) => ResponseBody::boxed(HeldBody::new(&core.memory, body)),
        Body::Stream(events) => ResponseBody::boxed(RelayBody::new(events, guard)),
    };
    let mut response = WebResponse::new(body);
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    if !core.drain.is_serving() {
        response
            .headers_mut()
            .insert(header::CONNECTION, CONNECTION_CLOSE);
    }
    response
}

fn limits<C>(core: &Core<C>) -> Limits {
    let entry = &core.settings.entry;
    Limits {
        bytes: entry.max_body_bytes,
        time: entry.body_timeout,
    }
}

fn wrong_method(method: &Method) -> Failure {
    let message = format_compact!("method {method} does not fit this path");
    Failure::new(Kind::MethodNotAllowed, message)
}

fn no_such_path(path: &str) -> Failure {
    let message = format_compact!("path \"{path}\" does not exist");
    Failure::new(Kind::NotFound, message)
}

/// Returns an identifier of 80 random bits.
fn new_request_id() -> compact_str::CompactString {
    let mut random = rand::rng();
    let (high, low): (u64, u16) = (random.random(), random.random());
    format_compact!("{high:016x}{low:04x}")
}
