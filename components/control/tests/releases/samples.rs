//! Samples of what each release wrote and sent, recorded when it landed.
//!
//! `RECORD_SAMPLES=FOLDER` records those of this release; recorded ones are never changed.

use std::fs;
use std::path::{Path, PathBuf};

use config::release;
use googletest::prelude::*;

use crate::forms;
use crate::older_process::{KNOWN_CHANGES, KNOWN_REQUESTS};

/// Folder of the newest samples.
const NEWEST: &str = "level-5";

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/releases/samples")
}

fn read(release: &Path) -> Vec<forms::Form> {
    let mut samples: Vec<forms::Form> = fs::read_dir(release)
        .expect("the folder can be read")
        .map(|entry| {
            let path = entry.expect("the entry can be read").path();
            let name = path.file_stem().unwrap_or_default().to_string_lossy();
            (
                name.into_owned(),
                fs::read(&path).expect("the file can be read"),
            )
        })
        .collect();
    samples.sort();
    samples
}

/// Decodes a sample; returns what this release writes for it.
fn decode(name: &str, bytes: &[u8]) -> std::result::Result<Vec<u8>, String> {
    fn again<T: serde::Serialize + serde::de::DeserializeOwned>(
        bytes: &[u8],
    ) -> std::result::Result<Vec<u8>, String> {
        let value: T = ciborium::from_reader(bytes).map_err(|error| error.to_string())?;
        let mut written = Vec::new();
        ciborium::into_writer(&value, &mut written).map_err(|error| error.to_string())?;
        Ok(written)
    }
    match name.split('-').next() {
        Some("change") => again::<state::Command>(bytes),
        Some("message") => again::<consensus::Message>(bytes),
        Some("snapshot") => state::State::restore(bytes)
            .and_then(|state| state.snapshot())
            .map_err(|error| error.to_string()),
        _ => wire::decode(bytes)
            .and_then(|envelope| wire::encode(&envelope))
            .map_err(|error| error.to_string()),
    }
}

#[gtest]
fn reads_what_each_earlier_release_wrote() {
    let releases = fs::read_dir(folder()).expect("the folder can be read");
    let mut count = 0;
    for release in releases.map(|entry| entry.expect("it can be read").path()) {
        for (name, bytes) in read(&release) {
            count += 1;
            let read = decode(&name, &bytes);
            expect_that!(read, ok(anything()), "{}/{name}", release.display());
        }
    }
    assert_that!(count, ge(150));
}

#[gtest]
fn writes_each_form_as_its_release_did() {
    if let Some(folder) = std::env::var_os("RECORD_SAMPLES") {
        for (name, bytes) in forms::all() {
            let path = Path::new(&folder).join(format!("{name}.cbor"));
            fs::write(path, bytes).expect("the file can be written");
        }
    }
    let recorded = read(&folder().join(NEWEST));
    let mut written = forms::all();
    written.sort();
    let names = |forms: &[forms::Form]| -> Vec<String> {
        forms.iter().map(|(name, _)| name.clone()).collect()
    };
    assert_that!(names(&written), eq(&names(&recorded)));
    for ((name, written), (_, recorded)) in written.iter().zip(&recorded) {
        expect_that!(written, eq(recorded), "{name}");
    }
}

#[gtest]
fn gives_a_level_to_each_form_that_the_oldest_releases_do_not_know() {
    let is_known = |known: &[&str], name: &str| {
        let mut known = known.iter();
        known.any(|known| known.to_lowercase() == name)
    };
    for (name, change) in forms::changes() {
        let expected = is_known(&KNOWN_CHANGES, &name);
        expect_that!(
            change.level() == release::UNDECLARED,
            eq(expected),
            "{name}"
        );
    }
    for (name, body) in forms::requests() {
        let expected = is_known(&KNOWN_REQUESTS, &name);
        expect_that!(body.level() == release::UNDECLARED, eq(expected), "{name}");
    }
}
