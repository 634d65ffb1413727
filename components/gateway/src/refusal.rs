//! Why a request is not answered by an upstream.

use std::time::Duration;

use quick_error::quick_error;

quick_error! {
    /// An answer of the entry's own. Whether the request may have run follows from the reason.
    #[derive(Clone, Debug, PartialEq)]
    pub enum Refusal {
        /// No text is known yet.
        Unready(retry_after: Duration) {
            display("no text is known yet")
        }
        /// This entry stops before the request could end; another one takes it.
        Stopping {
            display("this entry stops")
        }
        /// The head can't be read.
        Malformed(what: String) {
            display("the request can't be read: {what}")
        }
        /// No route matches.
        NoRoute {
            display("no route matches")
        }
        /// The route needs a key, and the request has none that is known.
        NoAccount {
            display("the key is not known")
        }
        /// The body is larger than allowed.
        TooLarge {
            display("the body is too large")
        }
        /// The body took too long.
        SlowBody {
            display("the body took too long")
        }
        /// The account is beyond its limit.
        OverLimit(retry_after: Duration) {
            display("the account is beyond its limit for {} ms", retry_after.as_millis())
        }
        /// No upstream of the service takes work.
        NoUpstream(retry_after: Duration) {
            display("no upstream takes work")
        }
        /// The upstreams can't serve it in time.
        Overloaded(retry_after: Duration) {
            display("the upstreams can't serve it in time")
        }
        /// Upstreams refused it without running it, and no further one may be tried.
        Shed(retry_after: Duration) {
            display("upstreams refused it without running it")
        }
        /// The deadline passed before it was sent.
        TooLate {
            display("the deadline passed before it was sent")
        }
        /// An upstream may have run it, and its answer did not come or made no sense.
        Lost(what: String) {
            display("an upstream may have run it: {what}")
        }
        /// An upstream may have run it, and did not answer before the deadline.
        TimedOut {
            display("no answer before the deadline")
        }
    }
}

impl Refusal {
    /// Reports whether the request has not run and never will.
    pub fn is_not_run(&self) -> bool {
        !matches!(self, Refusal::Lost(_) | Refusal::TimedOut)
    }

    /// Returns when the caller is asked to come back.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Refusal::Unready(after)
            | Refusal::OverLimit(after)
            | Refusal::NoUpstream(after)
            | Refusal::Overloaded(after)
            | Refusal::Shed(after) => Some(*after),
            Refusal::Stopping => Some(Duration::ZERO),
            _ => None,
        }
    }

    /// Returns the name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Refusal::Unready(_) => "unready",
            Refusal::Stopping => "stopping",
            Refusal::Malformed(_) => "malformed",
            Refusal::NoRoute => "no-route",
            Refusal::NoAccount => "no-account",
            Refusal::TooLarge => "too-large",
            Refusal::SlowBody => "slow-body",
            Refusal::OverLimit(_) => "over-limit",
            Refusal::NoUpstream(_) => "no-upstream",
            Refusal::Overloaded(_) => "overloaded",
            Refusal::Shed(_) => "shed",
            Refusal::TooLate => "too-late",
            Refusal::Lost(_) => "lost",
            Refusal::TimedOut => "timed-out",
        }
    }
}
