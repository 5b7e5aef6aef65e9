//! Tests of the handover between processes of the compiled program that inherit the same listening
//! socket.

#[path = "../common/mod.rs"]
mod common;

mod confirmed_commands;
mod descriptors;
mod least_limits;
mod list_handover;
mod maintenance_state;
mod overtaken_process;
mod processes;
mod request_ids;
mod scripted_process;
mod takeover;
