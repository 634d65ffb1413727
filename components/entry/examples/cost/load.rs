//! Callers that measure latency and throughput.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use config::keys::Secret;
use hdrhistogram::Histogram;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{Instant as TokioInstant, MissedTickBehavior, interval, sleep};

use crate::connection::Connection;
use crate::usage::{memory, now_nanos, processor_time};
use crate::{KEY, UPSTREAM_SECRET};

/// Duration of one measurement. Streams run three times as long; processor time and memory are
/// measured in the middle third.
const STEP_DURATION: Duration = Duration::from_secs(5);
/// Connections that exchange non-streaming answers.
const CONNECTIONS: u64 = 16;

pub(crate) async fn run(entry: u16, upstream: u16, pid: u64) {
    announce(entry, upstream, 1).await;
    measure_answers(entry, upstream, pid).await;
    for (number, (streams, pause_ms)) in [(100, 20), (1_000, 200)].into_iter().enumerate() {
        announce(entry, upstream, number + 2).await;
        measure_streams(entry, upstream, pid, streams, pause_ms).await;
    }
}

async fn announce(entry: u16, upstream: u16, sequence: usize) {
    for service in ["assistant", "shop"] {
        let body = json!({
            "upstream": service, "incarnation": 1, "sequence": sequence, "service": service,
            "address": format!("127.0.0.1:{upstream}"), "data_centre": "ipoh",
            "class": "reclaimable", "models": [{"model": "imposition", "version": "1"}],
            "capacity": {"batch": 100_000, "prefill_tokens_per_second": 1e9}, "load": {},
            "lease_ms": 60_000, "availability": {"state": "serving"},
        })
        .to_string();
        let signature = Secret::new(UPSTREAM_SECRET).sign(body.as_bytes());
        let length = body.len();
        let request = format!(
            "POST /v1/upstreams HTTP/1.1\r\nhost: e\r\nchervilloft-signature: {signature}\r\n\
             content-length: {length}\r\n\r\n{body}"
        );
        let mut connection = Connection::connect(entry).await;
        connection
            .send(request.as_bytes())
            .await
            .expect("the request is sent");
        let head = connection.head().await.expect("the process answers");
        assert!(head.line.contains("200"), "{}", head.line);
    }
}

/// Measures non-streaming answers: at the highest rate through the entry, then at half that rate
/// directly and through the entry.
async fn measure_answers(entry: u16, upstream: u16, pid: u64) {
    let before = processor_time(pid);
    let (rate, _) = exchange(entry, "/services/shop/status", None).await;
    let used = (processor_time(pid) - before).as_secs_f64() / STEP_DURATION.as_secs_f64();
    println!(
        "non-streaming answers: {rate:.0} a second on {used:.2} cores, {:.0} per core",
        rate / used
    );
    let half = rate / 2.0;
    let (_, direct) = exchange(upstream, "/status", Some(half)).await;
    let (reached, via_entry) = exchange(entry, "/services/shop/status", Some(half)).await;
    println!("non-streaming answers at half load, {reached:.0} a second:");
    report("  direct", &direct);
    report("  entry", &via_entry);
}

/// Exchanges non-streaming answers at `rate` per second, or as fast as possible.
async fn exchange(port: u16, path: &str, rate: Option<f64>) -> (f64, Histogram<u64>) {
    let request = format!("GET {path} HTTP/1.1\r\nhost: e\r\nauthorization: Bearer {KEY}\r\n\r\n");
    let request: Arc<str> = request.into();
    let until = Instant::now() + STEP_DURATION;
    let mut tasks = JoinSet::new();
    for number in 0..CONNECTIONS {
        let request = request.clone();
        tasks.spawn(async move {
            let mut times = histogram();
            let mut connection = Connection::connect(port).await;
            let pause = rate.map(|rate| Duration::from_secs_f64(CONNECTIONS as f64 / rate));
            let mut pace = pause.map(interval);
            if let (Some(pace), Some(pause)) = (&mut pace, pause) {
                pace.set_missed_tick_behavior(MissedTickBehavior::Delay);
                pace.reset_after(pause.mul_f64(number as f64 / CONNECTIONS as f64));
            }
            while Instant::now() < until {
                if let Some(pace) = &mut pace {
                    pace.tick().await;
                }
                let sent = Instant::now();
                connection
                    .send(request.as_bytes())
                    .await
                    .expect("the request is sent");
                let head = connection.head().await.expect("the process answers");
                assert!(head.line.contains("200"), "{}", head.line);
                connection.body(head.length).await;
                record(&mut times, sent.elapsed());
            }
            times
        });
    }
    let mut all = histogram();
    while let Some(times) = tasks.join_next().await {
        all.add(times.expect("the task does not panic"))
            .expect("the histograms have the same bounds");
    }
    (all.len() as f64 / STEP_DURATION.as_secs_f64(), all)
}

