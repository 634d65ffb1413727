//! Client of the operators' HTTP interface: submits texts and reads documents.
//!
//! A request can be sent to any control process; the next one is tried if one does not answer. A
//! submission without an answer is sent again with the same id, so that it takes effect only once.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use config::ids::Version;
use errors::{Error, Peer, Result, Step};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde_json::{Value, json};
use state::rollouts::Order;
use tokio::time::{Instant, sleep, timeout};

/// Largest response body, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1_024 * 1_024;
/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before all control processes are tried again.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time to wait for an answer, in addition to the wait for a text to be in force.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Addresses of the control processes, and the operator's credentials.
#[derive(Clone, Debug, Default)]
pub struct Client {
    /// Addresses of the HTTP listeners for operators.
    pub controls: Vec<SocketAddr>,
    /// The operator's bearer token.
    pub token: String,
}

/// A text to be submitted.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Version that the text was edited from.
    pub base: Version,
    /// Identifier; a submission that is sent again must have the same.
    pub id: String,
    /// The text.
    pub text: String,
    /// Longest wait for the text to be in force everywhere.
    pub wait: Duration,
}

impl Default for Submission {
    fn default() -> Self {
        Submission {
            base: 0,
            id: String::new(),
            text: String::new(),
            wait: Duration::from_secs(10),
        }
    }
}

/// Outcome of a submission.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Outcome {
    /// In force at every entry.
    InForce {
        /// Version given to the text.
        version: Version,
    },
    /// Committed, and not yet in force at some entries.
    Committed {
        /// Version given to the text.
        version: Version,
        /// Entries that may still serve under an older version.
        missing: Vec<String>,
    },
    /// Another text was submitted since the base version; nothing changed.
    Conflict {
        /// Newest version.
        newest: Version,
        /// Difference between the base and the newest version, by lines.
        difference: String,
    },
    /// Refused; nothing changed.
    Refused {
        /// Reason; for an invalid text with line and column.
        message: String,
    },
}

/// Outcome of an order of a roll-out.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Ordered {
    /// It is recorded, now or by the same order before.
    Begun,
    /// Another roll-out of the service is in progress; nothing changed.
    InProgress {
        /// Which one.
        message: String,
    },
    /// Refused; nothing changed.
    Refused {
        /// Reason.
        message: String,
    },
}

/// Documents that operators read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Document {
    /// The text in force.
    Text,
    /// Leader, quorum and entries.
    Status,
    /// Calls whose outcome is unknown.
    Unknowns,
    /// Hours and spend of instances by day.
    Ledger,
    /// Orders to engines and the cloud.
    Orders,
    /// The newest roll-out of each service.
    Rollouts,
}

impl Document {
    fn path(self) -> &'static str {
        match self {
            Document::Text => "/v1/text",
            Document::Status => "/v1/status",
            Document::Unknowns => "/v1/unknowns",
            Document::Ledger => "/v1/ledger",
            Document::Orders => "/v1/orders",
            Document::Rollouts => "/v1/rollouts",
        }
    }
}

impl Client {
    /// Submits a text and waits until it is in force at all entries, or until the submission's wait
    /// is over.
    ///
    /// # Errors
    /// Fails when no control process answers in time. The text may then be committed or not, and
    /// the same submission can be sent again.
    pub async fn submit(&self, submission: &Submission) -> Result<Outcome> {
        let body = json!({
            "base": submission.base,
            "id": submission.id,
            "text": submission.text,
            "wait_ms": u64::try_from(submission.wait.as_millis()).unwrap_or(u64::MAX),
        });
        let limit = submission.wait + TIMEOUT;
        let (status, answer) = self
            .send(Method::POST, "/v1/text", body.to_string().into(), limit)
            .await?;
        Ok(outcome(status, &answer))
    }

    /// Orders a roll-out. An order without an answer can be sent again.
    ///
    /// # Errors
    /// Fails when no control process answers in time.
    pub async fn begin_rollout(&self, order: &Order) -> Result<Ordered> {
        let body = json!({
            "service": order.service, "to": order.to, "duration_ms": order.duration_ms,
        });
        let (status, answer) = self
            .send(
                Method::POST,
                "/v1/rollouts",
                body.to_string().into(),
                TIMEOUT,
            )
            .await?;
        Ok(match status {
            StatusCode::OK => Ordered::Begun,
            StatusCode::CONFLICT => Ordered::InProgress {
                message: message(&answer),
            },
            _ => Ordered::Refused {
                message: message(&answer),
            },
        })
    }

