//! Settings templates for the platform, rendered as the platform renders them.

use std::path::Path;

use config::check;
use googletest::prelude::*;

fn read(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    std::fs::read_to_string(path).expect("the file exists")
}

/// Replaces the placeholders of a template with the values of one machine, which has a disk or not.
fn render(template: &str, has_disk: bool) -> String {
    let seeds = "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}";
    let cloud = "{{#cloud.address}}cloud = \"{{.}}\"{{/cloud.address}}";
    let values = [
        (
            seeds,
            "\"10.1.0.14:8229\",\"10.2.0.4:8229\",\"10.3.0.34:8229\"",
        ),
        (cloud, "cloud = \"10.200.0.35:8225\""),
        ("{{node_name}}", "edge-north-1"),
        ("{{zone}}", "north"),
        ("{{ip}}", "10.1.0.14"),
        (
            "{{#data_dir}}data-folder = \"{{.}}\"{{/data_dir}}",
            if has_disk {
                "data-folder = \"/data/control\""
            } else {
                ""
            },
        ),
        (
            "{{^data_dir}}forwards-only = true{{/data_dir}}",
            if has_disk { "" } else { "forwards-only = true" },
        ),
        ("{{bootstrap}}", "true"),
        ("{{listen.front}}", "10.1.0.14:8221"),
        ("{{listen.ready}}", "10.1.0.14:8224"),
        ("{{listen.control}}", "10.1.0.14:8229"),
        ("{{internal_ports.0}}", "7600"),
        ("{{internal_ports.1}}", "7615"),
        ("{{bounds.grace_s}}", "8"),
        ("{{bounds.lease_ms}}", "3000"),
        ("{{bounds.quota_window_s}}", "8"),
        ("{{bounds.retry_ratio}}", "0.2"),
        ("{{bounds.retry_slack}}", "60"),
        ("{{bounds.retry_window_s}}", "10"),
        ("{{bounds.usage_delay_s}}", "10"),
        ("{{bounds.window_s}}", "5"),
    ];
    let fill = |text: String, (name, value): &(&str, &str)| text.replace(name, value);
    values.iter().fold(template.to_owned(), fill)
}

#[test]
fn renders_settings_that_pass_the_check() {
    for template in ["deploy/entry.toml", "deploy/control.toml"] {
        let rendered = render(&read(template), true);
        assert_that!(rendered, not(contains_substring("{{")), "{template}");
        let (settings, findings) = check::settings(template, &rendered);
        let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
        assert_that!(findings, is_empty(), "{template}");
        let settings = settings.expect("there are no findings");
        assert_that!(settings.controls().len(), eq(3));
        let forwarding = settings.entry.forwarding.map(|address| address.to_string());
        let expected = (template == "deploy/entry.toml").then(|| "10.1.0.14:7615".to_owned());
        assert_that!(forwarding, eq(&expected));
    }
}

#[test]
fn finds_control_processes_at_the_ip_addresses_of_the_seeds() {
    let rendered = render(&read("deploy/control.toml"), true);
    let (settings, _) = check::settings("control.toml", &rendered);
    let controls = settings.expect("the settings are right").controls();
    let names: Vec<String> = controls.iter().map(|peer| peer.node.to_string()).collect();
    assert_that!(names, eq(&["10.1.0.14", "10.2.0.4", "10.3.0.34"]));
    assert_that!(
        controls[1].address,
        eq("10.2.0.4:7600".parse().expect("an address"))
    );
}

#[test]
fn lets_a_control_process_without_a_disk_only_forward() {
    for has_disk in [true, false] {
        let rendered = render(&read("deploy/control.toml"), has_disk);
        let (settings, findings) = check::settings("control.toml", &rendered);
        assert_that!(findings.len(), eq(0), "{rendered}");
        let control = settings.expect("there are no findings").control;
        assert_that!(control.forwards_only, eq(!has_disk));
    }
}
