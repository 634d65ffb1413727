//! Crowds of clients outside the limits at the system's own processes: each process lives, stays within the
//! memory and the descriptors of its machine, and still answers an ordinary request.
//!
//! The checks depend on no speed: no time is checked, and no share of requests that is served.

mod crowd;
mod own;
#[path = "../../platform/tests/crowds/platform.rs"]
mod platform;
mod target;
mod usage;

use std::sync::LazyLock;
use std::time::Duration;

use crowd::Form;
use googletest::prelude::*;
use target::Target;
use tokio::sync::Mutex;

/// Settings of the machines: the smallest memory, and few descriptors.
const SMALL_MACHINE: &str = "[machine]\nmemory-mb = 120\ndescriptors = 1000\n";
/// Memory by which a process may grow. Two processes that grow by this much fit beside the rest of their
/// machine into 160 MB, and one into 120 MB.
const MAX_GROWTH_BYTES: u64 = 48 * 1_024 * 1_024;
/// Descriptors that a process may have open. Machines have twice as many or more.
const MAX_DESCRIPTORS: usize = 512;
/// Largest legal body of a platform's request and of a call on the project's own interface, in bytes.
const LARGEST_BODY: usize = 4 * 1_024 * 1_024;
/// Largest legal body of an operator's request on the project's own interface, in bytes.
const LARGEST_OPERATORS_BODY: usize = 2 * 256 * 1_024 + 4_096;
/// Largest answer of a plain service on the project's own interface, in bytes.
const LARGEST_ANSWER: usize = 16 * 1_024 * 1_024;
/// An answer of a plain service of which few fit in the memory of the smallest machine, in bytes.
const LARGE_ANSWER: usize = 2 * 1_024 * 1_024;
/// Times for which a slow client reads a little of its answer before it stops.
const SLOW_READS: usize = 40;
/// Clients of a crowd with bodies.
const CLIENTS: usize = 80;
/// Clients of a crowd at the operators' interface, whose bodies are smaller.
const OPERATORS_CLIENTS: usize = 240;
/// Connections without a complete head.
const HALF_HEADS: usize = 1_000;
/// Payload of a body in chunks of one byte.
const BYTE_CHUNKS: usize = 1_024 * 1_024;
/// Longest time until an ordinary request is answered; clients try again until then.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Lets tests run one at a time, so that no crowd slows another test's processes.
static ONE_AT_A_TIME: LazyLock<Mutex<()>> = LazyLock::new(Mutex::default);

/// Sends a crowd to a process, and checks that it stays within its machine and still answers.
async fn check(target: &mut dyn Target, clients: usize, form: Form) {
    let pid = target.process().pid();
    target.wait_for_answer(ANSWER_TIMEOUT).await;
    let before = usage::resident_bytes(pid);
    let crowd = crowd::send(target.address(), target.head(), clients, form).await;
    let descriptors = usage::peak_descriptors(pid).await;
    let answered = target.answers_within(ANSWER_TIMEOUT).await;
    let lives = target.process().is_running();
    let growth = usage::peak_resident_bytes(pid).saturating_sub(before);
    drop(crowd);
    println!(
        "{form:?}: grew by {} KiB from {} KiB, {descriptors} descriptors",
        growth / 1_024,
        before / 1_024
    );
    expect_that!(lives.ok(), some(eq(true)), "{}", target.process().log());
    expect_that!(growth, le(MAX_GROWTH_BYTES));
    expect_that!(descriptors, le(MAX_DESCRIPTORS));
    expect_that!(answered, eq(true), "an ordinary request is answered");
}

/// Returns the forms of crowds with bodies, for a process whose largest legal body is `largest`.
fn whole(largest: usize) -> Form {
    Form::Length {
        announced: largest,
        sent: largest - 1,
        piece: largest,
    }
}

fn in_pieces(largest: usize) -> Form {
    Form::Length {
        announced: largest,
        sent: largest - 1,
        piece: 16 * 1_024,
    }
}

fn in_large_chunks(largest: usize) -> Form {
    Form::Chunks {
        sent: largest - 1,
        chunk: 64 * 1_024,
    }
}

fn in_chunks_of_one_byte(largest: usize) -> Form {
    Form::Chunks {
        sent: BYTE_CHUNKS.min(largest - 1),
        chunk: 1,
    }
}

fn announced_beyond_the_limit(largest: usize) -> Form {
    Form::Length {
        announced: 16 * largest,
        sent: 16 * largest,
        piece: largest,
    }
}

fn sent_beyond_the_limit(largest: usize) -> Form {
    Form::Chunks {
        sent: 16 * largest,
        chunk: 64 * 1_024,
    }
}

