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
    /// The maximum number of requests in flight; further requests are rejected.
    pub max_requests_in_flight: usize,
    /// The maximum time from the creation of an attempt to its first byte. An attempt that is later
    /// than this is not sent.
    pub attempt_start_timeout: Duration,
    /// Starts upstreams.
    pub connector: Box<dyn Connector>,
    /// The mailbox of the discovery actor.
    pub discovery: mpsc::Sender<DiscoveryCommand>,
    /// Exclusions that were in effect before this process started.
    pub exclusions: Vec<(ReplicaId, Exclusion)>,
    /// The metrics of the fleet and of the requests.
    pub metrics: Arc<Metrics>,
}
