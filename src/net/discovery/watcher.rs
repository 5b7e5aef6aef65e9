//! The watcher of the endpoint list: an actor that polls discovery when the core commands it, and
//! reports each answer to the core.
//!
//! - Polls are long polls for the changes after a revision, on one connection. One is under way at
//!   a time, and each answer is followed by the next poll.
//! - After a failed poll the core decides when to poll again. Two exceptions: the first poll that
//!   times out is repeated once by the watcher itself, and where discovery pushes its list the
//!   watcher goes on after every failure.
//! - At a new address, and after the process was suspended, the poll under way is dropped and the
//!   complete list is polled for: its answer could be minutes old, and another service's revisions
//!   need not continue the old one's.

mod options;

use std::time::Duration;

use tokio::sync::mpsc;
use tracing::{debug, info, warn};

use super::client::{DiscoveryClient, PollError, Query};
use super::endpoint_list::EndpointList;
use super::snapshot::Snapshot;
use crate::core::{CoreMessage, DiscoveryCommand, EndpointsUpdate};
use crate::interface::EndpointListKind;

pub use options::{MAX_TIMEOUT_RETRY_DELAY, Options};

/// The delay before the next poll after a failure where discovery pushes its list. Keeps an agent
/// that refuses connections from being called in a tight loop; short, as a change counts for this
/// router as soon as the agent has it.
const PUSH_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The core has stopped, so nobody wants the list any more.
#[derive(Debug)]
struct CoreStopped;

/// The next step of the watcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextStep {
    Poll,
    AwaitCommand,
}

/// How a poll ended.
enum PollEnd {
    Completed(Result<EndpointList, PollError>),
    /// Discovery's address changed.
    Moved {
        address: String,
    },
    /// The process was suspended, so the answer may be out of date.
    Outdated,
}

struct Watcher {
    address: String,
    revision: u64,
    localities: Vec<String>,
    pushed: bool,
    timeout_retry_delay: Duration,
    snapshot: Snapshot,
    commands: mpsc::Receiver<DiscoveryCommand>,
    core: mpsc::Sender<CoreMessage>,
    client: DiscoveryClient,
    /// The next poll is for the complete list.
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
        revision: options.revision,
        localities: options.localities,
        pushed: options.pushed,
        timeout_retry_delay: options.timeout_retry_delay,
        snapshot: Snapshot::new(options.snapshot),
        commands,
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
        match self.commands.recv().await.ok_or(CoreStopped)? {
            DiscoveryCommand::Watch => {}
            DiscoveryCommand::Refresh => self.begin_resync(),
            DiscoveryCommand::ChangeAddress { address } => self.move_to(address),
            DiscoveryCommand::Adopt {
                version: revision,
                update: list,
            } => {
                // the next poll continues from there
                if revision > self.revision {
                    self.revision = revision;
                    report(&self.core, list).await?;
                }
                return Ok(NextStep::AwaitCommand);
            }
        }
        Ok(NextStep::Poll)
    }

    async fn poll(&mut self) -> Result<NextStep, CoreStopped> {
        match self.poll_until_outdated().await? {
            PollEnd::Completed(Ok(list)) => self.apply(list).await?,
            PollEnd::Completed(Err(error)) => return self.handle_failure(error).await,
            PollEnd::Moved { address } => self.move_to(address),
            PollEnd::Outdated => self.begin_resync(),
        }
        Ok(NextStep::Poll)
    }

    /// Polls once. A command that makes the answer useless ends the poll early.
    async fn poll_until_outdated(&mut self) -> Result<PollEnd, CoreStopped> {
        let query = if self.resync {
            Query::CompleteList
        } else {
            Query::ChangesAfter {
                revision: self.revision,
            }
        };
        let poll = self.client.poll(&self.address, query);
        tokio::pin!(poll);
        loop {
            tokio::select! {
                biased;
                command = self.commands.recv() => match command.ok_or(CoreStopped)? {
                    // the poll under way answers that as well
                    DiscoveryCommand::Watch => {}
                    DiscoveryCommand::Refresh => return Ok(PollEnd::Outdated),
                    DiscoveryCommand::ChangeAddress { address } => return Ok(PollEnd::Moved { address }),
                    // the poll still asks for all that came after its own revision
                    DiscoveryCommand::Adopt { version: revision, update: list } => if revision > self.revision {
                        report(&self.core, list).await?;
                    },
                },
                result = &mut poll => return Ok(PollEnd::Completed(result)),
            }
        }
    }

    async fn apply(&mut self, list: EndpointList) -> Result<(), CoreStopped> {
        // an answer from before the current list could put a draining server back in service; the
        // complete list is accepted at any revision, as a service may have started counting anew
        if list.revision < self.revision && !self.resync {
            warn!(
                "discovery went back from revision {} to {}; polling for the complete list",
                self.revision, list.revision
            );
            self.resync = true;
            return Ok(());
        }
        self.consecutive_failures = 0;
        self.snapshot.apply(&list);
        self.revision = list.revision;
        self.resync = false;
        let kind = if list.complete {
            EndpointListKind::Complete
        } else {
            EndpointListKind::Partial
        };
        report(&self.core, list.resolved(kind, &self.localities)).await
    }

    async fn handle_failure(&mut self, error: PollError) -> Result<NextStep, CoreStopped> {
        let repeat_at_once = matches!(error, PollError::Timeout) && self.consecutive_failures == 0;
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.log_failure(&error);
        if repeat_at_once {
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

    fn log_failure(&self, error: &PollError) {
        let Watcher {
            address,
            consecutive_failures,
            ..
        } = self;
        if is_warned_of(*consecutive_failures) {
            warn!("discovery at {address}: {error} ({consecutive_failures} polls in a row failed)");
        } else {
            debug!("discovery at {address}: {error}");
        }
    }

    fn move_to(&mut self, address: String) {
        info!("discovery moved to {address}");
        self.address = address;
        self.begin_resync();
    }

    /// The next poll is for the complete list, on a new connection.
    fn begin_resync(&mut self) {
        self.resync = true;
        self.client = DiscoveryClient::default();
    }
}

async fn report(
    core: &mpsc::Sender<CoreMessage>,
    list: EndpointsUpdate,
) -> Result<(), CoreStopped> {
    core.send(CoreMessage::EndpointsUpdated(list))
        .await
        .map_err(|_| CoreStopped)
}

/// Whether a failure is logged as a warning: the 1st, 2nd, 4th, 8th in a row and so on. An agent
/// that refuses connections is polled every [`PUSH_RETRY_DELAY`] and would fill the log otherwise.
fn is_warned_of(consecutive_failures: u32) -> bool {
    consecutive_failures.is_power_of_two()
}

#[cfg(test)]
mod tests;
