//! Expected lengths of answers.

use googletest::prelude::*;
use performance::Lengths;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SERVICE: u64 = 0;
const SHORT: u64 = 1;
const LONG: u64 = 2;
const SEED: u64 = 7;

/// Returns a length around `typical`, and a hint that is right at the median and often far off.
fn answer(random: &mut StdRng, typical: f64) -> (f64, f64) {
    let length = typical * random.random_range(-0.7_f64..0.7).exp();
    let hint = match random.random_bool(0.3) {
        true => length * random.random_range(-2.0_f64..2.0).exp(),
        false => length * random.random_range(-0.2_f64..0.2).exp(),
    };
    (length, hint)
}

/// Returns what was learned of 400 answers with a hint for each of two keys.
fn learned(random: &mut StdRng) -> Lengths {
    let mut lengths = Lengths::default();
    for _ in 0..400 {
        for (key, typical) in [(SHORT, 9.0), (LONG, 120.0)] {
            let (length, hint) = answer(random, typical);
            lengths.record(&[key, SERVICE], Some(hint), length);
        }
    }
    lengths
}

#[test]
fn follow_the_key_without_a_hint() {
    let lengths = learned(&mut StdRng::seed_from_u64(SEED));
    let expected = |key| {
        lengths
            .expected(&[key, SERVICE], None)
            .expect("it was learned")
    };
    assert_that!(expected(SHORT), near(10.0, 2.0));
    assert_that!(expected(LONG), near(130.0, 25.0));
}

/// Guards against hints that are taken as they are, though they are often far off, and against hints
/// that are ignored.
#[test]
fn are_closer_than_the_hint_and_than_the_average() {
    let mut random = StdRng::seed_from_u64(SEED);
    let lengths = learned(&mut random);
    let average = lengths.expected(&[LONG], None).expect("it was learned");
    let mut errors = [0.0, 0.0, 0.0];
    for _ in 0..400 {
        let (length, hint) = answer(&mut random, 120.0);
        let both = lengths
            .expected(&[LONG], Some(hint))
            .expect("it was learned");
        for (error, guess) in errors.iter_mut().zip([both, hint, average]) {
            *error += (guess - length).abs();
        }
    }
    println!("errors of both, the hint and the average: {errors:.0?}");
    assert_that!(errors[0], lt(errors[1]));
    assert_that!(errors[0], lt(errors[2]));
}

#[test]
fn follow_the_next_key_until_enough_is_known_of_the_first() {
    let mut lengths = learned(&mut StdRng::seed_from_u64(SEED));
    let new = 77;
    assert_that!(lengths.expected(&[new], None), none());
    let of_service = lengths.expected(&[SERVICE], None);
    lengths.record(&[new], None, 1_000.0);
    assert_that!(lengths.expected(&[new, SERVICE], None), eq(of_service));
}

/// Guards against memory that grows with the accounts and routes of a deployment.
#[test]
fn keep_a_bounded_number_of_keys_and_drop_the_least_recently_used_one() {
    let mut lengths = Lengths::default();
    for _ in 0..8 {
        lengths.record(&[0], None, 5.0);
        lengths.record(&[1], None, 5.0);
    }
    for key in 2..5_000 {
        lengths.record(&[key, 1], None, 5.0);
    }
    assert_that!(lengths.len(), eq(1_024));
    assert_that!(lengths.expected(&[0], None), none());
    assert_that!(lengths.expected(&[1], None), some(near(5.0, 0.01)));
}

/// Guards against one absurd figure that spoils what was learned.
#[test]
fn ignore_lengths_and_hints_that_are_no_numbers() {
    let mut lengths = learned(&mut StdRng::seed_from_u64(SEED));
    let before = lengths.expected(&[SHORT], Some(9.0));
    for absurd in [f64::NAN, f64::INFINITY, 0.0, -3.0] {
        lengths.record(&[SHORT], Some(9.0), absurd);
    }
    assert_that!(lengths.expected(&[SHORT], Some(9.0)), eq(before));
    let without = lengths.expected(&[SHORT], None);
    assert_that!(lengths.expected(&[SHORT], Some(0.0)), eq(without));
    lengths.record(&[SHORT], Some(1e12), 9.0);
    let expected = lengths
        .expected(&[SHORT], Some(9.0))
        .expect("it was learned");
    assert_that!(expected, all!(gt(3.0), lt(30.0)));
}
