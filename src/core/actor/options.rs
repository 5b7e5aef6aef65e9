//! The options with which the core is started.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::core::{Connector, DiscoveryCommand};
use crate::interface::{ReplicaId, Settings};
use crate::ops::exclusions::Exclusion;
use crate::ops::metrics::Metrics;

/// The options with which the core is started.
pub struct CoreOptions {
    /// The settings of the decision module.
    pub settings: Settings,
    /// The seed of the decision module's random numbers.
    pub seed: u64,
    /// The most requests in flight at once; further ones are rejected.
    pub max_requests_in_flight: usize,
    /// An attempt whose first byte was not written this long after it was ordered is not sent.
    pub attempt_start_timeout: Duration,
    /// Starts upstreams.
    pub connector: Box<dyn Connector>,
    /// The discovery actor.
    pub discovery: mpsc::Sender<DiscoveryCommand>,
    /// Exclusions that were in force before this process.
    pub exclusions: Vec<(ReplicaId, Exclusion)>,
    /// The metrics of the fleet and of the requests.
    pub metrics: Arc<Metrics>,
}
