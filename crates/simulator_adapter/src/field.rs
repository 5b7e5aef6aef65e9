//! The fields of a message: `name=value`, separated by one space.

use stilespan::config::quote;

use crate::error::{FieldError, ValueProblem};
use crate::number::{parse_micros, parse_number};

/// Maximum number of fields in a message. The longest message of the protocol has half as many.
const MAX_FIELDS: usize = 24;
/// The field whose value extends to the end of the line and may contain spaces.
const REST_OF_LINE_FIELD: &str = "config";
/// Number of hexadecimal digits in a 64-bit number.
const HEX_DIGITS: usize = 16;

/// The fields of one message, borrowed from its line.
pub(crate) struct Fields<'a> {
    pairs: [(&'a str, &'a str); MAX_FIELDS],
    count: usize,
}

impl<'a> Fields<'a> {
    /// Splits the part of a line after the message's name into fields.
    pub(crate) fn parse(mut rest: &'a str) -> Result<Fields<'a>, FieldError> {
        let mut fields = Fields {
            pairs: [("", ""); MAX_FIELDS],
            count: 0,
        };
        while !rest.is_empty() {
            let (name, tail) = rest
                .split_once('=')
                .filter(|(name, _)| !name.is_empty() && !name.contains(' '))
                .ok_or_else(|| FieldError::Malformed(quote(rest)))?;
            let (value, tail) = match name {
                REST_OF_LINE_FIELD => (tail, ""),
                _ => tail.split_once(' ').unwrap_or((tail, "")),
            };
            fields.push(name, value)?;
            rest = tail;
        }
        Ok(fields)
    }

    fn push(&mut self, name: &'a str, value: &'a str) -> Result<(), FieldError> {
        if self.get(name).is_some() {
            return Err(FieldError::Duplicate(name.to_string()));
        }
        let pair = self.pairs.get_mut(self.count).ok_or(FieldError::TooMany)?;
        *pair = (name, value);
        self.count += 1;
        Ok(())
    }

    /// The value of a field, if the message has it.
    pub(crate) fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs[..self.count]
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, value)| *value)
    }

    /// The value of a required field.
    pub(crate) fn require(&self, name: &'static str) -> Result<&'a str, FieldError> {
        self.get(name).ok_or(FieldError::Missing(name))
    }

    /// A required whole number.
    pub(crate) fn integer<T: TryFrom<u64>>(&self, name: &'static str) -> Result<T, FieldError> {
        let text = self.require(name)?;
        text.parse::<u64>()
            .ok()
            .filter(|_| !text.starts_with('+'))
            .and_then(|number| T::try_from(number).ok())
            .ok_or_else(|| invalid_value(name, text, ValueProblem::NotInteger))
    }

    /// A whole number, if the message has the field.
    pub(crate) fn optional_integer<T: TryFrom<u64>>(
        &self,
        name: &'static str,
    ) -> Result<Option<T>, FieldError> {
        self.get(name).map(|_| self.integer(name)).transpose()
    }

    /// A required time, in microseconds.
    pub(crate) fn micros(&self, name: &'static str) -> Result<u64, FieldError> {
        let text = self.require(name)?;
        parse_micros(text).ok_or_else(|| invalid_value(name, text, ValueProblem::NotTime))
    }

    /// A time in microseconds, if the message has the field.
    pub(crate) fn optional_micros(&self, name: &'static str) -> Result<Option<u64>, FieldError> {
        self.get(name).map(|_| self.micros(name)).transpose()
    }

    /// A number, if the message has the field.
    pub(crate) fn optional_number(&self, name: &'static str) -> Result<Option<f64>, FieldError> {
        let Some(text) = self.get(name) else {
            return Ok(None);
        };
        parse_number(text)
            .map(Some)
            .ok_or_else(|| invalid_value(name, text, ValueProblem::NotNumber))
    }

    /// A flag, `0` or `1`. It is not set if the message does not have the field.
    pub(crate) fn flag(&self, name: &'static str) -> Result<bool, FieldError> {
        match self.get(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(text) => Err(invalid_value(name, text, ValueProblem::NotFlag)),
        }
    }

    /// A 64-bit number in hexadecimal, if the message has the field.
    pub(crate) fn optional_hex(&self, name: &'static str) -> Result<Option<u64>, FieldError> {
        let Some(text) = self.get(name) else {
            return Ok(None);
        };
        let is_allowed = text.len() == HEX_DIGITS && !text.starts_with('+');
        u64::from_str_radix(text, 16)
            .ok()
            .filter(|_| is_allowed)
            .map(Some)
            .ok_or_else(|| invalid_value(name, text, ValueProblem::NotHex))
    }
}

/// Builds the error for a field whose value is malformed.
pub(crate) fn invalid_value(field: &'static str, value: &str, problem: ValueProblem) -> FieldError {
    FieldError::InvalidValue {
        field,
        value: quote(value),
        problem,
    }
}
