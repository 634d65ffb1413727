//! Texts with many routes, and a parser that takes as long as a small instance does.

use std::thread::sleep;
use std::time::Duration;

use config::Text;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Time that a parser takes for a kilobyte on an instance with 0.12 cores.
const ENTRY_PARSE_TIME_PER_KB: Duration = Duration::from_micros(80);
/// The same on a control instance, which has 0.32 cores.
const CONTROL_PARSE_TIME_PER_KB: Duration = Duration::from_micros(30);
/// Time that operators allow for each route.
const READ_TIME_PER_ROUTE: Duration = Duration::from_millis(3);

/// A text in JSON, as operators submit it.
#[derive(Clone, Debug)]
pub(crate) struct Document {
    pub(crate) version: u64,
    routes: Vec<String>,
    timeout_ms: u64,
}

impl Document {
    pub(crate) fn new(version: u64, routes: usize) -> Self {
        let empty = Document {
            version,
            routes: Vec::new(),
            timeout_ms: 12_000,
        };
        empty.with_more_routes(version, routes)
    }

    /// Returns the text with further routes.
    pub(crate) fn with_more_routes(&self, version: u64, count: usize) -> Self {
        let mut random = StdRng::seed_from_u64(version);
        let mut routes = self.routes.clone();
        routes.extend((0..count).map(|_| route(&mut random)));
        Document {
            version,
            routes,
            ..self.clone()
        }
    }

    /// Returns the text with another timeout of the first routes.
    pub(crate) fn with_other_timeouts(&self, version: u64) -> Self {
        Document {
            version,
            timeout_ms: self.timeout_ms + version,
            ..self.clone()
        }
    }

    /// Returns the time that operators allow for reading the text.
    pub(crate) fn time_to_read(&self) -> Duration {
        READ_TIME_PER_ROUTE * u32::try_from(self.routes.len()).unwrap_or(u32::MAX)
    }

    /// Returns the text as it is submitted.
    pub(crate) fn source(&self) -> String {
        let routes: Vec<String> = self
            .routes
            .iter()
            .enumerate()
            .map(|(index, route)| {
                let timeout = match index {
                    0..10 => self.timeout_ms,
                    _ => 12_000,
                };
                format!("{{{route},\"timeout_ms\":{timeout}}}")
            })
            .collect();
        format!(
            "{{\"version\":{},\"routes\":[{}],\"services\":[]}}",
            self.version,
            routes.join(",")
        )
    }
}

/// Returns a route of the usual size, without its timeout.
fn route(random: &mut StdRng) -> String {
    let mut name = |length: usize| -> String {
        let letter = |_| char::from(random.random_range(b'a'..=b'z'));
        (0..length).map(letter).collect()
    };
    format!(
        "\"name\":\"r-{}\",\"host\":\"{}.example\",\"prefix-of-the-path\":\"/{}/\",\
         \"kind\":\"resumable-stream\",\"target-ms\":1200,\"longest-gap-ms\":800,\"rank\":0,\
         \"splits\":[{{\"service\":\"reviews-2026\",\"weight\":90}},\
         {{\"service\":\"reviews-2027\",\"weight\":10}}],\
         \"attempts-at-most\":2,\"public\":false,\"keeps-to-home-engine\":true",
        name(7),
        name(6),
        name(8)
    )
}

/// Parses a text at an entry: returns one that is named after its version.
pub(crate) fn parse_at_entry(source: &str) -> Result<Text, String> {
    parse(source, ENTRY_PARSE_TIME_PER_KB)
}

/// Parses a text at a control process.
pub(crate) fn parse_at_control(source: &str) -> Result<Text, String> {
    parse(source, CONTROL_PARSE_TIME_PER_KB)
}

fn parse(source: &str, time_per_kb: Duration) -> Result<Text, String> {
    let kilobytes = u32::try_from(source.len() / 1_024).unwrap_or(u32::MAX);
    sleep(time_per_kb * kilobytes);
    let version = source.split([':', ',']).nth(1);
    Ok(Text {
        name: version.ok_or("the text has no version")?.to_owned(),
        ..Text::default()
    })
}
