//! `chervilloft explain-route` asks an entry with a control process, in this process and on loopback.

#[path = "../platform/tests/explain_route/processes.rs"]
mod processes;

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::process::{Command, Output};
use std::sync::Arc;
use std::time::Duration;

use config::settings::Retries;
use config::text::Balance;
use control::{MemoryReplica, Process};
use gateway::Gateway;
use googletest::prelude::*;
use platform::CallerProtocol;
use serde_json::{Value, json};
use trials::wait_until_within;

const BINARY: &str = env!("CARGO_BIN_EXE_chervilloft");
/// Longest wait until the entry knows the text and the upstream.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// An entry that knows one upstream.
struct Fixture {
    metrics: SocketAddr,
    /// The upstream, which accepts no connection.
    upstream: TcpListener,
    gateway: Gateway,
    _process: Process<MemoryReplica>,
}

impl Fixture {
    async fn start() -> Fixture {
        let upstream = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        upstream.set_nonblocking(true).unwrap();
        let process = processes::control(upstream.local_addr().unwrap()).await;
        let loopback = trials::Address::next();
        let ports = loopback.ports(3).unwrap();
        let at = |index: usize| SocketAddr::new(loopback.ip(), ports[index]);
        let settings = settings(at(0), at(1), at(2));
        let member = processes::member(&process);
        let gateway = Gateway::start(settings, Arc::new(CallerProtocol), member).unwrap();
        let fixture = Fixture {
            metrics: at(2),
            upstream,
            gateway,
            _process: process,
        };
        let knows = || async { fixture.gateway.upstream_count() == 1 };
        assert!(wait_until_within(START_TIMEOUT, knows).await);
        let decides = || async {
            let output = fixture.run(&["--service", "plain", "--format", "json"]);
            output.await["version"] == 7
        };
        assert!(wait_until_within(START_TIMEOUT, decides).await);
        fixture
    }

    /// Runs the command, and returns what it prints as JSON.
    async fn run(&self, arguments: &[&str]) -> Value {
        let output = explain_route(self.metrics, arguments).await;
        serde_json::from_slice(&output.stdout).unwrap_or_default()
    }
}

fn settings(listen: SocketAddr, ready: SocketAddr, metrics: SocketAddr) -> gateway::Settings {
    gateway::Settings {
        node: "entry-1".into(),
        data_centre: "north".into(),
        listen,
        ready,
        metrics: Some(metrics),
        forwarding: None,
        retries: Retries::default(),
        usage_window: Duration::from_secs(5),
        balancer_lag: Duration::from_millis(100),
        balance: Balance::Auto,
        drain_timeout: Duration::from_secs(60),
        budget_bytes: 20_000_000,
        max_connections: 100,
        max_forwarded_connections: 100,
        network: Arc::new(gateway::Tcp),
    }
}

async fn explain_route(entry: SocketAddr, arguments: &[&str]) -> Output {
    let mut command = Command::new(BINARY);
    command.args(["explain-route", "--entry", &entry.to_string()]);
    command.args(arguments);
    let run = tokio::task::spawn_blocking(move || command.output());
    run.await.unwrap().unwrap()
}

/// Guards against a command that sends the request, or shows another decision than the entry's.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn shows_where_a_request_would_go_and_sends_nothing() {
    let fixture = Fixture::start().await;
    let request = [
        "--host",
        "one.example",
        "--path",
        "/safe/a",
        "--account",
        "shop",
    ];
    let arguments = [&request[..], &["--id", "id-1", "--format", "json"]].concat();
    let answer = fixture.run(&arguments).await;
    expect_that!(answer["entry"], eq(&json!("entry-1")));
    expect_that!(answer["subject"]["route"], eq(&json!("safe")));
    expect_that!(answer["subject"]["id"], eq(&json!("id-1")));
    expect_that!(answer["course"]["outcome"], eq(&json!("sent")));
    expect_that!(answer["course"]["upstream"], eq(&json!("u-0")));
    expect_that!(answer["candidates"][0]["upstream"], eq(&json!("u-0")));
    let output = explain_route(fixture.metrics, &request).await;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    println!("{text}");
    expect_that!(output.status.code(), some(eq(0)));
    for part in [
        "route safe, service plain, account shop, rank",
        "course:   sent to u-0 at",
        "candidates: 1, balanced by requests",
        "1. u-0 in north, group 1: score",
        "left out: 0",
    ] {
        expect_that!(text, contains_substring(part));
    }
    let accepted = fixture.upstream.accept().map(drop);
    expect_that!(
        accepted.map_err(|e| e.kind()),
        err(eq(ErrorKind::WouldBlock))
    );
}

/// Guards against a refusal that looks like a failure of the command.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn shows_the_refusal_that_the_caller_would_get() {
    let fixture = Fixture::start().await;
    let service = [
        "--service",
        "plain",
        "--account",
        "shop",
        "--excluded",
        "u-0",
    ];
    let output = explain_route(fixture.metrics, &service).await;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    println!("{text}");
    expect_that!(output.status.code(), some(eq(0)));
    let refused = "refused: no-upstream, status 503, Retry-After 0.500";
    expect_that!(text, contains_substring(refused));
    expect_that!(text, contains_substring("u-0: excluded"));
}
