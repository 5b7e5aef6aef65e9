//! The network: everything that knows sockets and HTTP. Modules go by peer.

pub mod admin;
pub mod budget;
mod catalog;
pub mod channel;
pub mod handover;
pub mod http;
pub mod list;
pub mod listener;
pub mod resolver;
mod socket_state;
pub mod subchannel;
