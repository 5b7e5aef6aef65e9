//! Parses and formats the numbers of the protocol, which are decimals. Times are in seconds.

/// Decimal places of a time in seconds with a resolution of one microsecond.
const MICRO_DIGITS: usize = 6;
/// Maximum number of digits before the decimal point of a time that is parsed exactly.
const MAX_WHOLE_DIGITS: usize = 12;
/// Upper bound of times in seconds (exclusive). Longer times are malformed.
const MAX_TIME_S: f64 = 1e12;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Parses a finite number.
pub(crate) fn parse_number(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|number| number.is_finite())
}

/// Parses a time in seconds into whole microseconds.
///
/// The result is exact for a plain decimal with at most six decimal places, and rounded for any
/// other notation.
pub(crate) fn parse_micros(text: &str) -> Option<u64> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
    if is_plain_decimal(whole, fraction) {
        return exact_micros(whole, fraction);
    }
    let seconds = parse_number(text).filter(|seconds| (0.0..MAX_TIME_S).contains(seconds))?;
    Some((seconds * MICROS_PER_SECOND as f64).round() as u64)
}

fn is_plain_decimal(whole: &str, fraction: &str) -> bool {
    let has_digits_only = |text: &str| text.bytes().all(|byte| byte.is_ascii_digit());
    let has_supported_length =
        (1..=MAX_WHOLE_DIGITS).contains(&whole.len()) && fraction.len() <= MICRO_DIGITS;
    has_supported_length && has_digits_only(whole) && has_digits_only(fraction)
}

fn exact_micros(whole: &str, fraction: &str) -> Option<u64> {
    let mut micros: u64 = whole.parse().ok()?;
    for place in 0..MICRO_DIGITS {
        let digit = fraction.as_bytes().get(place).map_or(0, |byte| byte - b'0');
        micros = micros * 10 + u64::from(digit);
    }
    Some(micros)
}

/// A time in microseconds, displayed in the protocol's format: seconds with six decimal places.
pub(crate) struct Seconds(pub(crate) u64);

impl std::fmt::Display for Seconds {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let whole = self.0 / MICROS_PER_SECOND;
        let fraction = self.0 % MICROS_PER_SECOND;
        write!(out, "{whole}.{fraction:06}")
    }
}
