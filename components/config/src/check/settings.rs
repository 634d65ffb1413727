//! Checks across the parts of the settings.

use std::time::Duration;

use indexmap::IndexSet;

use super::finder::Finder;
use crate::document::Document;
use crate::{Diagnostic, Settings};

const MIN_HEARTBEATS_PER_ELECTION: u32 = 3;
const MIN_BODY_BYTES: usize = 1_024;

pub(super) fn check(document: &Document<'_>, settings: &Settings) -> Vec<Diagnostic> {
    let mut finder = Finder::new(document);
    check_names(&mut finder, settings);
    check_peers(&mut finder, settings);
    check_control(&mut finder, settings);
    check_entry(&mut finder, settings);
    finder.into_findings()
}

fn check_names(finder: &mut Finder<'_, '_>, settings: &Settings) {
    finder.error_if(
        settings.node.is_empty(),
        &["node"],
        "this process has no name".into(),
        "set node = \"NAME\", unique in the fleet",
    );
    finder.error_if(
        settings.data_centre.is_empty(),
        &["data-centre"],
        "this process does not know its data centre".into(),
        "set data-centre = \"NAME\", as in the operators' text",
    );
}

fn check_peers(finder: &mut Finder<'_, '_>, settings: &Settings) {
    let mut names = IndexSet::new();
    let mut addresses = IndexSet::new();
    for (index, peer) in settings.control_peers.iter().enumerate() {
        let index = index.to_string();
        finder.error_if(
            !names.insert(&peer.node),
            &["control-peers", &index, "node"],
            format!("control peer \"{}\" is listed twice", peer.node),
            "list each control process once",
        );
        finder.error_if(
            !addresses.insert(peer.address) | !addresses.insert(peer.operators),
            &["control-peers", &index, "address"],
            format!(
                "control peer \"{}\" shares an address with another listener",
                peer.node
            ),
            "give each listener an address and port of its own",
        );
    }
    finder.error_if(
        settings.controls().is_empty() && settings.entry.standalone_text.is_none(),
        &["control-peers"],
        "no control process is listed".into(),
        "add [[control-peers]] with node, address and operators, or seeds",
    );
}

fn check_control(finder: &mut Finder<'_, '_>, settings: &Settings) {
    let control = &settings.control;
    finder.error_if(
        control.heartbeat.is_zero()
            || control.election_timeout < control.heartbeat * MIN_HEARTBEATS_PER_ELECTION,
        &["control", "election-timeout"],
        format!("election-timeout holds fewer than {MIN_HEARTBEATS_PER_ELECTION} heartbeats"),
        "raise election-timeout, or lower heartbeat",
    );
    finder.error_if(
        control.freshness_lease <= control.election_timeout * 2,
        &["control", "freshness-lease"],
        "freshness-lease is too short to outlast an election".into(),
        "make it more than twice election-timeout",
    );
    finder.error_if(
        control.claim_retention < Duration::from_secs(60),
        &["control", "claim-retention"],
        "claim-retention is shorter than a minute, so that a caller's retry could run twice".into(),
        "keep claims for as long as callers may retry",
    );
}

fn check_entry(finder: &mut Finder<'_, '_>, settings: &Settings) {
    let entry = &settings.entry;
    let positive = [
        ("head-timeout", entry.head_timeout),
        ("body-timeout", entry.body_timeout),
        ("keep-alive", entry.keep_alive),
        ("connect-timeout", entry.connect_timeout),
        ("drain-timeout", entry.drain_timeout),
    ];
    for (key, value) in positive {
        finder.error_if(
            value.is_zero(),
            &["entry", key],
            format!("{key} is 0"),
            "give a duration such as \"5s\"",
        );
    }
    finder.error_if(
        entry.max_body_bytes < MIN_BODY_BYTES,
        &["entry", "max-body-bytes"],
        format!("max-body-bytes is below {MIN_BODY_BYTES}"),
        "give the largest request body in bytes",
    );
    finder.error_if(
        entry.max_connections == 0,
        &["entry", "max-connections"],
        "max-connections lets no caller in".into(),
        "give a number above 0",
    );
    finder.error_if(
        entry.upstream_silence <= Duration::from_secs(1),
        &["entry", "upstream-silence"],
        "upstream-silence is not longer than the second between an engine's keep-alive comments"
            .into(),
        "give at least \"2s\"",
    );
}
