//! Estimators, which turn the measurements of the decision module into estimates. They make no
//! decisions; the parent's modules use the estimates.
//!
//! | estimate | module |
//! | --- | --- |
//! | first-token time by prompt tokens, for one series of samples | `prefill_model` |
//! | first-token time by prompt tokens, for fleet and machine kinds | `fleet_prefill_models` |
//! | mean decode step, for one series of streams | `step_time` |
//! | decode step of the fleet | `decode_steps` |
//! | a replica's slowness, from its load reports | `replica_load` |
//! | prompt tokens that a replica has cached | `prefix_cache` |
//!
//! `running_mean` updates the exponentially weighted means that several modules share.

pub mod decode_steps;
pub mod fleet_prefill_models;
pub mod occupancy;
pub mod prefill_model;
pub mod prefix_cache;
pub mod replica_load;
pub mod running_mean;
pub mod step_time;