    /// Reads a document.
    ///
    /// # Errors
    /// Fails when no control process answers in time, or the token is refused.
    pub async fn read(&self, document: Document) -> Result<Value> {
        let path = document.path();
        let (status, answer) = match document {
            Document::Status => self.read_with_quorum(path).await?,
            _ => self.send(Method::GET, path, Bytes::new(), TIMEOUT).await?,
        };
        match status {
            StatusCode::OK => Ok(answer),
            _ => Err(Error::Protocol(
                Step::Receive,
                Peer::Name("control".into()),
                message(&answer),
            )),
        }
    }

    /// Sends a request to all control processes in turn until one with a quorum answers. If none
    /// has a quorum, returns the answer of one without.
    async fn read_with_quorum(&self, path: &str) -> Result<(StatusCode, Value)> {
        let mut without_quorum = None;
        for address in &self.controls {
            let attempt = self.send_to(*address, &Method::GET, path, Bytes::new());
            match timeout(TIMEOUT, attempt).await {
                Ok(Ok((StatusCode::OK, answer))) if answer["quorum"] == false => {
                    without_quorum = Some((StatusCode::OK, answer));
                }
                Ok(Ok(answer)) if answer.0 != StatusCode::SERVICE_UNAVAILABLE => {
                    return Ok(answer);
                }
                _ => {}
            }
        }
        match without_quorum {
            Some(answer) => Ok(answer),
            None => self.send(Method::GET, path, Bytes::new(), TIMEOUT).await,
        }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(StatusCode, Value)> {
        let deadline = Instant::now() + limit;
        let mut last_error = None;
        loop {
            for address in &self.controls {
                let remaining = deadline.saturating_duration_since(Instant::now());
                let attempt = self.send_to(*address, &method, path, body.clone());
                match timeout(remaining, attempt).await {
                    Ok(Ok((StatusCode::SERVICE_UNAVAILABLE, answer))) => {
                        let reason = message(&answer);
                        last_error = Some(Error::Protocol(
                            Step::Receive,
                            Peer::Address(*address),
                            reason,
                        ));
                    }
                    Ok(Ok(answer)) => return Ok(answer),
                    Ok(Err(error)) => last_error = Some(error),
                    Err(_) => {}
                }
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                let peer = Peer::Name("control".into());
                return Err(last_error.unwrap_or(Error::Timeout(Step::Receive, peer, limit)));
            }
            sleep(RETRY_DELAY).await;
        }
    }

    async fn send_to(
        &self,
        address: SocketAddr,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Value)> {
        let peer = || Peer::Address(address);
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {}", self.token))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|error| Error::Other(Step::Encode, peer(), Box::new(error)))?;
        let response = http_client()
            .request(request)
            .await
            .map_err(|error| Error::Other(Step::Send, peer(), Box::new(error)))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|error| Error::Other(Step::Receive, peer(), error))?
            .to_bytes();
        let answer = serde_json::from_slice(&body)
            .map_err(|error| Error::Other(Step::Decode, peer(), Box::new(error)))?;
        Ok((status, answer))
    }
}

fn http_client() -> HttpClient<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    HttpClient::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .build(connector)
}

fn outcome(status: StatusCode, answer: &Value) -> Outcome {
    let version = answer["version"].as_u64().unwrap_or_default();
    match status {
        StatusCode::OK => Outcome::InForce { version },
        StatusCode::ACCEPTED => Outcome::Committed {
            version,
            missing: answer["missing"]
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(|entry| entry.as_str().map(str::to_owned))
                .collect(),
        },
        StatusCode::CONFLICT => Outcome::Conflict {
            newest: answer["newest"].as_u64().unwrap_or_default(),
            difference: answer["difference"].as_str().unwrap_or_default().to_owned(),
        },
        _ => Outcome::Refused {
            message: message(answer),
        },
    }
}

fn message(answer: &Value) -> String {
    let message = answer["error"]["message"].as_str();
    message
        .unwrap_or("the answer has no error message")
        .to_owned()
}
