//! The text of a configuration file, and helpers whose errors name the line.

use std::ops::{Range, RangeInclusive};
use std::path::Path;

use jiff::tz::TimeZone;
use serde::de::DeserializeOwned;
use toml::Spanned;

use super::problem::Problem;
use crate::config::ConfigError;

/// A configuration file that is being parsed.
pub(super) struct SourceFile<'a> {
    pub(super) path: &'a Path,
    pub(super) text: &'a str,
}

impl SourceFile<'_> {
    /// Builds the error for a problem at a byte range of the text.
    pub(super) fn error(&self, byte_range: Range<usize>, problem: Problem) -> ConfigError {
        let before = self.text.get(..byte_range.start).unwrap_or_default();
        let line = 1 + before.bytes().filter(|byte| *byte == b'\n').count();
        ConfigError::malformed(self.path, format!("line {line}: {problem}"))
    }

    /// Parses the file as TOML.
    pub(super) fn parse<T: DeserializeOwned>(&self) -> Result<T, ConfigError> {
        toml::from_str(self.text).map_err(|error| {
            let byte_range = error.span().unwrap_or_default();
            self.error(byte_range, Problem::Syntax(error))
        })
    }

    /// The time zone with this name, or the default if there is no name.
    pub(super) fn time_zone(
        &self,
        name: Option<&Spanned<String>>,
        default: &TimeZone,
    ) -> Result<TimeZone, ConfigError> {
        let Some(name) = name else {
            return Ok(default.clone());
        };
        TimeZone::get(name.get_ref()).map_err(|_| {
            let problem = Problem::UnknownTimeZone(name.get_ref().clone());
            self.error(name.span(), problem)
        })
    }

    /// Returns a number if it is within the range.
    pub(super) fn number_in(
        &self,
        range: RangeInclusive<f64>,
        name: &'static str,
        number: &Spanned<f64>,
    ) -> Result<f64, ConfigError> {
        if range.contains(number.get_ref()) {
            return Ok(*number.get_ref());
        }
        let problem = Problem::OutOfRange {
            name,
            min: *range.start(),
            max: *range.end(),
        };
        Err(self.error(number.span(), problem))
    }

    /// Returns a count if it is between 1 and `max`, or the default if there is none.
    pub(super) fn count_up_to(
        &self,
        max: u32,
        count: Option<&Spanned<u32>>,
        default: u32,
        problem: Problem,
    ) -> Result<u32, ConfigError> {
        match count {
            None => Ok(default),
            Some(count) if (1..=max).contains(count.get_ref()) => Ok(*count.get_ref()),
            Some(count) => Err(self.error(count.span(), problem)),
        }
    }
}
