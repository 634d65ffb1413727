//! Command line of the `chervilloft` program.

use std::path::Path;
use std::process::{Command, Output};

use googletest::prelude::*;

fn chervilloft(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_chervilloft"))
        .args(arguments)
        .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")))
        .output()
        .expect("the command starts")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[gtest]
fn can_check_the_examples() {
    for example in ["examples/cetak.toml", "examples/armor.toml"] {
        let output = chervilloft(&["check", example]);
        expect_that!(output.status.code(), some(eq(0)), "{}", stderr(&output));
    }
}

#[gtest]
fn errors_on_a_faulty_text_with_code_3() {
    let output = chervilloft(&["check", "components/config/tests/fixtures/bad_types.toml"]);
    expect_that!(output.status.code(), some(eq(3)));
    expect_that!(
        stderr(&output),
        contains_substring("bad_types.toml:3:15: error: ")
    );
}

#[gtest]
fn errors_on_a_missing_file_with_step_and_peer() {
    let output = chervilloft(&["check", "no-such-file.toml"]);
    expect_that!(output.status.code(), some(eq(1)));
    expect_that!(
        stderr(&output),
        starts_with("error: load with file no-such-file.toml: ")
    );
}

#[gtest]
fn errors_on_wrong_arguments_with_code_2() {
    let output = chervilloft(&["submit", "examples/cetak.toml"]);
    expect_that!(output.status.code(), some(eq(2)));
    expect_that!(stderr(&output), contains_substring("--base"));
}

/// Guards against a question without a route, which no entry can answer.
#[gtest]
fn errors_on_a_route_to_explain_without_path_and_service() {
    let output = chervilloft(&["explain-route", "--account", "shop"]);
    expect_that!(output.status.code(), some(eq(2)));
    expect_that!(stderr(&output), contains_substring("--service"));
}

/// Guards against parts that are read as others than in the header of a request.
#[gtest]
fn errors_on_faulty_parts_of_a_prompt_to_explain() {
    let entry = ["explain-route", "--entry", "127.0.0.1:1", "--service", "m"];
    let prompt = ["--prompt-tokens", "9", "--parts", "xyz:9"];
    let output = chervilloft(&[&entry[..], &prompt[..]].concat());
    expect_that!(output.status.code(), some(eq(1)));
    expect_that!(stderr(&output), contains_substring("--parts: "));
}

#[gtest]
fn can_explain_every_command() {
    let mut help = String::new();
    for command in [
        "",
        "entry",
        "check",
        "submit",
        "status",
        "rollout",
        "rollout begin",
        "forecast",
        "explain",
        "explain-route",
    ] {
        let arguments: Vec<&str> = command.split(' ').chain(["--help"]).collect();
        let arguments: Vec<&str> = arguments.into_iter().filter(|a| !a.is_empty()).collect();
        let output = chervilloft(&arguments);
        help.push_str(&String::from_utf8_lossy(&output.stdout));
        help.push_str("----\n");
    }
    insta::assert_snapshot!(help);
}
