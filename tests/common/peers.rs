//! What most tests over loopback sockets use: scripted peers, clients and a router in the same
//! thread.

#[allow(unused_imports)]
pub use super::scripted_peer::*;
