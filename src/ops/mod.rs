//! The operational state of a router: metrics, exclusions of model servers, and the maintenance
//! state that is passed on to the next process. This module does no I/O and reads no clock; callers
//! pass the time in. Operators' commands are executed by [`crate::lifecycle`].

pub mod exclusions;
pub mod maintenance_state;
pub mod metrics;
pub mod unserved_requests;
