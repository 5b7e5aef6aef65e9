//! Errors in the input. Error messages quote text from the input in shortened form.

use std::io;

use stilespan::config::SettingsError;

/// Why the adapter stops before the end of its input.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {problem}")]
pub struct AdapterError {
    /// The line number, starting at 1.
    pub line: u64,
    /// What is wrong at this line.
    #[source]
    pub problem: InputProblem,
}

/// What is wrong at a line of the input.
#[derive(Debug, thiserror::Error)]
pub enum InputProblem {
    /// The input can't be read, or the reply can't be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The line isn't valid UTF-8.
    #[error("the line is not valid UTF-8")]
    NotUtf8,
    /// The line is malformed, or not allowed at this point.
    #[error(transparent)]
    Line(#[from] LineError),
    /// The time of the batch is before that of the previous batch.
    #[error("the time of the batch is before that of the previous batch")]
    ClockBackwards,
    /// The input ends before the batch is complete.
    #[error("the input ends before the batch is complete")]
    IncompleteBatch,
}

/// Why a line is rejected.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The entries of an endpoint list are incomplete.
    #[error("{message} received while {missing} more REPLICA lines are expected")]
    ReplicaExpected {
        /// The message's name.
        message: String,
        /// How many entries are missing.
        missing: usize,
    },
    /// A batch begins within another batch, or a message is outside of any batch.
    #[error("{0} is not allowed here: a batch starts with CLOCK and ends with EOF_BATCH")]
    UnexpectedMessage(String),
    /// The message is malformed.
    #[error("{message}: {source}")]
    Malformed {
        /// The message's name.
        message: String,
        /// What is wrong with it.
        source: MessageError,
    },
}

/// What is wrong with a message.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// A field is missing or malformed.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The protocol has no message with this name.
    #[error("unknown message")]
    UnknownMessage,
    /// The settings of an instance are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The number of an instance or a sheet is too high.
    #[error("{field}={value} must be below {limit}")]
    OutOfRange {
        /// The field's name.
        field: &'static str,
        /// Its value.
        value: usize,
        /// The lowest value that is not allowed.
        limit: usize,
    },
    /// The value of a field is not one of the values that the protocol defines for it.
    #[error("{field}={value} is not a known value")]
    UnknownValue {
        /// The field's name.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// The outcome code of an attempt or a health check is unknown.
    #[error("result={0} is not a known outcome")]
    UnknownOutcome(u64),
    /// The contents of a peer's message aren't valid base64.
    #[error("contents={value}: {source}")]
    Contents {
        /// The value of the field.
        value: String,
        /// What is wrong with it.
        source: base64::DecodeError,
    },
    /// An entry is outside of an endpoint list.
    #[error("no DIRECTORY expects this entry")]
    NoDirectory,
    /// An update refers to a sheet that has not been received.
    #[error("sheet={0} has not been received")]
    UnknownSheet(usize),
    /// Two replica names have the same id.
    #[error("replicas {0} and {1} have the same hash")]
    IdCollision(String, String),
}

/// What is wrong with the fields of a message.
#[derive(Debug, thiserror::Error)]
pub enum FieldError {
    /// The text doesn't have the form of a field.
    #[error("'{0}' is not name=value")]
    Malformed(String),
    /// A field occurs twice.
    #[error("field {0} occurs twice")]
    Duplicate(String),
    /// The message has more fields than the reader accepts.
    #[error("too many fields")]
    TooMany,
    /// A required field is missing.
    #[error("field {0} is missing")]
    Missing(&'static str),
    /// The value of a field is malformed.
    #[error("{field}={value} {problem}")]
    InvalidValue {
        /// The field's name.
        field: &'static str,
        /// Its value.
        value: String,
        /// What is wrong with it.
        problem: ValueProblem,
    },
}

/// What is wrong with a field's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ValueProblem {
    /// Not a whole number, or out of the range of the field's type.
    #[error("is not a whole number in range")]
    NotInteger,
    /// Not a finite number.
    #[error("is not a finite number")]
    NotNumber,
    /// Not a time in seconds.
    #[error("is not a time in seconds")]
    NotTime,
    /// Not a flag.
    #[error("is neither 0 nor 1")]
    NotFlag,
    /// Not a 64-bit number in hexadecimal digits.
    #[error("is not 16 hex digits")]
    NotHex,
    /// Not a list of numbers, or a list with too many numbers.
    #[error("is not a valid load report")]
    NotLoadReport,
}
