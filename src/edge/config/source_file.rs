//! The text of a configuration file, for errors that name the line.

use std::ops::{Range, RangeInclusive};
use std::path::Path;

use jiff::tz::TimeZone;
use serde::de::DeserializeOwned;
use toml::Spanned;

use super::problem::Problem;
use crate::config::ConfigError;

/// A file that is being read.
pub(super) struct SourceFile<'a> {
    pub(super) path: &'a Path,
    pub(super) text: &'a str,
}

impl SourceFile<'_> {
    /// The error for a problem at a place of the text, a range of bytes.
    pub(super) fn error(&self, byte_range: Range<usize>, problem: Problem) -> ConfigError {
        let before = self.text.get(..byte_range.start).unwrap_or_default();
        let line = 1 + before.bytes().filter(|byte| *byte == b'\n').count();
        ConfigError::malformed(self.path, format!("line {line}: {problem}"))
    }

    /// The file's values.
    pub(super) fn parse<T: DeserializeOwned>(&self) -> Result<T, ConfigError> {
        toml::from_str(self.text).map_err(|error| {
            let byte_range = error.span().unwrap_or_default();
            self.error(byte_range, Problem::Syntax(error))
        })
    }

    /// The time zone of a name, or the default where there is none.
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

    /// A number if it is in range.
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

    /// A count from 1 to `max`, or the default where there is none.
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
