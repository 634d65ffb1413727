//! Moves an answer away from an engine that is being reclaimed.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use fleet::Control;
use http::Method;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use routing::{Choice, Request};
use serde::Deserialize;
use tokio::time::timeout;

use super::attempt::{Attempt, End};
use super::reclaim::MIN_TRANSFER_TIME;
use super::relay::Relay;

/// Time without bytes from the source, after its export, until its last tokens are assumed to have
/// arrived.
const TAIL_IDLE_TIMEOUT: Duration = Duration::from_millis(50);
/// Longest time for reading the last tokens after an export.
const MAX_TAIL_TIME: Duration = Duration::from_millis(200);

/// The response to an export: the handle of the state at the source.
#[derive(Deserialize)]
struct Export {
    handle: CompactString,
}

/// The response to an import: the handle of the state at the target.
#[derive(Deserialize)]
struct Import {
    handle: CompactString,
}

impl<C: Control> Relay<C> {
    /// Moves the answer within `time_left`. Returns `None` if there is no upstream to move it to;
    /// the answer then continues at its engine.
    pub(super) async fn transfer(
        &mut self,
        attempt: &mut Attempt,
        body: &mut Incoming,
        time_left: Duration,
    ) -> Option<End> {
        let source = attempt.choice.upstream.clone();
        if !self.excluded.contains(&source) {
            self.excluded.push(source);
        }
        let request = Request {
            software: Some(&attempt.choice.software),
            ..self.route_request()
        };
        let target = self.core.router.choose(&request, Instant::now()).ok()?;
        if time_left < MIN_TRANSFER_TIME {
            let handle = None;
            return Some(End::Transferred { target, handle });
        }
        let half = time_left / 2;
        let (exported, end) = self.export(attempt, body, half).await;
        if matches!(end, Some(End::Complete)) {
            return end;
        }
        let handle = match exported {
            Some(exported) => self.import(attempt, &target, &exported, half).await,
            None => None,
        };
        Some(End::Transferred { target, handle })
    }

    /// Exports the state from the source, which stops the request there, and reads its last tokens.
    async fn export(
        &mut self,
        attempt: &mut Attempt,
        body: &mut Incoming,
        limit: Duration,
    ) -> (Option<Export>, Option<End>) {
        let client = self.core.engine_client.clone();
        let request = format!("{{\"request_id\":\"{}\"}}", attempt.id);
        let address = attempt.choice.address;
        let call = client.fetch(address, Method::POST, "/v1/kv/export", request, limit);
        let mut call = std::pin::pin!(call);
        let mut end = None;
        let exported = loop {
            tokio::select! {
                answer = &mut call => break answer,
                frame = body.frame(), if end.is_none() => {
                    end = self.handle_frame(attempt, frame);
                }
            }
        };
        let exported = exported
            .ok()
            .and_then(|answer| serde_json::from_slice(&answer.body).ok());
        let until = Instant::now() + MAX_TAIL_TIME;
        while exported.is_some() && end.is_none() && Instant::now() < until {
            match timeout(TAIL_IDLE_TIMEOUT, body.frame()).await {
                Ok(frame) => end = self.handle_frame(attempt, frame),
                Err(_) => break,
            }
        }
        (exported, end)
    }

    async fn import(
        &self,
        attempt: &Attempt,
        target: &Choice,
        exported: &Export,
        limit: Duration,
    ) -> Option<CompactString> {
        let request = serde_json::json!({
            "source": attempt.choice.address.to_string(),
            "handle": exported.handle.as_str(),
        });
        let client = &self.core.engine_client;
        let imported = client
            .fetch(
                target.address,
                Method::POST,
                "/v1/kv/import",
                request.to_string(),
                limit,
            )
            .await;
        let imported: Import = serde_json::from_slice(&imported.ok()?.body).ok()?;
        Some(imported.handle)
    }
}
