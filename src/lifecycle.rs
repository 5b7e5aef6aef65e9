//! The router's lifecycle: ready, draining, replaced, shutting down. Executes operators' commands,
//! from the operators' address and from peer processes, and owns the maintenance state. Before a
//! command is confirmed, the state is on disk and the router's other processes have executed the
//! command; only restoring a model server does not require the latter (`replication`). The core
//! chooses the model server for a request; [`crate::ops::maintenance_state`] defines the format of
//! the file.

mod adoption;
mod change;
mod command;
mod command_id;
mod peers;
mod replication;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::{Mutex, watch};
use tracing::info;

use crate::core::{Clock, CoreHandle, MaintenanceAction};
use crate::interface::ReplicaId;
use crate::ops::exclusions::Exclusion;
use crate::ops::maintenance_state::MaintenanceState;
use crate::storage::{AtomicFile, BackgroundWriter, Disk, Version};

pub use command::{AdminCommand, AdminError};
pub use command_id::CommandId;
pub use peers::{ForwardedCommand, PeerId, PeerState, RegisteredPeer};

use change::{AppliedChange, ServerCheck};
use command_id::RecentCommands;
use peers::Peers;

/// When the router started draining; `None` while it accepts clients.
pub type DrainingSince = Option<Instant>;

/// Executes operators' commands and owns the maintenance state.
pub struct Lifecycle {
    core: CoreHandle,
    draining: watch::Sender<DrainingSince>,
    /// Locked while a command is applied, so that the states are written, and the commands are
    /// forwarded, in the order of the commands.
    maintenance: Mutex<Maintenance>,
    /// Writes the maintenance state to its file; `None` if this process can have no successor.
    writer: Option<BackgroundWriter>,
    clock: Clock,
    is_serving: AtomicBool,
    peers: Peers,
}

/// The maintenance state, and the commands that changed it last.
struct Maintenance {
    state: MaintenanceState,
    recent_commands: RecentCommands,
}

impl Lifecycle {
    /// Creates the lifecycle with the maintenance state of an earlier process, whose times must
    /// have been converted to `clock`. The listeners watch `draining`. `is_serving`: whether this
    /// process serves from the start because it has no predecessor. Must be called within a Tokio
    /// runtime, which runs the writer of `file`.
    pub fn new(
        core: CoreHandle,
        draining: watch::Sender<DrainingSince>,
        maintenance: MaintenanceState,
        file: Option<PathBuf>,
        clock: Clock,
        is_serving: bool,
    ) -> Arc<Lifecycle> {
        if maintenance.is_drained {
            draining.send_replace(Some(Instant::now()));
            core.metrics().set_drained(true);
        }
        let start_writer = |path| BackgroundWriter::start(AtomicFile::new(path), Arc::new(Disk));
        Arc::new(Lifecycle {
            core,
            draining,
            maintenance: Mutex::new(Maintenance {
                state: maintenance,
                recent_commands: RecentCommands::default(),
            }),
            writer: file.map(start_writer),
            clock,
            is_serving: is_serving.into(),
            peers: Peers::default(),
        })
    }

    /// Executes an operator's command in this process and in the router's other processes. Returns
    /// the text for the operator.
    pub async fn execute(&self, command: AdminCommand) -> Result<String, AdminError> {
        match command {
            AdminCommand::Ready if self.is_ready() => Ok("ready\n".into()),
            AdminCommand::Ready => Err(AdminError::NotReady),
            AdminCommand::Metrics => Ok(self.core.metrics().encode()),
            command => self.execute_change(command).await,
        }
    }

    /// Applies a command to the maintenance state, and submits the new state to the writer.
    async fn apply(
        &self,
        maintenance: &mut MaintenanceState,
        command: &AdminCommand,
        check: ServerCheck,
    ) -> Result<AppliedChange, AdminError> {
        let message = match command {
            AdminCommand::Disable(name) => {
                let action = MaintenanceAction::Exclude;
                maintenance.exclusions = self.maintain_server(name, action, check).await?;
                format!("{name} is left out\n")
            }
            AdminCommand::Enable(name) => {
                let action = MaintenanceAction::Restore;
                maintenance.exclusions = self.maintain_server(name, action, check).await?;
                format!("{name} is put back\n")
            }
            _ => {
                maintenance.is_drained = *command == AdminCommand::Drain;
                self.set_draining(maintenance.is_drained).into()
            }
        };
        let version = self.submit(maintenance);
        Ok(AppliedChange { message, version })
    }

    /// Submits the state to the writer. `None` if it is not written: until this process serves, its
    /// predecessor writes the file, which an older state must not overwrite.
    fn submit(&self, maintenance: &MaintenanceState) -> Option<Version> {
        let writer = self.writer.as_ref()?;
        let is_serving = self.is_serving.load(Ordering::Relaxed);
        is_serving.then(|| writer.submit(self.on_wall_clock(maintenance).to_text()))
    }

    /// Excludes or restores a model server in the core. Returns the exclusions that are then in
    /// effect.
    async fn maintain_server(
        &self,
        name: &str,
        action: MaintenanceAction,
        check: ServerCheck,
    ) -> Result<Vec<Exclusion>, AdminError> {
        let is_validated = check == ServerCheck::DoneByPeer;
        let exclusions = self
            .core
            .maintain(ReplicaId::from_name(name), name, action, is_validated)
            .await?;
        Ok(exclusions)
    }

    /// Starts or ends draining. Returns the text for the operator.
    fn set_draining(&self, is_draining: bool) -> &'static str {
        let changed = self.draining.send_if_modified(|since| {
            let changes = since.is_some() != is_draining;
            if changes {
                *since = is_draining.then(Instant::now);
            }
            changes
        });
        self.core.metrics().set_drained(is_draining);
        let message = if is_draining {
            "drained\n"
        } else {
            "taking clients\n"
        };
        if changed {
            info!("{}", message.trim_end());
        }
        message
    }

    /// Waits until a version of the maintenance state is on disk. The writer continues its retries
    /// after an error is returned here.
    async fn persist(&self, version: Option<Version>, within: Duration) -> Result<(), AdminError> {
        let (Some(writer), Some(version)) = (&self.writer, version) else {
            return Ok(());
        };
        writer
            .wait_written(version, within)
            .await
            .map_err(AdminError::NotPersisted)
    }

    /// Converts the times of the state from this process's clock to wall-clock time, because other
    /// processes don't have this process's clock.
    fn on_wall_clock(&self, maintenance: &MaintenanceState) -> MaintenanceState {
        maintenance
            .clone()
            .on_clock(self.clock.time_at(Instant::now()), self.clock.wall_time())
    }

    /// Whether clients may connect to this process: an endpoint list has arrived and no predecessor
    /// serves any more.
    fn is_ready(&self) -> bool {
        self.has_endpoint_list() && self.is_serving.load(Ordering::Relaxed)
    }

    /// Whether an endpoint list has arrived.
    pub fn has_endpoint_list(&self) -> bool {
        self.core.load().is_ready()
    }

    /// Marks this process as serving, after the takeover from its predecessor. From now on it writes
    /// the file.
    pub async fn set_serving(&self) {
        let maintenance = self.maintenance.lock().await;
        if !self.is_serving.swap(true, Ordering::Relaxed) {
            self.submit(&maintenance.state);
        }
    }

    /// Records in the metrics whether a successor has taken over.
    pub fn set_succeeded(&self, has_successor: bool) {
        self.core.metrics().set_succeeded(has_successor);
    }
}

#[cfg(test)]
mod tests;
