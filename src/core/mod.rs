//! The core: connects clients with model servers, independently of the wire protocols.
//!
//! A front end submits a [`Request`] through a [`CoreHandle`] and receives one [`Answer`]. The
//! core's actor ([`actor`]) converts messages into events for the decision module and executes the
//! actions that the decision module returns, as attempts at model servers.
//!
//! The core owns the requests in flight, their attempts and their timers. It does not own
//! connections, protocols, the source of the endpoint list, or the content of requests, and it
//! makes no routing decisions.

pub mod actor;
mod attempt_gate;
mod attempt_history;
mod client;
mod clock;
mod endpoints;
mod handle;
mod in_flight_attempt;
mod in_flight_request;
mod load;
mod messages;
mod request;
mod request_state;
pub mod stall_detector;
mod start_times;

pub use attempt_gate::{AttemptGate, StartDecision};
pub use client::Client;
pub use clock::Clock;
pub use endpoints::{Connector, DiscoveryCommand, Endpoint, EndpointsUpdate};
pub use handle::{CoreHandle, CoreStopped, MaintenanceError, PendingRequest};
pub use load::{CoreLoad, FirstTokenWaits};
pub use messages::{
    Attempt, CoreMessage, MAILBOX_CAPACITY, MaintenanceAction, MaintenanceCommand, UpstreamCommand,
};
pub use request::{
    Answer, AttemptId, AttemptResult, Chunk, MAX_BUFFERED_CHUNKS, Payload, Request,
    RequestAttributes,
};
