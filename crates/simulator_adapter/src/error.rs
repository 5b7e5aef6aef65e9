//! Why input can't be processed. Texts from the input are shortened in messages.

use std::io;

use stilespan::config::SettingsError;

/// Why the adapter stops before the end of its input.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {problem}")]
pub struct AdapterError {
    /// The number of the line, from 1.
    pub line: u64,
    /// What is wrong there.
    #[source]
    pub problem: InputProblem,
}

/// What is wrong at a line.
#[derive(Debug, thiserror::Error)]
pub enum InputProblem {
    /// Input can't be read, or the reply can't be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The line isn't UTF-8.
    #[error("not UTF-8")]
    NotUtf8,
    /// The line is malformed, or out of place.
    #[error(transparent)]
    Line(#[from] LineError),
    /// The clock is behind that of the batch before.
    #[error("the clock runs backwards")]
    ClockBackwards,
    /// The input ends before the batch does.
    #[error("the input ends within a batch")]
    IncompleteBatch,
}

/// Why a line can't be accepted.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The entries of an endpoint list are incomplete.
    #[error("{message} where {missing} REPLICA lines are due")]
    ReplicaExpected {
        /// The message's name.
        message: String,
        /// How many entries are missing.
        missing: usize,
    },
    /// A batch begins within another, or a message stands outside of a batch.
    #[error("{0} out of place: a batch is CLOCK to EOF_BATCH")]
    OutOfPlace(String),
    /// The message itself is wrong.
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
    /// No message has this name.
    #[error("no such message")]
    UnknownMessage,
    /// The settings of an instance can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The number of an instance or a sheet is too high.
    #[error("{field}={value} is not below {limit}")]
    OutOfRange {
        /// The field's name.
        field: &'static str,
        /// Its value.
        value: usize,
        /// The lowest value that is not allowed.
        limit: usize,
    },
    /// A field has a value of a fixed set, but not one of those.
    #[error("{field}={value} is not known")]
    UnknownValue {
        /// The field's name.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// The code of an attempt's result is unknown.
    #[error("result={0} is no outcome")]
    UnknownOutcome(u64),
    /// A peer's message isn't base64.
    #[error("contents={value}: {source}")]
    Contents {
        /// The text.
        value: String,
        /// What is wrong with it.
        source: base64::DecodeError,
    },
    /// An entry stands outside of an endpoint list.
    #[error("no DIRECTORY is open")]
    NoDirectory,
    /// A sheet is used before it is filled.
    #[error("sheet={0} was never given")]
    UnknownSheet(usize),
    /// Two replicas can't be told apart by their ids.
    #[error("{0} and {1} have the same hash")]
    IdCollision(String, String),
}

/// What is wrong with the fields of a message.
#[derive(Debug, thiserror::Error)]
pub enum FieldError {
    /// The text isn't a field.
    #[error("'{0}' is not name=value")]
    Malformed(String),
    /// A field is there twice.
    #[error("{0} is given twice")]
    Duplicate(String),
    /// The message has more fields than any message needs.
    #[error("too many fields")]
    TooMany,
    /// A required field isn't there.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A field has a value of another form.
    #[error("{field}={value} {problem}")]
    Value {
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
    /// Not a whole number, or one beyond the field's type.
    #[error("is no whole number in range")]
    NotInteger,
    /// Not a finite number.
    #[error("is no number")]
    NotNumber,
    /// Not a time in seconds.
    #[error("is no time")]
    NotTime,
    /// Not a flag.
    #[error("is neither 0 nor 1")]
    NotFlag,
    /// Not a 64-bit number in hexadecimal digits.
    #[error("is not 16 hex digits")]
    NotHex,
    /// Not a list of numbers, or one with too many.
    #[error("is no load report")]
    NotLoadReport,
}
