//! The watcher of the endpoint list: an actor that polls discovery when the core commands it, and
//! reports each received list to the core.
//!
//! - Polls are long polls for the changes after a revision, on one connection. Only one poll is in
//!   progress at a time, and each response is followed by the next poll.
//! - After a failed poll the core decides when to poll again, with two exceptions: the watcher
//!   itself repeats a poll that timed out unless the previous poll failed as well, and it continues
//!   after every failure if discovery pushes its list.
//! - A predecessor process tells of its lists. A newer one is adopted, and the response to a poll
//!   that was sent ahead of it is dropped if it is older.
//! - When the address changes, and after the process was suspended, the watcher drops the poll in
//!   progress and requests the complete list. The response to that poll could be minutes old, and
//!   the revisions of another service need not continue those of the old one.

mod failure_log;
mod options;
mod report;

use std::time::Duration;

use tokio::sync::mpsc;
use tracing::{info, warn};

use super::client::{DiscoveryClient, PollError, Query};
use super::current_list::CurrentList;
use super::endpoint_list::EndpointList;
use crate::core::{CoreMessage, DiscoveryCommand, EndpointsUpdate};
use crate::interface::EndpointListKind;

pub use options::{MAX_TIMEOUT_RETRY_DELAY, Options};
use report::{CoreStopped, report};

/// Delay before the next poll after a failure if discovery pushes its list. It prevents a tight
/// loop of polls when the agent refuses connections. It is short because a change applies to this
/// router as soon as the agent has received it.
const PUSH_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The next step of the watcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextStep {
    Poll,
    AwaitCommand,
}

/// How a poll ended.
enum PollEnd {
    Completed(Result<EndpointList, PollError>),
    /// The address of discovery changed.
    AddressChanged {
        address: String,
    },
    /// The process was suspended, so the response may be out of date.
    Outdated,
}

struct Watcher {
    address: String,
    list: CurrentList,
    localities: Vec<String>,
    pushed: bool,
    timeout_retry_delay: Duration,
    commands: mpsc::Receiver<DiscoveryCommand>,
    predecessor_lists: mpsc::Receiver<EndpointList>,
    core: mpsc::Sender<CoreMessage>,
    client: DiscoveryClient,
    /// Whether the next poll requests the complete list.
    resync: bool,
    consecutive_failures: u32,
    next_step: NextStep,
}

/// Runs the watcher until the core stops.
pub async fn run(
    options: Options,
    commands: mpsc::Receiver<DiscoveryCommand>,
    core: mpsc::Sender<CoreMessage>,
) {
    let mut watcher = Watcher {
        address: options.address,
        list: CurrentList::new(options.revision, options.publisher),
        localities: options.localities,
        pushed: options.pushed,
        timeout_retry_delay: options.timeout_retry_delay,
        commands,
        predecessor_lists: options.predecessor_lists,
        core,
        client: DiscoveryClient::default(),
        resync: false,
        consecutive_failures: 0,
        next_step: if options.poll_at_start || options.pushed {
            NextStep::Poll
        } else {
            NextStep::AwaitCommand
        },
    };
    while watcher.step().await.is_ok() {}
}

impl Watcher {
    async fn step(&mut self) -> Result<(), CoreStopped> {
        self.next_step = match self.next_step {
            NextStep::AwaitCommand => self.await_command().await?,
            NextStep::Poll => self.poll().await?,
        };
        Ok(())
    }

    async fn await_command(&mut self) -> Result<NextStep, CoreStopped> {
        let command = tokio::select! {
            command = self.commands.recv() => command.ok_or(CoreStopped)?,
            Some(list) = self.predecessor_lists.recv() => {
                self.adopt(list).await?;
                return Ok(NextStep::AwaitCommand);
            }
        };
        match command {
            DiscoveryCommand::Watch => {}
            DiscoveryCommand::Refresh => self.begin_resync(),
            DiscoveryCommand::ChangeAddress { address } => self.change_address(address),
        }
        Ok(NextStep::Poll)
    }

