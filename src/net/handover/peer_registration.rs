//! Registers the other process as a receiver of operators' commands.

use crate::lifecycle::{ForwardedCommand, Lifecycle, PeerId, PeerState, RegisteredPeer};
use crate::ops::maintenance_state::MaintenanceState;

/// Registration of the other process with the lifecycle, which forwards operators' commands to it.
///
/// Dropping it removes the registration.
pub(super) struct PeerRegistration<'a> {
    lifecycle: &'a Lifecycle,
    peer: RegisteredPeer,
}

impl<'a> PeerRegistration<'a> {
    /// Registers the other process. Returns the maintenance state that it needs: what is not part
    /// of it is received as a command.
    pub(super) async fn register(
        lifecycle: &'a Lifecycle,
        state: PeerState,
    ) -> (PeerRegistration<'a>, MaintenanceState) {
        let (peer, maintenance) = lifecycle.register_peer(state).await;
        (PeerRegistration { lifecycle, peer }, maintenance)
    }

    /// Identifies the other process.
    pub(super) fn id(&self) -> PeerId {
        self.peer.id
    }

    /// Records that the other process serves clients from now on, and returns the commands that
    /// were confirmed without it. It has to have them before it begins.
    pub(super) fn start_serving(&mut self) -> Vec<ForwardedCommand> {
        self.lifecycle.peer_serves(self.peer.id);
        std::iter::from_fn(|| self.peer.commands.try_recv().ok()).collect()
    }

    /// Receives the next command for the other process. Cancel safe.
    pub(super) async fn recv(&mut self) -> Option<ForwardedCommand> {
        self.peer.commands.recv().await
    }
}

impl Drop for PeerRegistration<'_> {
    fn drop(&mut self) {
        self.lifecycle.unregister_peer(self.peer.id);
    }
}
