//! State for the operation of a router: metrics, exclusions of model servers, and the maintenance
//! state that outlives a process. No I/O and no clock; time is passed in. The commands are executed
//! by [`crate::lifecycle`].

pub mod exclusions;
pub mod maintenance_state;
pub mod metrics;
