//! How long requests may wait for their first event.

use std::sync::Arc;
use std::time::{Duration, Instant};

use config::text::ingress::{Kind, Route};
use gateway::{Call, Prompt, admission};
use googletest::prelude::*;
use http::{HeaderMap, Method, Uri};

fn call(kind: Kind, resume_after: Option<u64>) -> Call {
    let now = Instant::now();
    Call {
        hash: 0,
        id: "id-1".into(),
        method: Method::POST,
        uri: Uri::from_static("/a"),
        headers: HeaderMap::new(),
        body: bytes::Bytes::new(),
        route: Arc::new(Route {
            name: "reports".into(),
            host: "one.example".into(),
            prefix: "/".into(),
            splits: Default::default(),
            kind,
            timeout: Duration::from_secs(12),
            target: Duration::from_secs(1),
            gap: Duration::ZERO,
            rank: 1,
            attempts: 2,
            public: true,
        }),
        version: 1,
        service: "assistant".into(),
        account: None,
        prompt: Some(Prompt::default()),
        fingerprint: 0,
        shared_parts: Vec::new(),
        resume_after,
        resumes: None,
        forwarded_by: None,
        arrived: now,
        deadline: now + Duration::from_secs(12),
    }
}

#[test]
fn never_refuses_to_continue_a_stream_because_its_first_event_would_be_late() {
    let wait = |kind, resume_after| admission::max_wait(&call(kind, resume_after));
    let new = wait(Kind::ResumableStream, None);
    assert_that!(new, lt(Duration::from_secs(12)));
    assert_that!(wait(Kind::ResumableStream, Some(3)), eq(Duration::MAX));
    assert_that!(wait(Kind::ResumableStream, Some(0)), eq(new));
    assert_that!(wait(Kind::Stream, Some(3)), eq(new));
}

/// Guards against urgent requests that wait longest in a full engine and are late.
#[test]
fn bounds_waits_by_the_target_where_services_are_balanced_by_work() {
    let wait = |rank, more_urgent: Option<u64>| {
        let mut call = call(Kind::ResumableStream, None);
        let route = Route {
            rank,
            ..(*call.route).clone()
        };
        call.route = Arc::new(route);
        let wait = admission::max_wait_by_work(&call, more_urgent.map(Duration::from_millis));
        wait.as_millis()
    };
    // The target is 1,000 ms.
    assert_that!(wait(0, None), eq(900));
    assert_that!([wait(1, Some(1_200)), wait(2, Some(1_200))], eq([700, 500]));
    // More urgent requests would be late, and are refused, with the queue that it could wait for.
    assert_that!(wait(1, Some(600)), eq(420));
    // One that has much time may wait for a part of it.
    assert_that!(wait(2, Some(100)), eq(250));
    let taken_up = call(Kind::ResumableStream, Some(3));
    assert_that!(
        admission::max_wait_by_work(&taken_up, None),
        eq(Duration::MAX)
    );
}
