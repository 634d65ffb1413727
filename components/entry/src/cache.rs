//! Polls the engines' cache events for the router.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use config::ids::UpstreamId;
use config::text::Kind;
use errors::{Error, Peer, Result, Step};
use fleet::Control;
use futures_util::future::join_all;
use http::Method;
use serde::de::DeserializeOwned;
use upstream::cache::{Contents, Page};

use crate::core::Core;

/// Time between two rounds of polling.
const POLL_PERIOD: Duration = Duration::from_millis(250);
/// Timeout for one request to an engine.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Polls all engines for as long as the process runs.
pub(crate) async fn run<C: Control>(core: Arc<Core<C>>) {
    let mut interval = tokio::time::interval(POLL_PERIOD);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let engines = engines(&core);
        join_all(engines.iter().map(|engine| poll(&core, engine))).await;
    }
}

type Engine = (UpstreamId, SocketAddr);

fn engines<C: Control>(core: &Core<C>) -> Vec<Engine> {
    let view = core.control.view().load();
    let Some(config) = &view.config else {
        return Vec::new();
    };
    let now = Instant::now();
    let serves_models = |name: &str| {
        let service = config.text.services.get(name);
        service.is_some_and(|service| service.kind == Kind::Model)
    };
    view.routes
        .all()
        .filter(|route| route.takes_work(now) && serves_models(&route.announcement.service))
        .map(|route| {
            (
                route.announcement.upstream.clone(),
                route.announcement.address,
            )
        })
        .collect()
}

async fn poll<C: Control>(core: &Core<C>, (upstream, address): &Engine) {
    let after = core.router.last_cache_event(upstream);
    let path = format!("/v1/cache/events?after={after}");
    let polled = async {
        let page: Page = get(core, *address, &path).await?;
        if core.router.apply_cache_events(upstream, &page) {
            let contents: Contents = get(core, *address, "/v1/cache/blocks").await?;
            core.router.replace_cache_contents(upstream, &contents);
        }
        Ok::<(), Error>(())
    };
    if let Err(error) = polled.await {
        tracing::debug!(%upstream, "cache: {error}");
    }
}

async fn get<C: Control, T: DeserializeOwned>(
    core: &Core<C>,
    address: SocketAddr,
    path: &str,
) -> Result<T> {
    let answer = core
        .engine_client
        .fetch(address, Method::GET, path, Bytes::new(), POLL_TIMEOUT)
        .await?;
    serde_json::from_slice(&answer.body)
        .map_err(|error| Error::Other(Step::Decode, Peer::Address(address), error.into()))
}
