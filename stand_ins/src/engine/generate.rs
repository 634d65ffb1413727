//! Handling of generation requests: validation, queueing and the response.

use std::sync::Arc;

use bytes::Bytes;
use http::StatusCode;
use tokio::sync::mpsc;
use upstream::blocks;

use super::history::Record;
use super::job::{CHANNEL_TOKENS, Job, Output, Usage};
use super::request::Generation;
use super::stream::Encoder;
use super::{Core, buffered, lock, stream};
use crate::text;
use crate::web::{self, Disconnect, Refusal, Request, Response};

/// Published API of a generation request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Api {
    Chat,
    Text,
}

/// A validated request.
struct ValidRequest {
    generation: Generation,
    request: String,
    prompt: String,
    text_seed: u64,
    length: usize,
    imported_tokens: usize,
}

pub(super) async fn handle(
    core: Arc<Core>,
    request: Request,
    api: Api,
) -> Result<Response, Disconnect> {
    let body = web::read_body(request).await?;
    if lock(&core.switches).mute {
        return std::future::pending().await;
    }
    let valid = match validate(&core, &body) {
        Ok(valid) => valid,
        Err(refusal) => return Ok(refusal.into()),
    };
    let encoder = Encoder::new(api, &valid.request, &valid.generation, valid.text_seed);
    let streamed = valid.generation.stream;
    let output = queue(&core, valid);
    match streamed {
        true => Ok(stream::answer(core, encoder, output)),
        false => buffered::answer(core, encoder, output).await,
    }
}

fn validate(core: &Core, body: &Bytes) -> Result<ValidRequest, Refusal> {
    let generation: Generation = serde_json::from_slice(body).map_err(|cause| {
        Refusal::new(
            StatusCode::BAD_REQUEST,
            "invalid_request",
            &cause.to_string(),
        )
    })?;
    check_availability(core, &generation.model)?;
    let prompt = generation.rendered();
    let text_seed = text::seed(&generation.model, &prompt);
    check_resume_tokens(text_seed, &generation.resume_tokens)?;
    let imported_tokens = imported_tokens(core, text_seed, generation.kv_handle.as_deref())?;
    let limit = generation.max_answer_tokens();
    let request = generation.request_id.clone();
    Ok(ValidRequest {
        request: request.unwrap_or_else(|| format!("r-{text_seed:016x}")),
        length: limit.unwrap_or_else(|| text::default_length(text_seed)),
        generation,
        prompt,
        text_seed,
        imported_tokens,
    })
}

fn check_availability(core: &Core, model: &str) -> Result<(), Refusal> {
    let unavailable =
        |code, message: &str| Refusal::new(StatusCode::SERVICE_UNAVAILABLE, code, message);
    let status = lock(&core.status);
    let is_overloaded = lock(&core.switches).overloaded || !lock(&core.batch).has_capacity();
    match () {
        () if status.draining => Err(unavailable("leaving", "the engine is leaving")),
        () if !status.serves(model) => {
            let message = format!("model \"{model}\" is not loaded");
            Err(unavailable("not_loaded", &message))
        }
        () if is_overloaded => Err(unavailable("overloaded", "too many requests wait")),
        () => Ok(()),
    }
}

fn check_resume_tokens(text_seed: u64, resumed: &[String]) -> Result<(), Refusal> {
    let differs = |(index, token): (usize, &String)| *token != text::token(text_seed, index);
    match resumed.iter().enumerate().position(differs) {
        None => Ok(()),
        Some(index) => {
            let message = format!("resumed token {index} is not what this prompt gives");
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            Err(Refusal::new(status, "resume_mismatch", &message))
        }
    }
}

fn imported_tokens(core: &Core, text_seed: u64, handle: Option<&str>) -> Result<usize, Refusal> {
    let Some(handle) = handle else {
        return Ok(0);
    };
    match lock(&core.transfers).imported(handle) {
        Some(state) if state.text_seed == text_seed => Ok(state.tokens),
        Some(_) => {
            let message = format!("state \"{handle}\" belongs to another prompt");
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            Err(Refusal::new(status, "kv_mismatch", &message))
        }
        None => {
            let message = format!("state \"{handle}\" was not imported");
            Err(Refusal::new(
                StatusCode::NOT_FOUND,
                "unknown_handle",
                &message,
            ))
        }
    }
}

fn queue(core: &Core, valid: ValidRequest) -> mpsc::Receiver<Output> {
    let (output, receiver) = mpsc::channel(CHANNEL_TOKENS);
    let prompt_tokens = blocks::token_count(&valid.prompt);
    let resumed = valid.generation.resume_tokens.len();
    let record = Record {
        request: valid.request.clone(),
        model: valid.generation.model.clone(),
        text_seed: valid.text_seed,
        arrived_ms: core.started.elapsed().as_millis() as u64,
        after_notice_ms: lock(&core.status)
            .reclaim_notice_at
            .map(|at| at.elapsed().as_millis() as u64),
        prompt_tokens,
        resumed_tokens: resumed,
        cached_tokens: 0,
        computed_tokens: 0,
        position: resumed,
        end: None,
    };
    let record = lock(&core.history).push(record);
    let hashes = blocks::hashes(&valid.generation.model, &valid.prompt);
    lock(&core.batch).push(Job {
        request: valid.request,
        record,
        priority: valid.generation.priority,
        arrival: 0,
        text_seed: valid.text_seed,
        blocks: hashes.into(),
        context_tokens: prompt_tokens + resumed,
        imported_tokens: valid.imported_tokens,
        to_compute: (prompt_tokens + resumed) as f64,
        position: resumed,
        length: valid.length.max(resumed),
        usage: Usage {
            prompt: prompt_tokens,
            ..Usage::default()
        },
        output,
    });
    core.work.notify_one();
    receiver
}
