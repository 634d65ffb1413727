//! Moves an answer away from an upstream that is being reclaimed.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use fleet::Control;
use http::Method;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use routing::Choice;
use serde::Deserialize;
use tokio::time::timeout;

use super::attempt::{Attempt, Ended};
use super::plan::MIN_TRANSFER;
use super::relay::Relay;

/// Time without anything from an engine after an export, when its last tokens have arrived.
const QUIET: Duration = Duration::from_millis(50);
/// Longest time to read the last tokens after an export.
const MAX_REST: Duration = Duration::from_millis(200);

/// State that the source keeps for the target.
#[derive(Deserialize)]
struct Exported {
    handle: CompactString,
}

/// State as the target names it.
#[derive(Deserialize)]
struct Imported {
    handle: CompactString,
}

impl<C: Control> Relay<C> {
    /// Moves the answer within `left`. Returns `None` if there is no upstream to move it to;
    /// the answer then goes on where it is.
    pub(super) async fn transfer(
        &mut self,
        attempt: &mut Attempt,
        body: &mut Incoming,
        left: Duration,
    ) -> Option<Ended> {
        let source = attempt.choice.upstream.clone();
        if !self.failed.contains(&source) {
            self.failed.push(source);
        }
        let target = self
            .core
            .router
            .choose(&self.route_request(), Instant::now())
            .ok()?;
        if left < MIN_TRANSFER {
            let handle = None;
            return Some(Ended::Transferred { target, handle });
        }
        let half = left / 2;
        let (exported, ended) = self.export(attempt, body, half).await;
        if matches!(ended, Some(Ended::Whole)) {
            return ended;
        }
        let handle = match exported {
            Some(exported) => self.import(attempt, &target, &exported, half).await,
            None => None,
        };
        Some(Ended::Transferred { target, handle })
    }

    /// Exports the state while the last tokens are read, and stops the request at the source.
    async fn export(
        &mut self,
        attempt: &mut Attempt,
        body: &mut Incoming,
        limit: Duration,
    ) -> (Option<Exported>, Option<Ended>) {
        let client = self.core.engines.clone();
        let order = format!("{{\"request_id\":\"{}\"}}", attempt.id);
        let address = attempt.choice.address;
        let call = client.fetch(address, Method::POST, "/v1/kv/export", order, limit);
        let mut call = std::pin::pin!(call);
        let mut ended = None;
        let exported = loop {
            tokio::select! {
                answer = &mut call => break answer,
                frame = body.frame(), if ended.is_none() => {
                    ended = self.received(attempt, frame);
                }
            }
        };
        let exported = exported
            .ok()
            .and_then(|whole| serde_json::from_slice(&whole.body).ok());
        let until = Instant::now() + MAX_REST;
        while exported.is_some() && ended.is_none() && Instant::now() < until {
            match timeout(QUIET, body.frame()).await {
                Ok(frame) => ended = self.received(attempt, frame),
                Err(_) => break,
            }
        }
        (exported, ended)
    }

    async fn import(
        &self,
        attempt: &Attempt,
        target: &Choice,
        exported: &Exported,
        limit: Duration,
    ) -> Option<CompactString> {
        let order = serde_json::json!({
            "source": attempt.choice.address.to_string(),
            "handle": exported.handle.as_str(),
        });
        let client = &self.core.engines;
        let imported = client
            .fetch(
                target.address,
                Method::POST,
                "/v1/kv/import",
                order.to_string(),
                limit,
            )
            .await;
        let imported: Imported = serde_json::from_slice(&imported.ok()?.body).ok()?;
        Some(imported.handle)
    }
}
