//! A text, announcements and requests for tests.

use std::time::{Duration, Instant};

use config::Text;
use routing::Request;
use upstream::blocks::BlockHash;
use upstream::{Announcement, Availability, Capacity, Load, Role, Routes, Served};

pub(crate) const TEXT: &str = r#"
name = "cetak"
[data-centres.ipoh]
region = "peninsula"
reclaimable = { price = 1.0 }
on-demand = { price = 3.0 }
[data-centres.penang]
region = "peninsula"
reclaimable = { price = 1.2 }
on-demand = { price = 3.0 }
[services.assistant]
kind = "model"
models = [{ name = "plate", version = "2", adapters = ["plate-ms"] }]
[services.jobs]
kind = "plain"
depends-on = ["store"]
[services.store]
kind = "plain"
[accounts.shops]
"#;

pub(crate) fn text() -> Text {
    Text::parse(TEXT).expect("the text parses")
}

/// Returns the announcement of an idle engine; even numbers are in ipoh, odd ones in penang.
pub(crate) fn engine(n: usize) -> Announcement {
    Announcement {
        upstream: format!("engine-{n}").into(),
        incarnation: 1,
        sequence: 1,
        service: "assistant".into(),
        address: ([127, 0, 0, 1], 9_000 + n as u16).into(),
        data_centre: if n.is_multiple_of(2) {
            "ipoh"
        } else {
            "penang"
        }
        .into(),
        class: config::text::Class::Reclaimable,
        role: Role::Both,
        models: vec![Served {
            model: "plate".into(),
            version: "2".into(),
            adapters: vec!["plate-ms".into()],
        }],
        capacity: Capacity::default(),
        load: Load::default(),
        lease_ms: 3_000,
        availability: Availability::Serving,
        fence: 0,
        software: Default::default(),
    }
}

pub(crate) fn routes(
    announcements: impl IntoIterator<Item = Announcement>,
    now: Instant,
) -> Routes {
    let mut routes = Routes::default();
    for announcement in announcements {
        let lease = Duration::from_millis(announcement.lease_ms);
        routes.insert(announcement, now, now + lease);
    }
    routes
}

/// Returns the block hashes of a prompt: `shared` blocks that all prompts with the same `prefix`
/// have, then `own` blocks that only prompts with the same `tail` have.
pub(crate) fn blocks(prefix: u64, shared: u64, tail: u64, own: u64) -> Vec<BlockHash> {
    let mix = |n: u64| n.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let shared = (0..shared).map(|n| mix(prefix << 20 | n));
    let own = (0..own).map(|n| mix(1 << 50 | tail << 20 | n));
    shared.chain(own).collect()
}

pub(crate) fn request(blocks: &[BlockHash]) -> Request<'_> {
    Request {
        service: "assistant",
        model: "plate",
        blocks,
        prompt_tokens: blocks.len() * 16,
        max_tokens: 128,
        ..Request::default()
    }
}
