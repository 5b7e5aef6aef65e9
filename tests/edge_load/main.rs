//! Many requests at once through the edge: clients, model servers and ledger must agree to the
//! token, and invalid keys must cost nothing.

#[path = "../common/mod.rs"]
mod common;

mod config_files;
mod invalid_keys;
mod ledger_agreement;
mod load_client;
mod program;
