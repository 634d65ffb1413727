//! Encoding and decoding of patches.

use googletest::prelude::*;
use patch::{Archive, Download, Fault, Range, decode, encode};
use proptest::prelude::*;

const MAX_BYTES: usize = 1_024 * 1_024;

/// Returns a text of `routes` lines, of which the one at `changed` differs.
fn text(routes: usize, changed: usize) -> String {
    let line = |index: usize| {
        let number = match index == changed {
            true => u64::MAX,
            false => index as u64,
        };
        format!(
            "route {index} {:016x}\n",
            number.wrapping_mul(0x9e37_79b9_7f4a_7c15)
        )
    };
    (0..routes).map(line).collect()
}

#[gtest]
fn encodes_a_small_change_of_a_large_text_in_few_bytes() {
    let (base, changed) = (text(20_000, usize::MAX), text(20_000, 9_000));
    let patch = encode(&base, &changed).expect("the text can be encoded");
    expect_that!(patch.len(), lt(200));
    expect_that!(decode(&base, &patch, MAX_BYTES), ok(eq(&changed)));
}

#[gtest]
fn can_decode_a_text_without_a_base() {
    let whole = text(100, 0);
    let patch = encode("", &whole).expect("the text can be encoded");
    expect_that!(decode("", &patch, MAX_BYTES), ok(eq(&whole)));
    let empty = encode("", "").expect("the text can be encoded");
    expect_that!(decode("", &empty, MAX_BYTES), ok(eq("")));
}

#[gtest]
fn errors_on_another_base() {
    let (base, changed) = (text(1_000, 1), text(1_000, 2));
    let patch = encode(&base, &changed).expect("the text can be encoded");
    let decoded = decode(&text(1_000, 3), &patch, MAX_BYTES);
    expect_that!(decoded, err(matches_pattern!(Fault::Decode(anything()))));
}

#[gtest]
fn errors_on_a_text_that_is_larger_than_accepted() {
    let (large, limit) = ("x".repeat(900_000), 700_000);
    let patch = encode("", &large).expect("the text can be encoded");
    expect_that!(patch.len(), lt(1_000));
    expect_that!(decode("", &patch, limit), err(eq(&Fault::TooLarge(limit))));
    let larger = "x".repeat(2 * MAX_BYTES);
    let patch = encode("", &larger).expect("the text can be encoded");
    let needs_memory = matches_pattern!(Fault::Decode(contains_substring("memory")));
    expect_that!(decode("", &patch, MAX_BYTES), err(needs_memory));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(29),
        ..ProptestConfig::default()
    })]

    #[test]
    fn yields_the_text_that_was_encoded(base in ".{0,400}", text in ".{0,400}") {
        let patch = encode(&base, &text).expect("the text can be encoded");
        prop_assert_eq!(decode(&base, &patch, MAX_BYTES), Ok(text));
    }

    #[test]
    fn never_panics_on_any_bytes(
        base in ".{0,40}",
        bytes in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let _ = decode(&base, &bytes, MAX_BYTES);
    }
}

/// Fetches `version` from the archives in turn, a part from each, and returns the text and the
/// number of parts.
fn fetch(archives: &mut [Archive], download: &mut Download) -> (String, usize) {
    for turn in 0..1_000 {
        let count = archives.len();
        let part = archives[turn % count].part(download.next());
        let part = part.expect("the text can be encoded");
        let text = download.add(part.expect("the text is kept"));
        if let Some(text) = text.expect("the part is accepted") {
            return (text, turn + 1);
        }
    }
    panic!("the text is not complete");
}

/// Returns a text that can hardly be compressed.
fn random_text(bytes: usize) -> String {
    let mut state = 29_u64;
    let letter = |_| {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        char::from(b'0' + (state >> 33) as u8 % 64)
    };
    (0..bytes).map(letter).collect()
}

fn archive(texts: &[(u64, &str)]) -> Archive {
    let mut archive = Archive::default();
    for (version, text) in texts {
        archive.add(*version, &(*text).into());
    }
    archive
}

#[gtest]
fn can_fetch_a_text_in_parts_from_several_senders() {
    let whole = random_text(100_000);
    let mut archives = [
        archive(&[(5, &whole)]),
        archive(&[(4, "four"), (5, &whole)]),
    ];
    let mut download = Download::new(5, (0, "".into()), MAX_BYTES);
    let (text, parts) = fetch(&mut archives, &mut download);
    expect_that!(text, eq(&whole));
    expect_that!(parts, all!(ge(5), le(7)));
}

#[gtest]
fn fetches_only_what_changed_since_the_base() {
    let (base, changed) = (text(20_000, 1), text(20_000, 2));
    let mut archives = [archive(&[(4, &base), (5, &changed)])];
    let mut download = Download::new(5, (4, base.as_str().into()), MAX_BYTES);
    let (text, parts) = fetch(&mut archives, &mut download);
    expect_that!(text, eq(&changed));
    expect_that!((parts, download.received_bytes()), (eq(1), lt(300)));
}

#[gtest]
fn fetches_the_whole_text_from_a_sender_without_the_base() {
    let (base, changed) = (random_text(50_000), random_text(60_000));
    let mut archives = [archive(&[(5, &changed)])];
    let mut download = Download::new(5, (4, base.as_str().into()), MAX_BYTES);
    let (text, _) = fetch(&mut archives, &mut download);
    expect_that!(text, eq(&changed));
}

#[gtest]
fn starts_again_when_the_next_sender_has_another_encoding() {
    let (base, changed) = (
        random_text(50_000),
        format!("{}{}", random_text(50_000), text(9_000, 1)),
    );
    let mut archives = [
        archive(&[(4, &base), (5, &changed)]),
        archive(&[(5, &changed)]),
    ];
    let mut download = Download::new(5, (4, base.as_str().into()), MAX_BYTES);
    let first = archives[0]
        .part(download.next())
        .expect("the text can be encoded");
    let first = first.expect("the text is kept");
    expect_that!(download.add(first), ok(none()));
    let (text, _) = fetch(&mut archives[1..], &mut download);
    expect_that!(text, eq(&changed));
}

#[gtest]
fn fetches_the_whole_text_when_the_sender_has_another_text_as_the_base() {
    let (base, other, changed) = (text(2_000, 1), text(2_000, 2), text(2_000, 3));
    let mut archive = archive(&[(4, &other), (5, &changed)]);
    let mut download = Download::new(5, (4, base.as_str().into()), MAX_BYTES);
    let part = archive
        .part(download.next())
        .expect("the text can be encoded");
    let added = download.add(part.expect("the text is kept"));
    expect_that!(added, err(matches_pattern!(Fault::Decode(anything()))));
    let (text, _) = fetch(&mut [archive], &mut download);
    expect_that!(text, eq(&changed));
}

#[gtest]
fn keeps_the_newest_texts_only() {
    let mut archive = Archive::default();
    for version in 1..=20 {
        archive.add(version, &"text".into());
    }
    expect_that!(archive.contains(20), eq(true));
    expect_that!(archive.contains(12), eq(false));
    let large: std::sync::Arc<str> = "x".repeat(9 * 1_024 * 1_024).into();
    archive.add(21, &large);
    expect_that!(archive.contains(20), eq(false));
    expect_that!(archive.contains(21), eq(true));
    let absent = archive.part(Range {
        version: 20,
        base: 0,
        offset: 0,
    });
    expect_that!(absent, ok(none()));
}