/// Measures streams at a steady pace, directly and through the entry.
async fn measure_streams(entry: u16, upstream: u16, pid: u64, streams: u64, pause_ms: u64) {
    let tokens = STEP_DURATION.as_millis() as u64 * 3 / pause_ms;
    let direct = start_streams(upstream, streams, pause_ms, tokens);
    let direct = collect(direct, None).await;
    let idle = memory(pid);
    let tasks = start_streams(entry, streams, pause_ms, tokens);
    let via_entry = collect(tasks, Some((pid, idle, streams))).await;
    println!("{streams} streams, a token each {pause_ms} ms, time from engine to caller:");
    report("  direct", &direct);
    report("  entry", &via_entry);
}

type Streams = (JoinSet<Histogram<u64>>, Arc<AtomicU64>);

fn start_streams(port: u16, streams: u64, pause_ms: u64, tokens: u64) -> Streams {
    let received = Arc::new(AtomicU64::new(0));
    let mut tasks = JoinSet::new();
    for number in 0..streams {
        let received = received.clone();
        let first = Duration::from_millis(pause_ms * number / streams);
        tasks.spawn(async move {
            sleep(first).await;
            stream(port, pause_ms, tokens, &received).await
        });
    }
    (tasks, received)
}

async fn stream(port: u16, pause_ms: u64, tokens: u64, received: &AtomicU64) -> Histogram<u64> {
    let body = json!({"model": "imposition", "prompt": "Check this job ticket.",
        "max_tokens": tokens, "stream": true, "pause_ms": pause_ms})
    .to_string();
    let length = body.len();
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: e\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {length}\r\n\r\n{body}"
    );
    let mut times = histogram();
    let mut connection = Connection::connect(port).await;
    connection
        .send(request.as_bytes())
        .await
        .expect("the request is sent");
    let mut last = String::new();
    while let Some(line) = connection.line().await {
        last = line.to_owned();
        // The text of each token is ` t` and the time at which the upstream sent it, in nanoseconds
        // since the Unix epoch.
        let token = line
            .split_once("\" t")
            .and_then(|(_, rest)| rest.split_once('"'));
        let sent = token.and_then(|(time, _)| time.parse().ok());
        if let Some(sent) = sent {
            record(
                &mut times,
                Duration::from_nanos(now_nanos().saturating_sub(sent)),
            );
            received.fetch_add(1, Ordering::Relaxed);
        }
        if line.ends_with("[DONE]") {
            break;
        }
    }
    assert_eq!(times.len(), tokens, "tokens are missing after {last}");
    times
}

/// Waits for all streams. `measured` is the entry's process, its idle memory in bytes and the
/// number of streams; the process is measured during the middle third.
async fn collect(
    (mut tasks, received): Streams,
    measured: Option<(u64, u64, u64)>,
) -> Histogram<u64> {
    let start = TokioInstant::now();
    if let Some((pid, idle, streams)) = measured {
        tokio::time::sleep_until(start + STEP_DURATION).await;
        let (before, tokens) = (processor_time(pid), received.load(Ordering::Relaxed));
        tokio::time::sleep_until(start + STEP_DURATION * 2).await;
        let used = (processor_time(pid) - before).as_secs_f64();
        let relayed = (received.load(Ordering::Relaxed) - tokens) as f64;
        let held = memory(pid).saturating_sub(idle) / streams;
        println!(
            "{streams} streams: {:.0} tokens a second on {:.3} cores, {:.1} us per token, \
             {held} bytes per stream",
            relayed / STEP_DURATION.as_secs_f64(),
            used / STEP_DURATION.as_secs_f64(),
            used * 1e6 / relayed,
        );
    }
    let mut all = histogram();
    while let Some(times) = tasks.join_next().await {
        all.add(times.expect("the task does not panic"))
            .expect("the histograms have the same bounds");
    }
    all
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000_000, 3).expect("the bounds are valid")
}

fn record(times: &mut Histogram<u64>, time: Duration) {
    times.saturating_record(u64::try_from(time.as_nanos()).unwrap_or(u64::MAX));
}

fn report(name: &str, times: &Histogram<u64>) {
    let micros = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "{name}: p50 {:.0} us, p99 {:.0} us, {} samples",
        micros(0.5),
        micros(0.99),
        times.len()
    );
}
