//! Reasons for which the gateway refuses a request.

use std::time::Duration;

use quick_error::quick_error;

use crate::Subject;

quick_error! {
    /// Reason for which the gateway answers a request itself. It determines whether the request may
    /// have run. The texts are sent to callers.
    #[derive(Clone, Debug, PartialEq)]
    pub enum Refusal {
        /// The entry has not received a text yet.
        Unready(retry_after: Duration) {
            display("no text is known yet")
        }
        /// This entry stops before the request could finish; the caller should use another entry.
        Stopping {
            display("this entry stops")
        }
        /// The request can't be decoded, or its body was not received completely.
        Malformed(what: String) {
            display("the request can't be read: {what}")
        }
        /// No route matches the host and path.
        NoRoute {
            display("no route matches")
        }
        /// The route requires a key, and the request has none or an unknown one.
        NoAccount {
            display("the key is not known")
        }
        /// The body exceeds the size limit.
        TooLarge {
            display("the body is too large")
        }
        /// The body was not received in time.
        SlowBody {
            display("the body took too long")
        }
        /// The body was dropped before its end, because the entry is short of memory.
        MemoryShort(retry_after: Duration) {
            display("this entry is short of memory")
        }
        /// The account has exceeded its token limit.
        OverLimit(retry_after: Duration) {
            display("the account is beyond its limit for {} ms", retry_after.as_millis())
        }
        /// No upstream of the service takes work.
        NoUpstream(retry_after: Duration) {
            display("no upstream takes work")
        }
        /// No upstream is expected to begin the request in time.
        Overloaded(retry_after: Duration) {
            display("the upstreams can't serve it in time")
        }
        /// The engines take only a part of the requests, and this one is beyond the share of its rank and
        /// account.
        OverCapacity(retry_after: Duration) {
            display("the engines can't take all requests now")
        }
        /// The request takes up a stream, and the software version that began it is not known.
        UnknownOrigin {
            display("it is not known which version began the stream")
        }
        /// The request, or a part of its prompt, crashes upstreams, and may have crashed one already.
        Quarantined(subject: Subject, may_have_run: bool) {
            display("it crashes upstreams: {}", subject.name())
        }
        /// Upstreams refused the request without running it, and no further attempt is allowed.
        Shed(retry_after: Duration) {
            display("upstreams refused it without running it")
        }
        /// The deadline passed before the request was sent.
        TooLate {
            display("the deadline passed before it was sent")
        }
        /// An upstream may have run the request, and its answer was missing or invalid.
        Lost(what: String) {
            display("an upstream may have run it: {what}")
        }
        /// An upstream may have run the request, and did not answer before the deadline.
        TimedOut {
            display("no answer before the deadline")
        }
    }
}

impl Refusal {
    /// Reports whether the request has not run and will not run later.
    pub fn is_not_run(&self) -> bool {
        !matches!(
            self,
            Refusal::Lost(_) | Refusal::TimedOut | Refusal::Quarantined(_, true)
        )
    }

    /// Returns the time after which the caller should retry, if it should.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Refusal::Unready(after)
            | Refusal::OverLimit(after)
            | Refusal::MemoryShort(after)
            | Refusal::NoUpstream(after)
            | Refusal::Overloaded(after)
            | Refusal::OverCapacity(after)
            | Refusal::Shed(after) => Some(*after),
            Refusal::Stopping => Some(Duration::ZERO),
            _ => None,
        }
    }

    /// Returns the name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Refusal::Unready(_) => "unready",
            Refusal::Stopping => "stopping",
            Refusal::Malformed(_) => "malformed",
            Refusal::NoRoute => "no-route",
            Refusal::NoAccount => "no-account",
            Refusal::TooLarge => "too-large",
            Refusal::SlowBody => "slow-body",
            Refusal::MemoryShort(_) => "memory-short",
            Refusal::OverLimit(_) => "over-limit",
            Refusal::NoUpstream(_) => "no-upstream",
            Refusal::Overloaded(_) => "overloaded",
            Refusal::OverCapacity(_) => "over-capacity",
            Refusal::UnknownOrigin => "unknown-origin",
            Refusal::Quarantined(_, _) => "quarantined",
            Refusal::Shed(_) => "shed",
            Refusal::TooLate => "too-late",
            Refusal::Lost(_) => "lost",
            Refusal::TimedOut => "timed-out",
        }
    }
}
