//! One line of a batch's input file: the request that it contains, the errors that it can end with,
//! and its outcome in the result file.

mod error;
mod outcome;
mod request;

pub use error::LineError;
pub use outcome::LineOutcome;
pub use request::{LineRequest, find_custom_id};
