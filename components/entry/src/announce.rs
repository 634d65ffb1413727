//! `POST /v1/upstreams`: an upstream joins, renews its lease or leaves.

use std::time::Instant;

use bytes::Bytes;
use compact_str::format_compact;
use fleet::Control;
use http::{HeaderMap, StatusCode};
use upstream::{Announcement, Object, Route, SIGNATURE_HEADER};

use crate::core::Core;
use crate::failure::{Failure, Kind};
use crate::reply::Reply;

/// Longest lease that an upstream may request, in milliseconds.
const MAX_LEASE_MS: u64 = 60_000;
/// Announcements that an upstream is told to send within one lease.
const RENEWALS_PER_LEASE: u64 = 3;

/// Accepts an announcement, and replies when to renew it.
///
/// # Errors
/// If the announcement is forged, malformed or outdated, its lease is too long or its service is
/// unknown.
pub(crate) async fn accept<C: Control>(
    core: &Core<C>,
    headers: &HeaderMap,
    body: &Bytes,
) -> Result<Reply, Failure> {
    let signature = headers
        .get(SIGNATURE_HEADER)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("");
    if !core.keys.upstreams.verify(body, signature) {
        let message = "the signature does not fit the body and the upstreams' secret";
        return Err(Failure::new(Kind::Unauthorized, message));
    }
    let Object(announcement): Object<Announcement> =
        serde_json::from_slice(body).map_err(|error| {
            let message = format_compact!("the body is not an announcement: {error}");
            Failure::new(Kind::Invalid, message)
        })?;
    check(core, &announcement)?;
    let renew_ms = (announcement.lease_ms / RENEWALS_PER_LEASE).max(1);
    tracing::debug!(
        upstream = %announcement.upstream,
        service = %announcement.service,
        sequence = announcement.sequence,
        "upstream: announced"
    );
    let announced = core.control.announce(announcement).await;
    crate::sync::update(core);
    announced.map_err(|error| {
        let message = format_compact!("announce it to another entry: {error}");
        Failure::new(Kind::Unavailable, message)
    })?;
    Ok(Reply::json(
        StatusCode::OK,
        format!("{{\"renew_ms\":{renew_ms}}}"),
    ))
}

fn check<C: Control>(core: &Core<C>, announcement: &Announcement) -> Result<(), Failure> {
    let config = core.config()?;
    let service = announcement.service.as_str();
    if !config.text.services.contains_key(service) {
        let message = format_compact!("service \"{service}\" does not exist in the text in force");
        return Err(Failure::new(Kind::NotFound, message));
    }
    if !(1..=MAX_LEASE_MS).contains(&announcement.lease_ms) {
        let message = format_compact!("field \"lease_ms\" must be 1 to {MAX_LEASE_MS}");
        return Err(Failure::new(Kind::Invalid, message));
    }
    if let Some(reason) = announcement.fault() {
        return Err(Failure::new(Kind::Invalid, reason));
    }
    let now = Instant::now();
    let routes = core.control.view().load().routes.clone();
    let is_known = |route: &&Route| route.announcement.upstream == announcement.upstream;
    let known = routes.all().filter(is_known);
    let conflict = known
        .filter(|route| route.takes_work(now))
        .find_map(|route| announcement.conflict_with(&route.announcement));
    if let Some(conflict) = conflict {
        return Err(Failure::new(Kind::Conflict, format_compact!("{conflict}")));
    }
    let order = |a: &Announcement| (a.incarnation, a.sequence);
    let known = routes
        .for_service(service)
        .find(is_known)
        .map(|route| order(&route.announcement));
    match known {
        Some(known) if known >= order(announcement) => {
            let message = format_compact!(
                "upstream \"{}\" has announced number {} before",
                announcement.upstream,
                known.1
            );
            Err(Failure::new(Kind::Conflict, message))
        }
        _ => Ok(()),
    }
}
