//! An entry in this process with fake upstreams.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use config::keys::Secret;
use config::settings::{Entry, Settings};
use config::{Keys, Text};
use fleet::{Control, Standalone};
use serde_json::{Value, json};

use crate::caller::{Answer, PRESS_KEY, call};
use crate::fake::Fake;

const TEXT: &str = r#"
name = "bench"

[data-centres.ipoh]
region = "peninsula"
reclaimable = { price = 1.0 }
on-demand = { price = 3.0 }

[services.assistant]
kind = "model"
models = [{ name = "imposition", version = "1", adapters = ["press-notes"] }]
timeout = "8s"

[services.shop]
kind = "plain"
routes = [{ method = "PUT", path = "/status", idempotent = true }]
timeout = "3s"

[services.dependent]
kind = "plain"
depends-on = ["absent"]

[services.absent]
kind = "plain"

[accounts.press]
requests-per-second = 1000.0
tokens-per-second = 1000000.0
max-in-progress = 500

[accounts.small]
requests-per-second = 2.0
tokens-per-second = 1000.0
max-in-progress = 1
priority = "low"
"#;

/// Secret of the upstreams.
pub(crate) const UPSTREAM_SECRET: &str = "upstream-secret";
/// Secret of the fleet.
pub(crate) const FLEET_SECRET: &str = "fleet-secret";
/// Bearer key of the account `small`.
pub(crate) const SMALL_KEY: &str = "small-key";

/// A running entry.
pub(crate) struct Bench<C: Control = Standalone> {
    pub(crate) entry: entry::Handle<C>,
    pub(crate) address: SocketAddr,
}

/// Returns settings with short timeouts.
pub(crate) fn settings() -> Settings {
    Settings {
        entry: Entry {
            port: 0,
            threads: 2,
            keep_alive: Duration::from_millis(200),
            upstream_silence: Duration::from_millis(400),
            connect_timeout: Duration::from_millis(300),
            body_timeout: Duration::from_millis(500),
            head_timeout: Duration::from_millis(500),
            balancer_lag: Duration::from_millis(300),
            drain_timeout: Duration::from_secs(5),
            max_body_bytes: 64 * 1_024,
            ..Entry::default()
        },
        ..Settings::default()
    }
}

pub(crate) fn keys() -> Keys {
    Keys {
        accounts: [("press", PRESS_KEY), ("small", SMALL_KEY)]
            .map(|(account, key)| (account.into(), vec![Secret::new(key)]))
            .into(),
        fleet: Secret::new(FLEET_SECRET),
        upstreams: Secret::new(UPSTREAM_SECRET),
        ..Keys::default()
    }
}

pub(crate) fn text() -> Text {
    Text::parse(TEXT).expect("the text is valid")
}

impl Bench {
    pub(crate) fn start() -> Bench {
        Bench::start_with(settings(), Standalone::new(text()))
    }
}

impl<C: Control> Bench<C> {
    pub(crate) fn start_with(settings: Settings, control: C) -> Bench<C> {
        let entry = entry::start(settings, keys(), control).expect("the entry starts");
        let address = entry.address;
        Bench { entry, address }
    }

    /// Starts a fake upstream and announces it.
    pub(crate) fn upstream(&self, name: &str, service: &str) -> Fake {
        let fake = Fake::start(name);
        self.announce(&fake, service, 1, json!({"state": "serving"}));
        fake
    }

    /// Starts a fake engine of a software version and announces it.
    pub(crate) fn engine_at(&self, name: &str, software: &str) -> Fake {
        let fake = Fake::start(name);
        let serving = json!({"state": "serving"});
        let mut body = announcement(name, fake.address, "assistant", 1, serving);
        body["software"] = software.into();
        let answer = self.send_announcement(&body.to_string());
        assert_eq!(answer.status, 200, "{}", answer.body);
        fake
    }

    pub(crate) fn announce(&self, fake: &Fake, service: &str, sequence: u64, state: Value) {
        let answer = self.announce_as(&fake.name, fake.address, service, sequence, state);
        assert_eq!(answer.status, 200, "{}", answer.body);
    }

    pub(crate) fn announce_as(
        &self,
        name: &str,
        address: SocketAddr,
        service: &str,
        sequence: u64,
        state: Value,
    ) -> Answer {
        let body = announcement(name, address, service, sequence, state);
        self.send_announcement(&body.to_string())
    }

    /// Signs and sends the body of an announcement.
    pub(crate) fn send_announcement(&self, body: &str) -> Answer {
        let signature = Secret::new(UPSTREAM_SECRET).sign(body.as_bytes());
        let headers = [("chervilloft-signature", signature.as_str())];
        call(self.address, "POST", "/v1/upstreams", &headers, body)
    }

    pub(crate) fn get(&self, path: &str) -> Answer {
        call(self.address, "GET", path, &[], "")
    }

    pub(crate) fn post(&self, path: &str, headers: &[(&str, &str)], body: &str) -> Answer {
        call(self.address, "POST", path, headers, body)
    }

    /// Requests a streamed completion of `tokens` tokens.
    pub(crate) fn stream(&self, prompt: &str, tokens: usize) -> Answer {
        let body = completion(prompt, tokens, true);
        self.post("/v1/completions", &[], &body)
    }

    /// Returns the value of a metric.
    pub(crate) fn metric(&self, name: &str) -> f64 {
        let body = self.get("/metrics").body;
        let line = body.lines().find(|line| line.starts_with(name));
        line.and_then(|line| line.rsplit(' ').next())
            .map_or(f64::NAN, |value| value.parse().unwrap())
    }
}

pub(crate) fn completion(prompt: &str, tokens: usize, stream: bool) -> String {
    json!({"model": "imposition", "prompt": prompt, "max_tokens": tokens, "stream": stream})
        .to_string()
}

/// Returns the text with which the fakes answer a prompt.
pub(crate) fn expected(prompt: &str, tokens: usize) -> String {
    (0..tokens)
        .map(|index| crate::fake::token(prompt, index))
        .collect()
}

pub(crate) fn announcement(
    name: &str,
    address: SocketAddr,
    service: &str,
    sequence: u64,
    state: Value,
) -> Value {
    json!({
        "upstream": name,
        "incarnation": 1,
        "sequence": sequence,
        "service": service,
        "address": address,
        "data_centre": "ipoh",
        "class": "reclaimable",
        "models": [{"model": "imposition", "version": "1", "adapters": ["press-notes"]}],
        "capacity": {"batch": 64},
        "load": {},
        "lease_ms": 30_000,
        "availability": state,
    })
}

/// Waits until `condition` holds, and panics with the name of the `event` after a timeout.
pub(crate) fn eventually(event: &str, condition: impl Fn() -> bool) {
    const TIMEOUT: Duration = Duration::from_secs(60);
    let until = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < until, "{event} did not happen in time");
        thread::sleep(Duration::from_millis(10));
    }
}
