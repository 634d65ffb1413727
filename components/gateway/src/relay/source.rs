//! The upstream's answer that is read, and the attempt to continue it at another upstream.

use std::sync::Arc;
use std::time::{Duration, Instant};

use config::ids::NodeId;
use http::response;
use hyper::body::Incoming;
use tracing::warn;
use web::Framing;

use super::may_be_events;
use crate::balancer::Outcome;
use crate::call::Call;
use crate::connection::Connection;
use crate::core::Core;
use crate::dispatch::{self, Answer, Attempts};
use crate::request_log::RequestLog;
use crate::ticket::Ticket;
use crate::{Refusal, Reply};

/// Time for which data goes on to arrive before an answer counts as begun well.
const MIN_CONFIRMATION: Duration = Duration::from_millis(100);

/// The upstream's answer that is currently read.
pub(super) struct Source {
    pub(super) body: Incoming,
    pub(super) framing: Framing,
    pub(super) ticket: Ticket,
    pub(super) connection: Connection,
    pub(super) reply: Reply,
    /// Entry that passes the answer on; `None` if the upstream sends it.
    pub(super) via: Option<NodeId>,
    /// When the first data came with which the answer may have begun well.
    lasts_since: Option<Instant>,
    /// Whether it is recorded that the answer has begun well.
    pub(super) begun_well: bool,
}

impl Source {
    pub(super) fn new(answer: Answer) -> (response::Parts, Source) {
        let (parts, body) = answer.response.into_parts();
        let source = Source {
            framing: Framing::of(&parts.headers, &body),
            body,
            ticket: answer.ticket,
            connection: answer.connection,
            reply: answer.reply,
            via: answer.via,
            lasts_since: None,
            begun_well: false,
        };
        (parts, source)
    }

    /// Reports whether data that arrives now shows that the answer has begun well. After a pause of
    /// this process data may arrive late that was sent before a crash, all of it at once.
    pub(super) fn goes_on(&mut self, now: Instant) -> bool {
        if !self.ticket.has_begun_well() {
            return false;
        }
        let since = *self.lasts_since.get_or_insert(now);
        now.saturating_duration_since(since) >= MIN_CONFIRMATION
    }
}

/// Result of an attempt to resume the answer at another upstream.
pub(super) struct Resumed {
    pub(super) answer: Result<Answer, Refusal>,
    pub(super) attempts: Attempts,
    pub(super) request_log: RequestLog,
}

/// Sends the request to another upstream, which continues after the event `last`. One that answers
/// with something else than an event stream is passed over.
pub(super) async fn resume(
    core: Arc<Core>,
    call: Arc<Call>,
    last: Option<u64>,
    mut attempts: Attempts,
    mut request_log: RequestLog,
) -> Resumed {
    let answer = loop {
        let sent = dispatch::dispatch(&core, &call, last, &mut attempts, &mut request_log).await;
        let mut answer = match sent {
            Ok(answer) => answer,
            Err(refusal) => break Err(refusal),
        };
        attempts.record_answer(&answer.ticket.choice().upstream);
        let status = answer.response.status();
        match status.is_success() {
            true if may_be_events(answer.response.headers()) => break Ok(answer),
            true => {
                warn!(
                    request = %call.id,
                    upstream = %answer.ticket.choice().upstream,
                    "answer: not resumed: the upstream answered with no event stream"
                );
                answer.ticket.finish(Outcome::Failed);
            }
            false => break Err(Refusal::Lost(format!("status {status}"))),
        }
    };
    Resumed {
        answer,
        attempts,
        request_log,
    }
}
