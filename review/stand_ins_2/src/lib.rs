//! Stand-ins for the cases 6 to 10 of the review, written from the protocol pages, with the standard
//! library alone: model servers, discovery, clients, and the part of the platform that starts and
//! ends routers. Everything listens on loopback addresses and free ports.

pub mod case;
pub mod client;
pub mod discovery;
pub mod http;
pub mod model_server;
pub mod router;

pub use case::{Case, Verdict};
pub use client::{Load, Reply, call};
pub use discovery::{Discovery, Member, Phase};
pub use model_server::ModelServer;
pub use router::{Launch, Platform, Router};
