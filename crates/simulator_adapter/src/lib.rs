//! Runs independent instances of the decision module on the simulator's line protocol.
//!
//! The adapter reads batches of events, one message per line, and answers each batch with one reply
//! that contains the actions of all instances. All decisions come from the decision module.
//!
//! - [`MessageReader`] parses a line into a [`Message`]: `field` splits the line into named values,
//!   `event` parses the messages that carry events, and `endpoint_sheets` parses endpoint lists.
//! - `reply` formats the actions.
//! - [`run`] owns the instances and passes each batch to them.
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
