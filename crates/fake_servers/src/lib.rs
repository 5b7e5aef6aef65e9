//! Fake model servers for the tests, benches and examples of stilespan, written from the public
//! specification of their API. They listen on loopback addresses, log the attempts that reach
//! them, and produce the faults that a test sets. The router itself never depends on this crate.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod http;
pub mod load_reports;
pub mod model_server;
pub mod report_fault;
pub mod request_log;

pub use load_reports::{LoadReporter, ReportAnswer, ReportTiming};
pub use model_server::{Adapter, Fault, ModelServer, ResponseDefect, ServerOptions};
pub use report_fault::ReportFault;
pub use request_log::{Attempt, AttemptState, RequestLog};
