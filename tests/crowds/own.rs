//! Processes of the project's own interface.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use stand_ins::plain::Plain;
use trials::text::{DATA_CENTRES, PLAIN_SERVICE, SUBMIT_PATH};
use trials::upstreams::{read, start_plain, wait_until_reachable};
use trials::{ACCOUNT_KEY, Fleet, OPERATOR_TOKEN, Process, Settings};

use crate::SMALL_MACHINE;
use crate::crowd;
use crate::target::{Answering, Target};

const BINARY: &str = env!("CARGO_BIN_EXE_chervilloft");
/// Status of a call that the upstream ran.
pub(crate) const CREATED: u16 = 201;

fn settings() -> Settings {
    Settings {
        controls: 1,
        entries: 1,
        entry_lines: SMALL_MACHINE.to_owned(),
        control_lines: SMALL_MACHINE.to_owned(),
        ..Settings::new(BINARY)
    }
}

/// An entry before a plain upstream.
pub(crate) struct Entry {
    fleet: Fleet,
    upstream: Plain,
    /// Keys of ordinary requests so far.
    keys: AtomicU64,
}

impl Entry {
    pub(crate) async fn start() -> Entry {
        let fleet = Fleet::start(settings()).await.expect("the fleet starts");
        let upstream = start_plain(&fleet, "jobs-1", DATA_CENTRES[0])
            .await
            .expect("the upstream starts");
        wait_until_reachable(&fleet, &read(1)).await;
        Entry {
            fleet,
            upstream,
            keys: AtomicU64::new(0),
        }
    }

    /// Sends a body of `bytes` bytes, and returns the status of the answer.
    pub(crate) async fn status_of_body(&self, bytes: usize) -> Option<u16> {
        let key = self.keys.fetch_add(1, Ordering::Relaxed);
        let head = format!(
            "POST /services/{PLAIN_SERVICE}{SUBMIT_PATH} HTTP/1.1\r\nhost: one.example\r\n\
             authorization: Bearer {ACCOUNT_KEY}\r\nidempotency-key: key-{key}\r\n"
        );
        crowd::request(self.address(), &head, &vec![b'x'; bytes]).await
    }

    /// Waits until the entry answers an ordinary request.
    pub(crate) async fn wait_for_answer(&self, limit: std::time::Duration) {
        (self as &dyn Target).wait_for_answer(limit).await;
    }
}

impl Target for Entry {
    fn process(&mut self) -> &mut Process {
        &mut self.fleet.entries[0]
    }

    fn address(&self) -> SocketAddr {
        self.fleet.entry_addresses()[0]
    }

    fn head(&self) -> String {
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: one.example\r\n\
             authorization: Bearer {ACCOUNT_KEY}\r\ncontent-type: application/json\r\n"
        )
    }

    fn answers(&self) -> Answering<'_> {
        Box::pin(async { self.status_of_body(64).await == Some(CREATED) })
    }
}

/// Answers that the upstream of [`Answers`] gives to reads.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Answer {
    /// Size, in bytes.
    pub(crate) bytes: usize,
    /// Whether the last byte is never sent.
    pub(crate) stop_short: bool,
}

/// An entry before a plain upstream whose answers to reads are large.
pub(crate) struct Answers(Entry);

impl Answers {
    pub(crate) async fn start(answer: Answer) -> Answers {
        let entry = Entry::start().await;
        entry.upstream.update_switches(|switches| {
            switches.read_bytes = answer.bytes;
            switches.stop_short = answer.stop_short;
        });
        Answers(entry)
    }

    /// Reads an answer, and returns its size if it is complete and a success.
    pub(crate) async fn read(&self) -> Option<usize> {
        crowd::read_answer(self.address(), &self.head()).await
    }

    /// Waits until the entry answers an ordinary request.
    pub(crate) async fn wait_for_answer(&self, limit: std::time::Duration) {
        self.0.wait_for_answer(limit).await;
    }
}

impl Target for Answers {
    fn process(&mut self) -> &mut Process {
        self.0.process()
    }

    fn address(&self) -> SocketAddr {
        self.0.address()
    }

    fn head(&self) -> String {
        format!(
            "GET /services/{PLAIN_SERVICE}/jobs/1 HTTP/1.1\r\nhost: one.example\r\n\
             authorization: Bearer {ACCOUNT_KEY}\r\n"
        )
    }

    /// A small call with a small answer.
    fn answers(&self) -> Answering<'_> {
        self.0.answers()
    }
}

/// A control process at its operators' listener.
pub(crate) struct Control {
    fleet: Fleet,
}

impl Control {
    pub(crate) async fn start() -> Control {
        let fleet = Fleet::start(settings()).await.expect("the fleet starts");
        Control { fleet }
    }
}

impl Target for Control {
    fn process(&mut self) -> &mut Process {
        &mut self.fleet.controls[0]
    }

    fn address(&self) -> SocketAddr {
        self.fleet.operator_addresses()[0]
    }

    fn head(&self) -> String {
        format!(
            "POST /v1/text HTTP/1.1\r\nhost: one.example\r\n\
             authorization: Bearer {OPERATOR_TOKEN}\r\ncontent-type: application/json\r\n"
        )
    }

    /// A submission upon an old version conflicts, which is its complete answer.
    fn answers(&self) -> Answering<'_> {
        Box::pin(async {
            let body = br#"{"base": 0, "id": "late", "text": "name = \"late\""}"#;
            let status = crowd::request(self.address(), &self.head(), body).await;
            status.is_some_and(|status| matches!(status, 200 | 409 | 422))
        })
    }
}
