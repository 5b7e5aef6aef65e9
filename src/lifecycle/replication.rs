//! Commands in the router's other processes: forwards the commands of operators to them, executes
//! the commands that they forward, and hands the maintenance state to a process that connects.
//!
//! Every process holds the whole maintenance state. A command is confirmed once each connected
//! process that serves clients has it in effect and on disk. A process that connects is registered
//! in the same step in which its copy of the state is taken, so each command is either part of the
//! copy or forwarded. A process that does not serve yet gets all commands ahead of the
//! acknowledgement of its takeover, so no command waits for it.

use std::time::Duration;

use tracing::{info, warn};

use super::adoption::missing_commands;
use super::change::ServerCheck;
use super::peers::{Confirmations, PeerId, PeerState, RegisteredPeer};
use super::{AdminCommand, AdminError, CommandId, Lifecycle, Maintenance};
use crate::ops::maintenance_state::MaintenanceState;

/// How long an operator's command waits until the state is on disk, retries included. Operators
/// wait one second for an answer.
const PERSIST_TIMEOUT: Duration = Duration::from_millis(700);
/// How long an operator's command waits for the confirmations of all peers together. Operators wait
/// one second for an answer.
const PEER_CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a command that a peer forwarded waits until the state is on disk and the other peers
/// have confirmed it. Shorter than [`PEER_CONFIRMATION_TIMEOUT`], so that the peer receives the
/// answer in time.
const FORWARDED_COMMAND_TIMEOUT: Duration = Duration::from_millis(400);

impl Lifecycle {
    /// Executes an operator's command that changes the maintenance state.
    pub(super) async fn execute_change(&self, command: AdminCommand) -> Result<String, AdminError> {
        let id = CommandId::random();
        let mut maintenance = self.maintenance.lock().await;
        let change = self
            .apply(&mut maintenance.state, &command, ServerCheck::Required)
            .await?;
        let confirmations = self.forward(&mut maintenance, &command, id, None);
        drop(maintenance);
        // the change is in effect in this process, so the peers get it even if the write fails
        let (persisted, confirmed) = tokio::join!(
            self.persist(change.version, PERSIST_TIMEOUT),
            confirmations.wait(PEER_CONFIRMATION_TIMEOUT)
        );
        persisted?;
        if needs_peers(&command) && !confirmed {
            return Err(AdminError::PeerUnreachable);
        }
        Ok(change.message)
    }

    /// Executes a command that the peer `from` forwarded. Returns whether the command is in effect
    /// and persisted in this process and in all of its other peers.
    pub async fn execute_for_peer(
        &self,
        command: AdminCommand,
        id: CommandId,
        from: PeerId,
    ) -> bool {
        let result = self.execute_forwarded(&command, id, from).await;
        if let Err(error) = &result {
            warn!("the command {command:?}, forwarded by a peer, failed: {error}");
        }
        result.is_ok()
    }

    async fn execute_forwarded(
        &self,
        command: &AdminCommand,
        id: CommandId,
        from: PeerId,
    ) -> Result<(), AdminError> {
        let mut maintenance = self.maintenance.lock().await;
        if maintenance.recent_commands.contains(id) {
            return Ok(());
        }
        let change = self
            .apply(&mut maintenance.state, command, ServerCheck::DoneByPeer)
            .await?;
        let confirmations = self.forward(&mut maintenance, command, id, Some(from));
        drop(maintenance);
        let (persisted, confirmed) = tokio::join!(
            self.persist(change.version, FORWARDED_COMMAND_TIMEOUT),
            confirmations.wait(FORWARDED_COMMAND_TIMEOUT)
        );
        persisted?;
        if needs_peers(command) && !confirmed {
            return Err(AdminError::PeerUnreachable);
        }
        Ok(())
    }

    /// Forwards a command to all peers but `from`. `maintenance` is locked since the command was
    /// applied, so the peers get the commands in the order in which this process applied them.
    fn forward(
        &self,
        maintenance: &mut Maintenance,
        command: &AdminCommand,
        id: CommandId,
        from: Option<PeerId>,
    ) -> Confirmations {
        maintenance.recent_commands.record(id);
        self.peers.forward(command, id, from)
    }

    /// Registers another process of the router, and returns the maintenance state that it needs,
    /// with its times in wall-clock time. Later commands are forwarded to it until
    /// [`Lifecycle::unregister_peer`] is called.
    pub async fn register_peer(&self, state: PeerState) -> (RegisteredPeer, MaintenanceState) {
        let maintenance = self.maintenance.lock().await;
        (
            self.peers.add(state),
            self.on_wall_clock(&maintenance.state),
        )
    }

    /// Records that a peer serves clients from now on.
    pub fn peer_serves(&self, id: PeerId) {
        self.peers.set_serving(id);
    }

    /// Removes a peer that has exited.
    pub fn unregister_peer(&self, id: PeerId) {
        self.peers.remove(id);
    }

    /// Takes over what the maintenance state of a predecessor has and this process lacks. The times
    /// of `theirs` are in wall-clock time.
    pub async fn adopt(&self, theirs: &MaintenanceState) {
        let mut maintenance = self.maintenance.lock().await;
        let ours = self.on_wall_clock(&maintenance.state);
        for command in missing_commands(&ours, theirs) {
            info!("the predecessor process has executed {command:?}; executing it here");
            let applied = self
                .apply(&mut maintenance.state, &command, ServerCheck::DoneByPeer)
                .await;
            if let Err(error) = applied {
                warn!("the command {command:?} of the predecessor process failed: {error}");
            }
        }
    }
}

/// Whether a command may only be confirmed once the peers have executed it. A peer that restores a
/// model server late does no harm; one that excludes it late may.
fn needs_peers(command: &AdminCommand) -> bool {
    !matches!(command, AdminCommand::Enable(_))
}
