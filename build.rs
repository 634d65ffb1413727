//! Names the build after its commit, for logs.

use std::path::Path;
use std::process::Command;

/// File that changes with each commit that is checked out or made.
const HEAD_LOG: &str = ".git/logs/HEAD";

fn main() {
    let output = Command::new("git")
        .args(["rev-parse", "--short=10", "HEAD"])
        .output();
    let commit = match output {
        Ok(output) if output.status.success() => {
            String::from_utf8_lossy(&output.stdout).trim().to_owned()
        }
        _ => "unknown".to_owned(),
    };
    println!("cargo::rustc-env=CHERVILLOFT_COMMIT={commit}");
    println!("cargo::rerun-if-changed=build.rs");
    if Path::new(HEAD_LOG).exists() {
        println!("cargo::rerun-if-changed={HEAD_LOG}");
    }
}
