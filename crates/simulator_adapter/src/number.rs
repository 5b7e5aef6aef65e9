//! Numbers as the wire has them: decimals, with times in seconds.

/// Decimal places of whole microseconds.
const MICRO_DIGITS: usize = 6;
/// The most digits before the decimal point of a time that is parsed exactly.
const MAX_WHOLE_DIGITS: usize = 12;
/// Times from this on are malformed, in seconds.
const MAX_TIME_S: f64 = 1e12;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A finite number.
pub(crate) fn parse_number(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|number| number.is_finite())
}

/// A time in seconds as whole microseconds: exact where it is a plain decimal with at most six
/// places, rounded in any other notation.
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
    let fits = (1..=MAX_WHOLE_DIGITS).contains(&whole.len()) && fraction.len() <= MICRO_DIGITS;
    fits && has_digits_only(whole) && has_digits_only(fraction)
}

fn exact_micros(whole: &str, fraction: &str) -> Option<u64> {
    let mut micros: u64 = whole.parse().ok()?;
    for place in 0..MICRO_DIGITS {
        let digit = fraction.as_bytes().get(place).map_or(0, |byte| byte - b'0');
        micros = micros * 10 + u64::from(digit);
    }
    Some(micros)
}

/// Microseconds, displayed as the wire has times: in seconds with six places.
pub(crate) struct Seconds(pub(crate) u64);

impl std::fmt::Display for Seconds {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let whole = self.0 / MICROS_PER_SECOND;
        let fraction = self.0 % MICROS_PER_SECOND;
        write!(out, "{whole}.{fraction:06}")
    }
}
