//! stilespan: a request router for fleets of language-model servers.
//!
//! A client's request arrives at a front end: [`net`] (the platform's protocol), [`edge`] (the
//! public chat API, with [`identity`], [`routing`] and [`spend`]) or [`batch`] (the public batch
//! API). The front end submits it to [`core`], which owns all requests in flight and their
//! attempts. The core passes [`interface::Event`]s to the decision module, [`policy`], and
//! executes the [`interface::Action`]s that its [`Balancer`] returns, through the upstream
//! connections of [`net`].
//!
//! The decision module does no I/O and reads no clock, so equal events produce equal actions. The
//! core doesn't depend on any wire protocol. [`router`] assembles the parts, [`lifecycle`] executes
//! operators' commands, and [`ops`] holds the state that these commands read and change.
//!
//! The README has an example.
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
pub mod memory;
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

/// Compiles and runs the README's example as a doc test. All other code blocks there must state
/// their language (`sh`, `json`, `text`): a block without one and an indented block would be
/// compiled as Rust, and fail.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
pub struct Readme;
