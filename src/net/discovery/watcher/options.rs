//! The options of the watcher of the endpoint list.

use std::time::Duration;

use tokio::sync::{mpsc, watch};

use crate::net::discovery::endpoint_list::EndpointList;

/// Maximum delay before a poll that timed out is repeated. A change applies to this router 6 s
/// after discovery stopped responding, so the router must have polled again by then: the poll's
/// timeouts and this delay add up to 4.75 s. Each router uses a fraction of this delay, so that
/// routers whose polls timed out at the same time don't repeat them at the same time.
pub const MAX_TIMEOUT_RETRY_DELAY: Duration = Duration::from_millis(750);

/// The options of the watcher.
pub struct Options {
    /// The address of discovery.
    pub address: String,
    /// The revision of the list in the configuration.
    pub revision: u64,
    /// The names of the zones, in the order of their numbers.
    pub localities: Vec<String>,
    /// Poll from the start, without a command, because the predecessor process was polling.
    pub poll_at_start: bool,
    /// The list is pushed to an agent next to the router, and changes apply immediately. The
    /// watcher polls from the start, and polls again after each failure without a command.
    pub pushed: bool,
    /// The delay before a poll that timed out is repeated, up to [`MAX_TIMEOUT_RETRY_DELAY`].
    pub timeout_retry_delay: Duration,
    /// Publishes the current list for a successor process, if one can connect.
    pub publisher: Option<watch::Sender<Option<EndpointList>>>,
    /// Receives the lists of the predecessor process.
    pub predecessor_lists: mpsc::Receiver<EndpointList>,
}
