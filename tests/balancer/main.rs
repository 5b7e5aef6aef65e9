//! The decision module as one balancer: its events and actions, against figures worked out by hand.

#[path = "../common/mod.rs"]
mod common;

mod admission;
mod dispatch;
mod events;
mod prefill;
mod replicas;
mod retries;
