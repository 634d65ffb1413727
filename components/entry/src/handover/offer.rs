//! Offers a request to other entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use bytes::Bytes;
use config::ids::DataCentreId;
use config::keys::Secret;
use errors::{Error, Peer, Result, Step};
use fleet::View;
use http::{Method, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use tokio::time::timeout;
use upstream::{Route, Routes, SIGNATURE_HEADER};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{ENTRIES, PATH, Record, Successor, TakeOver, presence};
use crate::dispatch::Client;

/// Largest number of entries to which a request is offered, one after the other.
const MAX_OFFERS: usize = 3;
/// Largest text of a refusal that is read, in bytes.
const MAX_ERROR_BYTES: usize = 16 * 1_024;
/// Timeout for the response to an offer.
const OFFER_TIMEOUT: Duration = Duration::from_secs(1);

/// The other entries of the fleet.
#[derive(Clone)]
pub(crate) struct Peers {
    /// The known state of the fleet.
    pub view: Arc<ArcSwap<View>>,
    /// Name of this entry.
    pub node: compact_str::CompactString,
    /// Data centre of this entry.
    pub data_centre: DataCentreId,
    /// Secret of the fleet, which signs the offers.
    pub secret: Secret,
    /// Client for the offers.
    pub client: Client,
}

impl Successor for Peers {
    fn take_over(&self, record: Record) -> TakeOver {
        let peers = self.clone();
        Box::pin(async move { peers.offer(&record).await })
    }
}

impl Peers {
    async fn offer(&self, record: &Record) -> Option<SocketAddr> {
        let view = self.view.load_full();
        let ranked = rank_entries(
            &view.routes,
            &record.account,
            record.key(),
            &self.data_centre,
        );
        let own = presence::name(&self.node);
        let others = ranked
            .iter()
            .filter(|route| route.announcement.upstream != own);
        for route in others.take(MAX_OFFERS) {
            let peer = &route.announcement.upstream;
            match timeout(
                OFFER_TIMEOUT,
                self.offer_to(route.announcement.address, record),
            )
            .await
            {
                Ok(Ok(())) => {
                    tracing::info!(request = %record.request, to = %peer, tokens = record.tokens.len(), "request: handed over");
                    return Some(route.announcement.address);
                }
                Ok(Err(error)) => {
                    tracing::warn!(request = %record.request, to = %peer, "request: not handed over: {error}");
                }
                Err(_) => {
                    tracing::warn!(request = %record.request, to = %peer, "request: not handed over: no answer in time");
                }
            }
        }
        tracing::warn!(request = %record.request, "request: no entry took it over");
        None
    }

    async fn offer_to(&self, address: SocketAddr, record: &Record) -> Result<()> {
        let peer = || Peer::Address(address);
        let mut body = Vec::new();
        ciborium::into_writer(record, &mut body)
            .map_err(|error| Error::Other(Step::Encode, peer(), Box::new(error)))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{PATH}"))
            .header(SIGNATURE_HEADER, self.secret.sign(&body))
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| Error::Other(Step::Encode, peer(), Box::new(error)))?;
        let response = self.client.send(address, request).await?;
        match response.status() {
            StatusCode::OK => Ok(()),
            status => {
                let body = Limited::new(response.into_body(), MAX_ERROR_BYTES);
                let body = body.collect().await;
                let body = body
                    .map(http_body_util::Collected::to_bytes)
                    .unwrap_or_default();
                let message = format!("status {status}: {}", String::from_utf8_lossy(&body));
                Err(Error::Protocol(Step::Receive, peer(), message))
            }
        }
    }
}

/// Returns the entries that accept work, ordered by a hash of account, key and entry. Every entry
/// computes the same order, except that the entries of `data_centre` come last.
pub(super) fn rank_entries<'r>(
    routes: &'r Routes,
    account: &str,
    key: &str,
    data_centre: &str,
) -> Vec<&'r Route> {
    let now = Instant::now();
    let seed = xxh3_64_with_seed(key.as_bytes(), xxh3_64_with_seed(account.as_bytes(), 0));
    let rank = |route: &&Route| {
        let announcement = &route.announcement;
        let is_local = announcement.data_centre == data_centre;
        (
            is_local,
            xxh3_64_with_seed(announcement.upstream.as_bytes(), seed),
        )
    };
    let mut entries: Vec<&Route> = routes
        .for_service(ENTRIES)
        .filter(|route| route.takes_work(now))
        .collect();
    entries.sort_by_key(rank);
    entries
}
