//! The public API over loopback sockets: models, keys and budgets, with fake model servers that
//! fail.

#[path = "../common/mod.rs"]
mod common;

mod adapters;
mod batches;
mod budgets;
mod chat;
mod config_errors;
mod config_files;
mod fallback;
mod fixture;
mod keys;
mod postponed_lines;
mod recovery;
mod reload;
mod revoked_key;
