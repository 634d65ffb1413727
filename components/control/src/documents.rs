//! The JSON documents that operators read.

use std::time::Instant;

use consensus::Margin;
use serde_json::{Value, json};
use state::State;
use upstream::{Announcement, Availability};
use wire::Query;

use crate::leases::Leases;
use crate::replica::Status;

/// Milliseconds in an hour.
const MS_PER_HOUR: f64 = 3_600_000.0;
/// Micro-units in one currency unit.
const MICROS_PER_UNIT: f64 = 1_000_000.0;

/// Returns the document that answers `query`.
pub(crate) fn document(
    query: Query,
    state: &State,
    status: &Status,
    leases: &Leases,
    upstreams: &[Announcement],
) -> Value {
    match query {
        Query::Text | Query::Source => text_document(state),
        Query::Status => status_document(state, status, leases, upstreams),
        Query::Unknowns => json!({ "unknowns": state.claims().unknowns().collect::<Vec<_>>() }),
        Query::Ledger => ledger_document(state),
        Query::Rollouts => json!(state.rollouts()),
        Query::Orders => json!({ "orders": state.orders().iter().collect::<Vec<_>>() }),
    }
}

fn text_document(state: &State) -> Value {
    let newest = state.texts().newest();
    match state.texts().revision(newest) {
        Some(revision) => json!({
            "version": revision.version,
            "operator": revision.operator,
            "at_ms": revision.at,
            "source": &*revision.source,
        }),
        None => json!({ "version": 0, "source": "" }),
    }
}

fn status_document(
    state: &State,
    status: &Status,
    leases: &Leases,
    upstreams: &[Announcement],
) -> Value {
    let now = Instant::now();
    let entry = |(entry, lease): (&config::ids::NodeId, &crate::leases::Lease)| {
        let remaining = lease.expires_at.saturating_duration_since(now);
        json!({
            "entry": entry,
            "version": lease.version,
            "lease_ms": u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        })
    };
    json!({
        "quorum": status.leads_until.is_some_and(|until| now < until),
        "leader": status.leader,
        "term": status.term,
        "last_index": status.last_index,
        "commit_index": status.commit_index,
        "voters": status.voters,
        "learners": status.learners,
        "margin": status.margin.as_ref().map(margin_document),
        "version": state.texts().newest(),
        "claims": state.claims().len(),
        "unknowns": state.claims().unknowns().count(),
        "entries": leases.iter().map(entry).collect::<Vec<_>>(),
        "upstreams": upstreams.iter().map(upstream_document).collect::<Vec<_>>(),
    })
}

fn margin_document(margin: &Margin) -> Value {
    let missing = margin.missing.iter().map(|voter| &voter.node);
    json!({
        "tolerated_losses": margin.tolerated,
        "full": margin.full,
        "missing": missing.collect::<Vec<_>>(),
    })
}

fn upstream_document(announcement: &Announcement) -> Value {
    let state = match announcement.availability {
        Availability::Serving => "serving",
        Availability::Leaving => "leaving",
        Availability::Reclaimed { .. } => "reclaimed",
    };
    json!({
        "upstream": announcement.upstream,
        "service": announcement.service,
        "data_centre": announcement.data_centre,
        "class": announcement.class.name(),
        "state": state,
        "running": announcement.load.running,
        "waiting": announcement.load.waiting,
    })
}

/// Returns the status document of a process without a quorum.
pub(crate) fn no_quorum_document(state: &State, status: &Status) -> Value {
    json!({
        "quorum": false,
        "leader": status.leader,
        "term": status.term,
        "last_index": status.last_index,
        "commit_index": status.commit_index,
        "voters": status.voters,
        "learners": status.learners,
        "version": state.texts().newest(),
        "meaning": "No quorum answers. Entries refuse requests as not run once their lease has \
                    run out; the version shown is the newest known to this process.",
    })
}

fn ledger_document(state: &State) -> Value {
    let mut rows = Vec::new();
    for (day, items) in state.ledger().days() {
        for (item, total) in items {
            rows.push(json!({
                "day": day,
                "data_centre": item.data_centre,
                "class": item.class,
                "service": item.service,
                "hours": total.instance_ms as f64 / MS_PER_HOUR,
                "spend": total.spend_micros as f64 / MICROS_PER_UNIT,
                "reclaims": 0,
            }));
        }
    }
    json!({ "accounted_until_ms": state.ledger().accounted_until(), "rows": rows })
}
