//! Durations written as text such as `1.2s`, `40ms` or `5m`.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer, de::Error};

/// Parses a duration with a unit of `ms`, `s`, `m`, `h` or `d`, such as `1.2s`.
///
/// # Errors
/// Returns a message if the text has no number, no known unit, or is out of range.
pub fn parse(text: &str) -> Result<Duration, String> {
    let text = text.trim();
    let split = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(split);
    let seconds_per_unit = match unit {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3_600.0,
        "d" => 86_400.0,
        _ => return Err(format!("\"{text}\" needs a unit of ms, s, m, h or d")),
    };
    match number.parse::<f64>() {
        Ok(value) => Duration::try_from_secs_f64(value * seconds_per_unit)
            .ok()
            .filter(|duration| *duration <= LONGEST)
            .ok_or_else(|| format!("\"{text}\" is out of range")),
        Err(_) => Err(format!("\"{text}\" is not a duration such as \"1.2s\"")),
    }
}

/// Longest time that is told from a longer one, so that it can be added to any other.
pub const LONGEST: Duration = Duration::from_secs(365 * 24 * 3_600);

/// Returns a number of seconds that comes from outside as a duration: 0 for one that is negative or
/// not a number, [`LONGEST`] for one that is larger.
pub fn bounded(seconds: f64) -> Duration {
    let seconds = seconds.max(0.0).min(LONGEST.as_secs_f64());
    Duration::from_secs_f64(seconds)
}

/// Returns a number of milliseconds that comes from outside as a duration of at most [`LONGEST`].
pub fn bounded_millis(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds).min(LONGEST)
}

/// Formats a duration in seconds or milliseconds, so that [`parse`] returns it again. Fractions of
/// a millisecond are dropped.
pub fn format(duration: Duration) -> String {
    match duration.as_millis() {
        ms if ms % 1_000 == 0 => format!("{}s", ms / 1_000),
        ms => format!("{ms}ms"),
    }
}

/// Deserializes a duration, for `#[serde(with)]`.
///
/// # Errors
/// Fails if the value is not a string that [`parse`] accepts.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    parse(&text).map_err(D::Error::custom)
}

/// Durations that may be left out, for `#[serde(with)]` beside `#[serde(default)]`.
pub mod optional {
    use super::{Deserializer, Duration, Serializer};

    /// Deserializes a duration.
    ///
    /// # Errors
    /// Fails if the value is not a string that [`parse`](super::parse) accepts.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Duration>, D::Error> {
        super::deserialize(deserializer).map(Some)
    }

    /// Serializes a duration that is not left out.
    ///
    /// # Errors
    /// Fails if the serializer does.
    pub fn serialize<S: Serializer>(
        duration: &Option<Duration>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        super::serialize(&duration.unwrap_or_default(), serializer)
    }
}

/// Serializes a duration, for `#[serde(with)]`.
///
/// # Errors
/// Fails if the serializer does.
pub fn serialize<S: Serializer>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&format(*duration))
}
