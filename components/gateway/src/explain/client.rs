//! Asks an entry for an explanation, for the command of operators.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use errors::{Error, Peer, Result, Step};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use tokio::time::timeout;

use super::{Answer, PATH, Question};

/// Largest answer, in bytes; a service has some hundred upstreams at most.
const MAX_ANSWER_BYTES: usize = 4 * 1_024 * 1_024;
/// Time to wait for the answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Asks the entry whose listener for metrics is at `address`.
///
/// # Errors
/// Fails if the entry does not answer in time, can't read the question, or serves no explanations.
pub async fn ask(address: SocketAddr, question: &Question) -> Result<Answer> {
    let peer = || Peer::Address(address);
    let body = serde_json::to_vec(question)
        .map_err(|error| Error::Other(Step::Encode, peer(), Box::new(error)))?;
    let asked = timeout(TIMEOUT, send(address, body.into())).await;
    let (status, body) = asked.map_err(|_| Error::Timeout(Step::Receive, peer(), TIMEOUT))??;
    let refused = |message: &str| Error::Protocol(Step::Receive, peer(), message.into());
    let Ok(answer) = serde_json::from_slice::<Value>(&body) else {
        // An older release, or a control process, answers each request with its metrics.
        return Err(refused("this is no entry that explains routes"));
    };
    match status {
        StatusCode::OK => serde_json::from_value(answer)
            .map_err(|error| Error::Other(Step::Decode, peer(), Box::new(error))),
        status => {
            let message = answer["error"]["message"].as_str();
            Err(refused(message.unwrap_or(status.as_str())))
        }
    }
}

async fn send(address: SocketAddr, body: Bytes) -> Result<(StatusCode, Bytes)> {
    let peer = || Peer::Address(address);
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{PATH}"))
        .header("content-type", "application/json")
        .body(Full::new(body))
        .map_err(|error| Error::Other(Step::Encode, peer(), Box::new(error)))?;
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let response = client
        .request(request)
        .await
        .map_err(|error| Error::Other(Step::Send, peer(), Box::new(error)))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|error| Error::Other(Step::Receive, peer(), error))?;
    Ok((status, body.to_bytes()))
}
