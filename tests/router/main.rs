//! Attempts at model servers over loopback sockets, each with scripted peers: one test for each
//! failure met or guarded against.

#[path = "../common/mod.rs"]
mod common;

mod connections;
mod malformed_responses;
mod retries;
mod streams;
