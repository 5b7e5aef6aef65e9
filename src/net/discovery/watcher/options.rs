//! The options of the watcher of the endpoint list.

use std::time::Duration;

use tokio::sync::watch;

use crate::net::discovery::endpoint_list::EndpointList;

/// The longest delay before a poll that timed out is repeated. A change counts for this router 6 s
/// after discovery fell silent, so it must have been polled for by then: the poll's time-outs and
/// this add up to 4.75 s. Each router takes a part of it, so that routers whose polls timed out
/// together don't repeat them together.
pub const MAX_TIMEOUT_RETRY_DELAY: Duration = Duration::from_millis(750);

/// The options of the watcher.
pub struct Options {
    /// Discovery's address.
    pub address: String,
    /// The revision of the list in the configuration.
    pub revision: u64,
    /// The names of the zones, in the order of their numbers.
    pub localities: Vec<String>,
    /// Poll from the start, without a command: the predecessor process was polling.
    pub poll_at_start: bool,
    /// An agent next to the router has the list pushed to it, and its changes count at once: poll
    /// from the start, and again after each failure without a command.
    pub pushed: bool,
    /// The delay before a poll that timed out is repeated, up to [`MAX_TIMEOUT_RETRY_DELAY`].
    pub timeout_retry_delay: Duration,
    /// Where the current list is published for a successor process, if one can come.
    pub snapshot: Option<watch::Sender<Option<EndpointList>>>,
}
