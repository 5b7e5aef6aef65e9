//! The batch service over loopback sockets, in front of scripted model servers.

#[path = "../common/mod.rs"]
mod common;

mod draining;
mod interactive;
mod rejections;
mod resubmission;
mod results;
mod service;
mod stopping;
mod uploads;
