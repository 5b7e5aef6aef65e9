//! Estimators: they turn samples of what the decision module measures into estimates, and decide
//! nothing. The modules of the parent use the estimates.
//!
//! | estimate | module |
//! | --- | --- |
//! | first-token time over prompt tokens, of one series of samples | `prefill_model` |
//! | the same of the fleet and of each kind of machine | `throughput` |
//! | decode step, as sums and of the fleet | `step_time`, `decode_steps` |
//! | a replica's slowness, by its load reports | `replica_load` |
//! | prompt tokens that a replica has cached | `prefix_cache` |
//!
//! `running_mean` is the arithmetic that they share.

pub mod decode_steps;
pub mod prefill_model;
pub mod prefix_cache;
pub mod replica_load;
pub mod running_mean;
pub mod step_time;
pub mod throughput;