/// Declares the tests of one kind of process. Each guards against one that runs out of memory or
/// descriptors under a crowd of that form.
macro_rules! crowds {
    ($module:ident, $start:expr, $largest:expr, $clients:expr) => {
        mod $module {
            use super::*;

            crowds!(@ stays_within_bounds_under_whole_bodies_without_an_end, $start, $clients, whole($largest));
            crowds!(@ stays_within_bounds_under_bodies_in_pieces_without_an_end, $start, $clients, in_pieces($largest));
            crowds!(@ stays_within_bounds_under_large_chunks_without_an_end, $start, $clients, in_large_chunks($largest));
            crowds!(@ stays_within_bounds_under_chunks_of_one_byte, $start, $clients, in_chunks_of_one_byte($largest));
            crowds!(@ stays_within_bounds_under_bodies_announced_beyond_the_limit, $start, $clients, announced_beyond_the_limit($largest));
            crowds!(@ stays_within_bounds_under_bodies_sent_beyond_the_limit, $start, $clients, sent_beyond_the_limit($largest));
            crowds!(@ stays_within_bounds_under_heads_without_an_end, $start, HALF_HEADS, Form::HalfHead);
        }
    };
    (@ $name:ident, $start:expr, $clients:expr, $form:expr) => {
        #[googletest::test]
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            let _turn = ONE_AT_A_TIME.lock().await;
            check(&mut $start.await, $clients, $form).await;
        }
    };
}

crowds!(
    entry_of_the_platform_interface,
    platform::Entry::start(),
    LARGEST_BODY,
    CLIENTS
);
crowds!(
    control_process_of_the_platform_interface,
    platform::Control::start(),
    LARGEST_BODY,
    CLIENTS
);
crowds!(
    forwarding_listener_of_the_platform_interface,
    platform::Forwarding::start(),
    LARGEST_BODY,
    CLIENTS
);
crowds!(
    forwarding_listener_under_signed_requests,
    platform::SignedForwarding::start(),
    LARGEST_BODY,
    CLIENTS
);
crowds!(
    entry_of_the_own_interface,
    own::Entry::start(),
    LARGEST_BODY,
    CLIENTS
);
crowds!(
    control_process_of_the_own_interface,
    own::Control::start(),
    LARGEST_OPERATORS_BODY,
    OPERATORS_CLIENTS
);

/// Declares the tests of an entry of the project's own interface whose callers get large answers. Each guards
/// against answers that are held outside the memory budget.
macro_rules! answers {
    ($name:ident, $bytes:expr, $stop_short:expr, $reads:expr) => {
        #[googletest::test]
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            let _turn = ONE_AT_A_TIME.lock().await;
            let answer = own::Answer {
                bytes: $bytes,
                stop_short: $stop_short,
            };
            let form = Form::Unread { reads: $reads };
            check(&mut own::Answers::start(answer).await, CLIENTS, form).await;
        }
    };
}

mod collected_answers_of_the_own_interface {
    use super::*;

    answers!(
        stays_within_bounds_under_callers_that_read_nothing_of_the_largest_answers,
        LARGEST_ANSWER,
        false,
        0
    );
    answers!(
        stays_within_bounds_under_callers_that_read_nothing,
        LARGE_ANSWER,
        false,
        0
    );
    answers!(
        stays_within_bounds_under_callers_that_read_slowly,
        LARGE_ANSWER,
        false,
        SLOW_READS
    );
    answers!(
        stays_within_bounds_under_the_largest_answers_without_an_end,
        LARGEST_ANSWER,
        true,
        0
    );
    answers!(
        stays_within_bounds_under_answers_without_an_end,
        LARGE_ANSWER,
        true,
        0
    );
}

/// Guards against a budget that refuses answers for which there is room.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn passes_on_many_large_answers_in_turn() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let answer = own::Answer {
        bytes: LARGE_ANSWER,
        stop_short: false,
    };
    let own = own::Answers::start(answer).await;
    own.wait_for_answer(ANSWER_TIMEOUT).await;
    for _ in 0..CLIENTS {
        expect_that!(own.read().await, some(eq(LARGE_ANSWER)));
    }
}

/// Guards against a budget that refuses what the limits allow.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn serves_a_body_of_the_largest_legal_size_in_calm() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let platform = platform::Entry::start().await;
    platform.wait_for_answer(ANSWER_TIMEOUT).await;
    expect_that!(platform.status_of_body(LARGEST_BODY).await, some(eq(200)));
    let forwarding = platform::SignedForwarding::start().await;
    forwarding.wait_for_answer(ANSWER_TIMEOUT).await;
    expect_that!(forwarding.status_of_body(LARGEST_BODY).await, some(eq(200)));
    let own = own::Entry::start().await;
    own.wait_for_answer(ANSWER_TIMEOUT).await;
    expect_that!(
        own.status_of_body(LARGEST_BODY).await,
        some(eq(own::CREATED))
    );
}

/// Guards against a reservation that outlives its body: after many large bodies, the last is still served.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn serves_many_bodies_of_the_largest_legal_size_in_turn() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let platform = platform::Entry::start().await;
    platform.wait_for_answer(ANSWER_TIMEOUT).await;
    for _ in 0..CLIENTS {
        expect_that!(platform.status_of_body(LARGEST_BODY).await, some(eq(200)));
    }
}
