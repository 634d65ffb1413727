//! Look-up of routes and accounts.

use std::time::Duration;

use config::Text;
use config::text::ingress::{Kind, Route, Split};
use config::text::{Account, Ingress};
use gateway::Table;
use googletest::prelude::*;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        splits: vec![Split {
            service: "plain".into(),
            weight: 1,
        }],
        kind: Kind::Once,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(100),
        gap: Duration::from_secs(1),
        rank: 0,
        attempts: 1,
        public: false,
    }
}

fn table() -> Table {
    let account = |keys: &[&str]| Account {
        keys: keys.iter().map(|key| (*key).into()).collect(),
        ..Account::default()
    };
    let text = Text {
        accounts: [
            ("shop".into(), account(&["k1", "k2"])),
            ("farm".into(), account(&["k3"])),
        ]
        .into_iter()
        .collect(),
        ingress: Ingress {
            routes: vec![
                route("all", "one.example", "/"),
                route("long", "one.example", "/a/b/"),
                route("short", "one.example", "/a/"),
                route("other", "two.example", "/a/"),
            ],
            ..Ingress::default()
        },
        ..Text::default()
    };
    Table::new(7, &text)
}

fn route_name(host: &str, path: &str) -> Option<String> {
    let table = table();
    table.route(host, path).map(|route| route.name.to_string())
}

#[test]
fn finds_the_route_with_the_longest_prefix_of_the_host() {
    assert_that!(route_name("one.example", "/a/b/c"), some(eq("long")));
    assert_that!(route_name("one.example", "/a/c"), some(eq("short")));
    assert_that!(route_name("one.example", "/ab"), some(eq("all")));
    assert_that!(route_name("two.example:8080", "/a/b/c"), some(eq("other")));
    assert_that!(route_name("two.example", "/b"), none());
    assert_that!(route_name("three.example", "/a/"), none());
}

#[test]
fn finds_an_account_by_any_of_its_keys() {
    let table = table();
    let name = |key| table.account(key).map(|account| account.name.to_string());
    assert_that!(name("k2"), some(eq("shop")));
    assert_that!(name("k3"), some(eq("farm")));
    assert_that!(name("k4"), none());
}

/// Guards against less urgent requests that fill the queues of more urgent ones.
#[test]
fn knows_the_strictest_target_of_more_urgent_routes_to_a_service() {
    let with = |rank, target| Route {
        rank,
        target: Duration::from_millis(target),
        ..route("any", "one.example", "/")
    };
    let text = Text {
        ingress: Ingress {
            routes: vec![with(0, 600), with(0, 900), with(1, 300), with(2, 500)],
            ..Ingress::default()
        },
        ..Text::default()
    };
    let table = Table::new(1, &text);
    let before = |rank| table.target_before("plain", rank);
    assert_that!(before(0), none());
    assert_that!(before(1), some(eq(Duration::from_millis(600))));
    assert_that!(before(2), some(eq(Duration::from_millis(300))));
    assert_that!(table.target_before("another", 2), none());
}
