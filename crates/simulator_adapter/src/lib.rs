//! The simulator's adapter: runs independent instances of the decision module on the simulator's
//! wire. Batches of events come line by line, and one reply with the actions of all instances
//! answers each batch. The adapter itself decides nothing.
//!
//! - [`MessageReader`] parses a line into a [`Message`]: `field` splits it into named values,
//!   `event` and `endpoint_sheets` read the messages that become events.
//! - `reply` writes the actions.
//! - [`run`] owns the instances and passes batches through them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used))]

mod endpoint_sheets;
mod error;
mod event;
mod field;
mod instances;
mod message;
mod number;
mod reply;
mod run;

pub use error::{AdapterError, FieldError, InputProblem, LineError, MessageError, ValueProblem};
pub use message::{Message, MessageReader};
pub use run::run;
