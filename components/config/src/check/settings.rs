//! Checks of settings, including those that compare several settings.

use std::time::Duration;

use indexmap::IndexSet;

use super::report::Report;
use crate::document::Document;
use crate::{Diagnostic, Settings};

const MIN_HEARTBEATS_PER_ELECTION: u32 = 3;
/// Smallest accepted value of `max-body-bytes`.
const MIN_BODY_LIMIT_BYTES: usize = 1_024;

pub(super) fn check(document: &Document<'_>, settings: &Settings) -> Vec<Diagnostic> {
    let mut report = Report::new(document);
    check_names(&mut report, settings);
    check_peers(&mut report, settings);
    check_control(&mut report, settings);
    check_entry(&mut report, settings);
    report.into_diagnostics()
}

fn check_names(report: &mut Report<'_, '_>, settings: &Settings) {
    report.error_if(
        settings.node.is_empty(),
        &["node"],
        "this process has no name".into(),
        "set node = \"NAME\", unique in the fleet",
    );
    report.error_if(
        settings.data_centre.is_empty(),
        &["data-centre"],
        "this process has no data centre".into(),
        "set data-centre = \"NAME\", as in the operators' text",
    );
}

fn check_peers(report: &mut Report<'_, '_>, settings: &Settings) {
    let mut names = IndexSet::new();
    let mut addresses = IndexSet::new();
    for (index, peer) in settings.control_peers.iter().enumerate() {
        let index = index.to_string();
        report.error_if(
            !names.insert(&peer.node),
            &["control-peers", &index, "node"],
            format!("control peer \"{}\" is listed twice", peer.node),
            "list each control process once",
        );
        report.error_if(
            !addresses.insert(peer.address) | !addresses.insert(peer.operators),
            &["control-peers", &index, "address"],
            format!(
                "control peer \"{}\" shares an address with another listener",
                peer.node
            ),
            "give each listener an address and port of its own",
        );
    }
    report.error_if(
        settings.controls().is_empty() && settings.entry.standalone_text.is_none(),
        &["control-peers"],
        "no control process is listed".into(),
        "add [[control-peers]] with node, address and operators, or seeds",
    );
}

fn check_control(report: &mut Report<'_, '_>, settings: &Settings) {
    let control = &settings.control;
    report.error_if(
        control.heartbeat.is_zero()
            || control.election_timeout < control.heartbeat * MIN_HEARTBEATS_PER_ELECTION,
        &["control", "election-timeout"],
        format!("election-timeout is shorter than {MIN_HEARTBEATS_PER_ELECTION} heartbeats"),
        "raise election-timeout, or lower heartbeat",
    );
    report.error_if(
        control.freshness_lease <= control.election_timeout * 2,
        &["control", "freshness-lease"],
        "freshness-lease is too short to outlast an election".into(),
        "make it more than twice election-timeout",
    );
    report.error_if(
        control.claim_retention < Duration::from_secs(60),
        &["control", "claim-retention"],
        "claim-retention is shorter than a minute, so that a caller's retry could run twice".into(),
        "keep claims for as long as callers may retry",
    );
}

fn check_entry(report: &mut Report<'_, '_>, settings: &Settings) {
    let entry = &settings.entry;
    let positive = [
        ("head-timeout", entry.head_timeout),
        ("body-timeout", entry.body_timeout),
        ("keep-alive", entry.keep_alive),
        ("connect-timeout", entry.connect_timeout),
        ("drain-timeout", entry.drain_timeout),
    ];
    for (key, value) in positive {
        report.error_if(
            value.is_zero(),
            &["entry", key],
            format!("{key} is 0"),
            "give a duration such as \"5s\"",
        );
    }
    report.error_if(
        entry.max_body_bytes < MIN_BODY_LIMIT_BYTES,
        &["entry", "max-body-bytes"],
        format!("max-body-bytes is below {MIN_BODY_LIMIT_BYTES}"),
        "give the largest request body in bytes",
    );
    report.error_if(
        entry.max_connections == 0,
        &["entry", "max-connections"],
        "max-connections is 0, so that no caller can connect".into(),
        "give a number above 0",
    );
    report.error_if(
        entry.upstream_silence <= Duration::from_secs(1),
        &["entry", "upstream-silence"],
        "upstream-silence is not above 1s, the interval of an engine's keep-alive comments".into(),
        "give at least \"2s\"",
    );
}
