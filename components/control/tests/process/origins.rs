//! Records of the software versions at which streams began.

use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

use control::{Machine, MemoryReplica, Process, Settings};
use googletest::prelude::*;
use tokio::time::sleep;
use upstream::{Origin, StreamKey};

use crate::single_control::{member, settings, start};

/// Longest wait for an answer.
const LIMIT: Duration = Duration::from_secs(20);

fn origin(request: &str) -> Origin {
    Origin {
        key: StreamKey::new("press", request),
        software: "v1.1".into(),
    }
}

async fn control_in(folder: &Path) -> Process<MemoryReplica> {
    let settings = Settings {
        origins_folder: Some(folder.to_owned()),
        ..settings()
    };
    start(settings, Machine::default()).await
}

/// Returns the size of all files in a folder.
fn size(folder: &Path) -> u64 {
    let entries = fs::read_dir(folder).expect("the folder exists");
    let files = entries.map(|entry| entry.expect("a file").metadata().expect("metadata").len());
    files.sum()
}

/// Records `requests` at a control process and returns once they are written.
async fn record(folder: &Path, requests: &[&str]) {
    let process = control_in(folder).await;
    let entry = member("entry-1", process.peer_address);
    let started = Instant::now();
    for request in requests {
        while !entry.record_origin(origin(request), LIMIT).await {
            assert_that!(started.elapsed(), lt(LIMIT));
            sleep(Duration::from_millis(5)).await;
        }
    }
    let mut before = 0;
    while before == 0 || size(folder) != before {
        assert_that!(started.elapsed(), lt(LIMIT));
        before = size(folder);
        sleep(Duration::from_millis(300)).await;
    }
    entry.stop();
}

/// Returns the version that another entry finds after a restart of the control process.
async fn find(folder: &Path, request: &str) -> Option<String> {
    let process = control_in(folder).await;
    let entry = member("entry-2", process.peer_address);
    let started = Instant::now();
    while !entry.record_origin(origin("connected"), LIMIT).await {
        assert_that!(started.elapsed(), lt(LIMIT));
        sleep(Duration::from_millis(5)).await;
    }
    let found = entry.find_origin(&origin(request).key, LIMIT).await;
    found.map(|software| software.to_string())
}

#[tokio::test(flavor = "multi_thread")]
async fn outlast_a_restart_of_all_control_processes() {
    let folder = tempfile::tempdir().expect("a folder");
    record(folder.path(), &["id-1", "id-2"]).await;
    for request in ["id-1", "id-2"] {
        assert_that!(find(folder.path(), request).await, some(eq("v1.1")));
    }
    assert_that!(find(folder.path(), "id-3").await, none());
}

#[tokio::test(flavor = "multi_thread")]
async fn are_left_out_when_they_are_damaged() {
    let folder = tempfile::tempdir().expect("a folder");
    record(folder.path(), &["id-1", "id-2"]).await;
    let file = folder.path().join("origins-1");
    let written = fs::read_to_string(&file).expect("the file exists");
    let damaged = written.replace("v1.1", "v1.2");
    let intact = written.lines().next().expect("a record");
    fs::write(&file, format!("{intact}\n{damaged}\u{0}torn")).expect("the file is replaced");
    assert_that!(find(folder.path(), "id-1").await, some(eq("v1.1")));
    assert_that!(find(folder.path(), "id-2").await, none());
}
