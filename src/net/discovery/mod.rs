//! Access to the platform's discovery service: the client that polls it, the format of its endpoint
//! list, and the watcher that reports every change of the list to the core.
//!
//! Owns the connection to discovery, and the list with its revision, after which the next poll
//! requests changes and which a successor process gets. The decision module decides when the
//! watcher polls, through commands from the core.

mod client;
mod current_list;
pub mod endpoint_list;
pub mod watcher;
