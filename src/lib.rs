//! stilespan: a request router for fleets of language-model servers.
//!
//! Decisions are made in [`policy`]: a [`Balancer`] receives everything that happens as
//! [`interface::Event`]s and returns [`interface::Action`]s; it does no I/O and reads no clock.
//! [`core`] drives it and knows no protocol; [`net`] implements the platform's; [`router`] puts
//! them together.
//!
//! An example stands in the README.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used))]

pub mod api;
mod backoff;
pub mod batch;
pub mod commands;
pub mod config;
pub mod core;
pub mod edge;
pub mod error;
pub mod identity;
pub mod interface;
pub mod inventory;
pub mod lifecycle;
mod log_limit;
pub mod logs;
mod lru;
pub mod net;
pub mod ops;
pub mod policy;
pub mod request_ids;
pub mod router;
pub mod routing;
pub mod spend;
pub mod storage;
mod system_call;

pub use policy::Balancer;

/// The README's example, as a test. Every other block there names its language (`sh`, `json`,
/// `text`): one without, or one made by indenting, would be compiled as Rust here and fail.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
pub struct Readme;
