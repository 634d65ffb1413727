//! A caller that retries its requests on other entries.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::attempt::{Progress, Runner};
use super::outcome::{AttemptOutcome, Observation, Outcome};
use super::{Attempt, Call};

pub(super) type Http = Client<HttpConnector, Full<Bytes>>;

const MAX_IDLE_CONNECTIONS: usize = 256;

/// Entries, credentials, timeouts and retries of a caller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses of entries, used in turn by successive attempts.
    pub entries: Vec<SocketAddr>,
    /// Key of the client account, or empty.
    pub bearer: String,
    /// Maximum attempts of one request.
    pub max_attempts: usize,
    /// Delay before another attempt.
    pub retry_delay: Duration,
    /// Time without a byte after which an attempt is abandoned.
    pub silence_timeout: Duration,
    /// Maximum duration of one attempt.
    pub attempt_timeout: Duration,
    /// Whether requests refused as not run are retried.
    pub retry_refused: bool,
    /// Whether idle connections are reused.
    pub pooled: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            entries: Vec::new(),
            bearer: String::new(),
            max_attempts: 8,
            retry_delay: Duration::from_millis(200),
            silence_timeout: Duration::from_secs(8),
            attempt_timeout: Duration::from_secs(60),
            retry_refused: false,
            pooled: false,
        }
    }
}

/// A caller of a client account.
#[derive(Debug)]
pub struct Caller {
    pub(super) settings: Settings,
    pub(super) http: Http,
    next_entry: AtomicUsize,
}

impl Caller {
    /// Returns a caller whose first request goes to the first entry.
    pub fn new(settings: Settings) -> Caller {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        let idle = if settings.pooled {
            MAX_IDLE_CONNECTIONS
        } else {
            0
        };
        let http = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(idle)
            .retry_canceled_requests(false)
            .build(connector);
        Caller {
            settings,
            http,
            next_entry: AtomicUsize::new(0),
        }
    }

    /// Makes a call, with retries until it has an outcome or no attempts are left.
    pub async fn call(&self, call: &Call) -> Observation {
        let first = self.next_entry.fetch_add(1, Ordering::Relaxed);
        self.call_from(first, call).await
    }

    /// Makes a call whose first attempt goes to entry `first`, modulo the number of entries.
    pub async fn call_from(&self, first: usize, call: &Call) -> Observation {
        let started = Instant::now();
        let mut progress = Progress::new(call, started);
        let mut attempts: Vec<Attempt> = Vec::new();
        let mut outcome = Outcome::Lost("no attempt was made".to_owned());
        for number in 0..self.settings.max_attempts {
            if number > 0 {
                tokio::time::sleep(self.settings.retry_delay).await;
            }
            let entry = self.settings.entries[(first + number) % self.settings.entries.len()];
            let attempt = Runner::new(self, entry, call).run(&mut progress).await;
            let was_broken = attempts
                .iter()
                .any(|it| matches!(it.outcome, AttemptOutcome::Broken(_)));
            let decision = self.decide(call, &attempt, was_broken);
            attempts.push(attempt);
            match decision {
                Decision::Stop(last) => {
                    outcome = last;
                    break;
                }
                Decision::Retry(reason) => outcome = Outcome::Lost(reason),
            }
        }
        progress.into_observation(outcome, attempts)
    }

    fn decide(&self, call: &Call, attempt: &Attempt, was_broken: bool) -> Decision {
        match &attempt.outcome {
            AttemptOutcome::Complete => Decision::Stop(Outcome::Complete),
            AttemptOutcome::Unknown => Decision::Stop(Outcome::Unknown),
            AttemptOutcome::Wrong(reason) => Decision::Stop(Outcome::Wrong(reason.clone())),
            AttemptOutcome::Refused(_) if was_broken || self.settings.retry_refused => {
                Decision::Retry("refused as not run".to_owned())
            }
            AttemptOutcome::Refused(_) => Decision::Stop(Outcome::Refused),
            AttemptOutcome::Restart => Decision::Retry("the stream must restart".to_owned()),
            AttemptOutcome::Broken(reason) if call.may_repeat() => Decision::Retry(reason.clone()),
            AttemptOutcome::Broken(reason) => Decision::Stop(Outcome::Lost(reason.clone())),
        }
    }
}

/// Whether a request is retried after an attempt.
enum Decision {
    Stop(Outcome),
    Retry(String),
}
