//! The platform's discovery service: the client that polls it, the endpoint list on its wire, and
//! the watcher that reports every change of the list to the core.
//!
//! Owns the connection to discovery, the revision that the next poll continues from, and the
//! snapshot of the list for a successor process. When the watcher polls is decided elsewhere: by
//! the decision module, through the core's commands.

mod client;
pub mod endpoint_list;
mod snapshot;
pub mod watcher;
