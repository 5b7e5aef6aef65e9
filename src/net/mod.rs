//! Networking: all code that uses sockets or HTTP, mostly with one module for each kind of peer.

mod accept_errors;
pub mod admin;
pub mod connection_limit;
pub mod discovery;
pub mod downstream;
pub mod handover;
pub mod http;
pub mod listener;
pub mod read_pacing;
pub mod stream;
pub mod upstream;
