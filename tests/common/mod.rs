//! Helpers for the integration tests of the decision module alone ([`test_router`], [`builders`],
//! [`fleet`]), of the core with a scripted connector, and of the router over loopback sockets
//! ([`peers`]).
#![allow(dead_code)]

pub mod batch_program;
pub mod builders;
pub mod bystander;
pub mod client;
pub mod counting_allocator;
pub mod edge_router;
pub mod fleet;
pub mod folder;
pub mod injected;
pub mod low_memory;
pub mod memory_peak;
pub mod peers;
pub mod persistent;
pub mod platform;
pub mod process;
pub mod random_events;
pub mod requests;
pub mod responses;
pub mod router;
pub mod rule_model;
pub mod running_core;
pub mod scripted_core;
pub mod scripted_peer;
pub mod test_router;
pub mod wait;

#[allow(unused_imports)]
pub use builders::*;
#[allow(unused_imports)]
pub use test_router::*;
