//! Orders to engines and to the cloud API.

mod leader;
mod placer;

use std::sync::Arc;
use std::time::{Duration, Instant};

use control::orders::{Call, Outcome, exchange};
use control::{MemoryReplica, Node};
use googletest::prelude::*;
use http::Method;
use serde_json::json;
use stand_ins::engine::{self, Engine, Fencing};
use state::order::{Action, Order, Setting};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;
use upstream::Served;

use leader::{any_port, leader, wait_until_orders_are_allowed};

fn served(version: &str) -> Served {
    Served {
        model: "assistant".into(),
        version: version.into(),
        adapters: Vec::new(),
    }
}

async fn engine(fencing: Fencing) -> Engine {
    let settings = engine::Settings {
        fencing,
        ..engine::Settings::default()
    };
    Engine::start(settings).await.expect("an engine starts")
}

fn load(engine: &Engine, version: &str) -> Order {
    Order {
        action: Action::Engine {
            upstream: "engine-1".into(),
            address: engine.address(),
            set: Setting::Load(served(version)),
        },
        reason: "test".into(),
    }
}

fn call(address: std::net::SocketAddr, fence: u64, version: &str) -> Call {
    Call {
        address,
        method: Method::POST,
        path: "/v1/orders".to_owned(),
        headers: Vec::new(),
        body: Some(json!({ "fence": fence, "order": { "load": served(version) } })),
        timeout: Duration::from_secs(5),
    }
}

fn recorded_orders(node: &Arc<Node<MemoryReplica>>) -> usize {
    node.machine().read().orders().iter().count()
}

#[tokio::test(flavor = "multi_thread")]
async fn are_recorded_and_accepted_by_engines_of_both_kinds() {
    let process = leader(None);
    wait_until_orders_are_allowed(&process).await;
    for fencing in [Fencing::Checked, Fencing::Ignored] {
        let engine = engine(fencing).await;
        let first = process.node.issue(load(&engine, "2")).await;
        let second = process.node.issue(load(&engine, "3")).await;
        assert_that!(first, matches_pattern!(Outcome::Accepted(_)));
        assert_that!(second, matches_pattern!(Outcome::Accepted(_)));
        assert_that!(engine.models(), elements_are![eq(&served("3"))]);
    }
    assert_that!(recorded_orders(&process.node), eq(4));
}

#[tokio::test(flavor = "multi_thread")]
async fn are_refused_by_an_engine_that_saw_a_later_leader() {
    let process = leader(None);
    wait_until_orders_are_allowed(&process).await;
    let engine = engine(Fencing::Checked).await;
    let later = exchange(&call(engine.address(), u64::MAX, "9"), || true).await;
    assert_that!(later, ok(anything()));
    let outcome = process.node.issue(load(&engine, "2")).await;
    assert_that!(outcome, matches_pattern!(Outcome::Refused(eq(&409), _)));
    assert_that!(engine.models(), elements_are![eq(&served("9"))]);
}

#[tokio::test(flavor = "multi_thread")]
async fn are_not_issued_before_the_wait_after_a_take_over_ends() {
    let process = leader(None);
    wait_until_orders_are_allowed(&process).await;
    process.node.replica().set_leader(false);
    process.node.replica().set_leader(true);
    let began = Instant::now();
    let engine = engine(Fencing::Ignored).await;
    let outcome = process.node.issue(load(&engine, "2")).await;
    assert_that!(outcome, matches_pattern!(Outcome::Unsent(_)));
    assert_that!(recorded_orders(&process.node), eq(0));

    wait_until_orders_are_allowed(&process).await;
    let lease_and_call = leader::LEASE + control::orders::CALL_TIMEOUT;
    assert_that!(began.elapsed(), gt(lease_and_call));
    let outcome = process.node.issue(load(&engine, "2")).await;
    assert_that!(outcome, matches_pattern!(Outcome::Accepted(_)));
}

#[tokio::test]
async fn are_not_written_once_leadership_is_lost() {
    let listener = TcpListener::bind(any_port()).await.expect("it listens");
    let address = listener.local_addr().expect("it has an address");
    // Leadership is lost between the check after connecting and the first write.
    let checks = std::sync::atomic::AtomicUsize::new(0);
    let may_write = move || checks.fetch_add(1, std::sync::atomic::Ordering::Relaxed) == 0;
    let reading = async {
        let (mut stream, _) = listener.accept().await.expect("a connection arrives");
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes).await;
        bytes
    };
    let order = call(address, 1, "2");
    let (sent, bytes) = tokio::join!(exchange(&order, may_write), reading);
    assert_that!(sent, err(anything()));
    assert_that!(bytes, is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn are_unknown_when_the_engine_does_not_answer() {
    let process = leader(None);
    wait_until_orders_are_allowed(&process).await;
    let engine = engine(Fencing::Ignored).await;
    engine.lifecycle().freeze();
    let outcome = process.node.issue(load(&engine, "2")).await;
    assert_that!(outcome, matches_pattern!(Outcome::Unknown(_)));
    engine.lifecycle().thaw();
    // Whether or not the first order was executed, the same order sets the same state.
    sleep(Duration::from_millis(50)).await;
    let outcome = process.node.issue(load(&engine, "2")).await;
    assert_that!(outcome, matches_pattern!(Outcome::Accepted(_)));
    assert_that!(engine.models(), elements_are![eq(&served("2"))]);
}

/// Accepts one connection and sends `answer`, and `more` after it until the connection is closed.
async fn answer_once(answer: &'static str, more: &'static [u8]) -> std::net::SocketAddr {
    let listener = TcpListener::bind(any_port()).await.expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 4_096]).await;
        let mut sent = stream.write_all(answer.as_bytes()).await;
        while sent.is_ok() && !more.is_empty() {
            sent = stream.write_all(more).await;
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn never_take_an_answer_that_was_broken_off_for_a_complete_one() {
    let answers = [
        ("content-length: 9\r\n\r\n{\"a\":[1]}", true),
        ("content-length: 9\r\n\r\n{\"a\":[1", false),
        (
            "transfer-encoding: chunked\r\n\r\n9\r\n{\"a\":[1]}\r\n0\r\n\r\n",
            true,
        ),
        (
            "transfer-encoding: chunked\r\n\r\n7\r\n{\"a\":[1\r\n",
            false,
        ),
        ("connection: close\r\n\r\n{\"a\":[1]}", true),
        ("connection: close\r\n\r\n{\"a\":[1", false),
        (
            "connection: close\r\n\r\n{\"a\":[1]}HTTP/1.1 200 X\r\n",
            false,
        ),
    ];
    for (answer, is_complete) in answers {
        let answer = format!("HTTP/1.1 200 OK\r\n{answer}");
        let address = answer_once(answer.leak(), b"").await;
        let answer = exchange(&call(address, 1, "2"), || true).await;
        match is_complete {
            true => assert_that!(answer.expect("an answer").1, eq(&json!({"a": [1]}))),
            false => assert_that!(answer.map(|(status, _)| status), err(anything())),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn never_wait_for_the_end_of_bytes_without_end() {
    for head in ["HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nx-more: "] {
        let address = answer_once(head, &[b'x'; 64 * 1_024]).await;
        let started = Instant::now();
        let answer = exchange(&call(address, 1, "2"), || true).await;
        assert_that!(answer.map(|(status, _)| status), err(anything()));
        assert_that!(started.elapsed(), lt(Duration::from_secs(10)));
    }
}
