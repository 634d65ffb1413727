//! Operators' commands and HTTP calls.

use std::io;
use std::path::Path;
use std::time::Duration;

use http::Method;
use serde_json::{Value, json};
use stand_ins::web::{self, Answer};
use tempfile::NamedTempFile;

use crate::{Fleet, OPERATOR_TOKEN, Process};

const HTTP_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time of one command, after which it is killed.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(60);

/// Exit code and output of a command.
#[derive(Clone, Debug)]
pub struct Output {
    /// Exit code, or -1 when the command was killed by a signal.
    pub exit_code: i32,
    /// Standard output and standard error, in the order in which they were written.
    pub text: String,
}

impl Fleet {
    /// Runs a `chervilloft` command as the operator "ana" and waits for its end.
    ///
    /// # Errors
    /// Fails when the command can't be started, or does not end within 60 s.
    pub async fn run_as_operator(&self, arguments: &[&str]) -> io::Result<Output> {
        self.run_as_operator_with(&self.operator_settings(), arguments)
            .await
    }

    /// Submits `text`, which is based on version `base`, with the submission id `id`.
    ///
    /// # Errors
    /// Fails when the command can't be started, or does not end within 60 s.
    pub async fn submit(&self, text: &str, base: u64, id: &str) -> io::Result<Output> {
        let file = self.folder().join(format!("submission-{id}.toml"));
        std::fs::write(&file, text)?;
        let base = base.to_string();
        let path = file.display().to_string();
        self.run_as_operator(&["submit", &path, "--base", &base, "--id", id])
            .await
    }

    /// Submits `text` by HTTP to control process `index` without waiting until it is in force.
    ///
    /// # Errors
    /// Fails when the process does not answer.
    pub async fn post_text(
        &self,
        index: usize,
        text: &str,
        base: u64,
        id: &str,
    ) -> io::Result<Answer> {
        let bearer = format!("Bearer {OPERATOR_TOKEN}");
        let headers = [("authorization", bearer.as_str())];
        let body = json!({"base": base, "id": id, "text": text, "wait_ms": 0}).to_string();
        let address = self.operator_addresses()[index];
        let method = Method::POST;
        web::call_with_headers(address, method, "/v1/text", &headers, body, HTTP_TIMEOUT).await
    }

    /// Returns the JSON of `chervilloft status`, or null when no control process answers.
    pub async fn status(&self) -> Value {
        let output = self.run_as_operator(&["status", "--format", "json"]).await;
        let text = output.map(|output| output.text).unwrap_or_default();
        serde_json::from_str(&text).unwrap_or_default()
    }

    /// Returns the index of the leader that `chervilloft status` names, if any.
    pub async fn leader(&self) -> Option<usize> {
        let status = self.status().await;
        let leader = status["status"]["leader"].as_str()?;
        self.controls.iter().position(|it| it.name() == leader)
    }

    /// Returns the version of the text in force, or 0 when no control process answers.
    pub async fn version(&self) -> u64 {
        self.status().await["status"]["version"]
            .as_u64()
            .unwrap_or(0)
    }

    /// Returns the versions of the text that entry `index` logged as in force, oldest first.
    pub fn versions_in_force(&self, index: usize) -> Vec<u64> {
        let version = |line: &str| {
            let rest = line.split("fleet: text ").nth(1)?;
            rest.split(' ').next()?.parse().ok()
        };
        self.entries[index]
            .log()
            .lines()
            .filter_map(version)
            .collect()
    }

    async fn run_as_operator_with(
        &self,
        settings: &Path,
        arguments: &[&str],
    ) -> io::Result<Output> {
        let settings = settings.display().to_string();
        let arguments = [arguments, &["--settings", &settings]].concat();
        self.run(&arguments).await
    }

    /// Runs `chervilloft explain` for a request on the log file `log`.
    ///
    /// # Errors
    /// Fails when the command can't be started, or does not end within 60 s.
    pub async fn explain(&self, request: &str, log: &str) -> io::Result<Output> {
        self.run(&["explain", request, "--log", log]).await
    }

    async fn run(&self, arguments: &[&str]) -> io::Result<Output> {
        let output = NamedTempFile::new_in(self.folder())?;
        let name = arguments.first().copied().unwrap_or_default();
        let arguments = arguments.iter().copied().map(str::to_owned).collect();
        let log = output.path().to_owned();
        let mut command = Process::start(name, &self.settings().binary, arguments, log)?;
        let status = command.wait_for_exit(COMMAND_TIMEOUT).await?;
        Ok(Output {
            exit_code: status.code().unwrap_or(-1),
            text: command.log(),
        })
    }
}
