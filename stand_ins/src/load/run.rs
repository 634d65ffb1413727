//! Execution of a plan.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use serde::de::DeserializeOwned;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::mix::Generator;
use super::{Call, Caller, Observation, Plan, Report, Settings};
use crate::web;

const ADMIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Makes the calls of a plan, waits for their outcomes, and checks the records of the stand-ins.
///
/// # Errors
/// Fails when the plan is invalid, or when the records of a stand-in cannot be read.
pub async fn run(plan: &Plan) -> io::Result<Report> {
    plan.check()?;
    let mut report = Report::default();
    let mut calls = start_calls(plan).await;
    while let Some(finished) = calls.join_next().await {
        let (call, observation, direct) = finished.map_err(io::Error::other)?;
        report.add(&call, &observation, direct);
    }
    let mut ledgers = Vec::new();
    for address in &plan.plain_services {
        ledgers.push(read_json(*address, "/admin/ledger").await?);
    }
    report.check_ledgers(&ledgers);
    for address in &plan.engines {
        let records: Vec<_> = read_json(*address, "/admin/history").await?;
        report.check_history(&records);
    }
    Ok(report)
}

type Finished = (Call, Observation, bool);

async fn start_calls(plan: &Plan) -> JoinSet<Finished> {
    let via_entries = Arc::new(Caller::new(plan.caller.clone()));
    let direct = plan.direct.map(|engine| {
        Arc::new(Caller::new(Settings {
            entries: vec![engine],
            bearer: String::new(),
            ..plan.caller.clone()
        }))
    });
    let mut generator = Generator::new(plan.mix, plan.target.clone(), plan.seed);
    let slots = Arc::new(Semaphore::new(plan.max_in_progress));
    let end = Instant::now() + plan.duration;
    let mut due = Instant::now();
    let mut calls = JoinSet::new();
    let mut generations = 0_u64;
    loop {
        due += Duration::from_secs_f64(generator.next_delay(plan.rate));
        if due >= end {
            return calls;
        }
        tokio::time::sleep_until(due).await;
        let call = generator.next_call();
        generations += u64::from(matches!(call, Call::Generate(_)));
        let (caller, is_direct) = match (&direct, &call) {
            (Some(direct), Call::Generate(_)) if generations.is_multiple_of(2) => {
                (direct.clone(), true)
            }
            _ => (via_entries.clone(), false),
        };
        let slots = slots.clone();
        calls.spawn(async move {
            // The semaphore is never closed.
            let _slot = slots.acquire_owned().await;
            let observation = caller.call(&call).await;
            (call, observation, is_direct)
        });
    }
}

async fn read_json<T: DeserializeOwned>(
    address: std::net::SocketAddr,
    path: &str,
) -> io::Result<T> {
    let answer = web::call(address, Method::GET, path, "", ADMIN_TIMEOUT).await?;
    serde_json::from_slice(&answer.body).map_err(io::Error::from)
}
