//! One process replaces another under load: two processes of the built program on one inherited
//! listening socket.

#[path = "../common/mod.rs"]
mod common;

mod descriptors;
mod maintenance_state;
mod processes;
mod takeover;
