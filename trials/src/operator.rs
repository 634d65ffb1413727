//! The operators' commands.

use std::io;
use std::path::Path;
use std::process::Stdio;

use crate::Fleet;

/// What a command said.
#[derive(Clone, Debug)]
pub struct Said {
    /// Exit code, or -1 when a signal ended the command.
    pub code: i32,
    /// Standard output and standard error.
    pub text: String,
}

impl Fleet {
    /// Runs a `chervilloft` command as the operator "ana", and waits for its end.
    ///
    /// # Errors
    /// Fails when the command can't be started.
    pub async fn operator(&self, arguments: &[&str]) -> io::Result<Said> {
        self.operator_with(&self.operator_settings(), arguments)
            .await
    }

    /// Submits `text` made from version `base` under the name `id`.
    ///
    /// # Errors
    /// Fails when the command can't be started.
    pub async fn submit(&self, text: &str, base: u64, id: &str) -> io::Result<Said> {
        let file = self.folder().join(format!("submission-{id}.toml"));
        std::fs::write(&file, text)?;
        let base = base.to_string();
        let path = file.display().to_string();
        self.operator(&["submit", &path, "--base", &base, "--id", id])
            .await
    }

    async fn operator_with(&self, settings: &Path, arguments: &[&str]) -> io::Result<Said> {
        let mut command = std::process::Command::new(&self.settings().binary);
        command
            .args(arguments)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null());
        let output = tokio::task::spawn_blocking(move || command.output())
            .await
            .map_err(io::Error::other)??;
        let text = [output.stdout, output.stderr].concat();
        Ok(Said {
            code: output.status.code().unwrap_or(-1),
            text: String::from_utf8_lossy(&text).into_owned(),
        })
    }
}
