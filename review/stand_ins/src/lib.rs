//! Stand-ins for the cases under `review/`: the platform that starts a router, model servers and
//! clients. Written from the protocol pages, with the standard library alone. All addresses are
//! loopback addresses.

pub mod case;
pub mod http;
pub mod json;
pub mod model_server;
pub mod platform;
mod process;
pub mod router;
