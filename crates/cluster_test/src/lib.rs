//! Runs a cluster of routers for tests: several real processes of the program, fake model servers
//! and a fake discovery service, with a fault-injecting relay on every link between them.
//!
//! A [`Scenario`] is read from TOML; the same seed always gives the same schedule of faults.
//! [`run_scenario`] runs it and returns a [`RunRecord`], which can be written as JSON;
//! [`check::violations`] checks that record. The record contains only what the fake servers and the
//! clients observed, never what the routers report about themselves. All addresses are loopback
//! addresses, and all processes end with the run.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod check;
mod clients;
mod cluster;
pub mod discovery;
mod error;
pub mod injection;
mod link;
mod process;
mod record;
mod router_config;
mod run;
mod scenario;

pub use error::ClusterError;
pub use link::Link;
pub use process::RouterProcess;
pub use record::{AttemptRecord, DrainNotification, RequestOutcome, RequestRecord, RunRecord};
pub use router_config::router_config;
pub use run::run_scenario;
pub use scenario::{Action, LinkFault, PlannedStep, Scenario, ScheduledStep, Target};
