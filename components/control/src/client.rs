//! The operators' side of the HTTP interface: submits texts and reads documents.
//!
//! Any control process will do; the next is tried when one does not answer. A submission that
//! was sent and not answered is sent again with the same id, which can't take effect twice.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use config::ids::Version;
use errors::{Error, Peer, Result, Step};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client as Http;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout};

/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1_024 * 1_024;
/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Wait before all control processes are tried again.
const RETRY: Duration = Duration::from_millis(200);
/// Time beyond the wait for a text to be in force.
const SLACK: Duration = Duration::from_secs(5);

/// Where the control processes are, and as whom to ask.
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
    /// Identifier, to be kept when the submission is sent again.
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

/// What came of a submission.
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
    /// Another text was submitted meanwhile; nothing changed.
    Conflict {
        /// Newest version.
        newest: Version,
        /// What changed between the base and the newest version.
        difference: String,
    },
    /// Refused; nothing changed.
    Refused {
        /// Why, with line and column where the text is wrong.
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
    /// The bill.
    Ledger,
    /// Orders to engines and the cloud.
    Orders,
}

impl Document {
    fn path(self) -> &'static str {
        match self {
            Document::Text => "/v1/text",
            Document::Status => "/v1/status",
            Document::Unknowns => "/v1/unknowns",
            Document::Ledger => "/v1/ledger",
            Document::Orders => "/v1/orders",
        }
    }
}

impl Client {
    /// Submits a text and waits until it is in force everywhere, or says what is missing.
    ///
    /// # Errors
    /// Fails when no control process answers in time; the text may then be committed or not, and
    /// the same submission can be sent again.
    pub async fn submit(&self, submission: &Submission) -> Result<Outcome> {
        let body = json!({
            "base": submission.base,
            "id": submission.id,
            "text": submission.text,
            "wait_ms": u64::try_from(submission.wait.as_millis()).unwrap_or(u64::MAX),
        });
        let limit = submission.wait + SLACK;
        let (status, answer) = self
            .ask(Method::POST, "/v1/text", body.to_string().into(), limit)
            .await?;
        Ok(outcome(status, &answer))
    }

    /// Reads a document.
    ///
    /// # Errors
    /// Fails when no control process answers in time, or the token is refused.
    pub async fn read(&self, document: Document) -> Result<Value> {
        let path = document.path();
        let (status, answer) = match document {
            Document::Status => self.ask_for_quorum(path).await?,
            _ => self.ask(Method::GET, path, Bytes::new(), SLACK).await?,
        };
        match status {
            StatusCode::OK => Ok(answer),
            _ => Err(Error::Protocol(
                Step::Receive,
                Peer::Named("control".into()),
                message(&answer),
            )),
        }
    }

    /// Asks all control processes until one reaches a quorum, and returns what one without says
    /// if none does.
    async fn ask_for_quorum(&self, path: &str) -> Result<(StatusCode, Value)> {
        let mut without = None;
        for address in &self.controls {
            let asked = self.ask_one(*address, &Method::GET, path, Bytes::new());
            match timeout(SLACK, asked).await {
                Ok(Ok((StatusCode::OK, answer))) if answer["quorum"] == false => {
                    without = Some((StatusCode::OK, answer));
                }
                Ok(Ok(answer)) if answer.0 != StatusCode::SERVICE_UNAVAILABLE => {
                    return Ok(answer);
                }
                _ => {}
            }
        }
        match without {
            Some(answer) => Ok(answer),
            None => self.ask(Method::GET, path, Bytes::new(), SLACK).await,
        }
    }

    async fn ask(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(StatusCode, Value)> {
        let deadline = Instant::now() + limit;
        let mut last = None;
        loop {
            for address in &self.controls {
                let left = deadline.saturating_duration_since(Instant::now());
                let asked = self.ask_one(*address, &method, path, body.clone());
                match timeout(left, asked).await {
                    Ok(Ok((StatusCode::SERVICE_UNAVAILABLE, answer))) => {
                        let what = message(&answer);
                        last = Some(Error::Protocol(
                            Step::Receive,
                            Peer::Address(*address),
                            what,
                        ));
                    }
                    Ok(Ok(answer)) => return Ok(answer),
                    Ok(Err(error)) => last = Some(error),
                    Err(_) => {}
                }
            }
            if Instant::now() + RETRY >= deadline {
                let peer = Peer::Named("control".into());
                return Err(last.unwrap_or(Error::Timeout(Step::Receive, peer, limit)));
            }
            sleep(RETRY).await;
        }
    }

    async fn ask_one(
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
        let response = http()
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

fn http() -> Http<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Http::builder(TokioExecutor::new())
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
    message.unwrap_or("answer without a message").to_owned()
}