    /// Uses a list of the predecessor process if it is newer.
    async fn adopt(&mut self, list: EndpointList) -> Result<(), CoreStopped> {
        if !self.list.adopt(&list) {
            return Ok(());
        }
        let resolved = list.resolved(EndpointListKind::Complete, &self.localities);
        report(&self.core, resolved).await
    }

    async fn poll(&mut self) -> Result<NextStep, CoreStopped> {
        let polled_revision = self.list.revision();
        match self.poll_until_outdated().await? {
            PollEnd::Completed(Ok(list)) => self.apply(list, polled_revision).await?,
            PollEnd::Completed(Err(error)) => return self.handle_failure(error).await,
            PollEnd::AddressChanged { address } => self.change_address(address),
            PollEnd::Outdated => self.begin_resync(),
        }
        Ok(NextStep::Poll)
    }

    /// Polls once. Ends early on a command that makes the response useless.
    async fn poll_until_outdated(&mut self) -> Result<PollEnd, CoreStopped> {
        let query = if self.resync {
            Query::CompleteList
        } else {
            Query::ChangesAfter {
                revision: self.list.revision(),
            }
        };
        let mut client = std::mem::take(&mut self.client);
        let address = self.address.clone();
        let end = {
            let poll = client.poll(&address, query);
            tokio::pin!(poll);
            loop {
                tokio::select! {
                    biased;
                    command = self.commands.recv() => match command.ok_or(CoreStopped)? {
                        // the poll in progress already watches the list
                        DiscoveryCommand::Watch => {}
                        DiscoveryCommand::Refresh => break PollEnd::Outdated,
                        DiscoveryCommand::ChangeAddress { address } =>
                            break PollEnd::AddressChanged { address },
                    },
                    // the response still has all changes after the revision that was polled
                    Some(list) = self.predecessor_lists.recv() => self.adopt(list).await?,
                    result = &mut poll => break PollEnd::Completed(result),
                }
            }
        };
        self.client = client;
        Ok(end)
    }

    /// Uses the response to a poll that was sent when the list had the revision `polled_revision`.
    async fn apply(&mut self, list: EndpointList, polled_revision: u64) -> Result<(), CoreStopped> {
        let current_revision = self.list.revision();
        let is_older = list.revision < current_revision;
        // A response older than the current list could put a draining server back in service.
        if is_older && polled_revision < current_revision {
            info!(
                "discovery's response has revision {}, older than revision {current_revision} of \
                 the predecessor process; polling again",
                list.revision
            );
            return Ok(());
        }
        // The complete list is accepted at any revision, because the service may have restarted its
        // count of revisions.
        if is_older && !self.resync {
            warn!(
                "discovery's revision decreased from {current_revision} to {}; polling for the \
                 complete list",
                list.revision
            );
            self.resync = true;
            return Ok(());
        }
        self.consecutive_failures = 0;
        self.list.apply(&list);
        self.resync = false;
        let kind = if list.complete {
            EndpointListKind::Complete
        } else {
            EndpointListKind::Partial
        };
        report(&self.core, list.resolved(kind, &self.localities)).await
    }

    async fn handle_failure(&mut self, error: PollError) -> Result<NextStep, CoreStopped> {
        let retry_without_command =
            matches!(error, PollError::Timeout) && self.consecutive_failures == 0;
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        failure_log::log_failed_poll(&self.address, &error, self.consecutive_failures);
        if retry_without_command {
            tokio::time::sleep(self.timeout_retry_delay).await;
            return Ok(NextStep::Poll);
        }
        let failed = EndpointsUpdate {
            kind: EndpointListKind::Error,
            endpoints: Vec::new(),
        };
        report(&self.core, failed).await?;
        if !self.pushed {
            return Ok(NextStep::AwaitCommand);
        }
        tokio::time::sleep(PUSH_RETRY_DELAY).await;
        Ok(NextStep::Poll)
    }

    fn change_address(&mut self, address: String) {
        info!("discovery address changed to {address}; polling for the complete list");
        self.address = address;
        self.begin_resync();
    }

    /// Makes the next poll request the complete list on a new connection.
    fn begin_resync(&mut self) {
        self.resync = true;
        self.client = DiscoveryClient::default();
    }
}
