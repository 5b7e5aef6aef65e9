//! The router's other processes during a handover: the commands that go to them, and their
//! confirmations. The connection to a peer belongs to the handover.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use super::AdminCommand;

/// How long all peers together have to confirm a command. Operators wait a second for an answer.
pub(super) const PEER_CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(500);
/// Commands that are queued for one peer; further ones wait for space within the timeout.
const COMMAND_QUEUE_CAPACITY: usize = 16;

/// Identifies a peer among those of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerId(u64);

/// A command for a peer.
#[derive(Debug)]
pub struct ForwardedCommand {
    /// The command.
    pub command: AdminCommand,
    /// Where the peer's confirmation goes: whether the command is in effect there. Dropped
    /// unanswered when the peer exits.
    pub confirmation: oneshot::Sender<bool>,
}

/// A peer as it is registered.
pub struct RegisteredPeer {
    /// Identifies it.
    pub id: PeerId,
    /// The commands for it.
    pub commands: mpsc::Receiver<ForwardedCommand>,
}

struct Peer {
    id: PeerId,
    commands: mpsc::Sender<ForwardedCommand>,
}

/// The peers that are connected.
#[derive(Default)]
pub(super) struct Peers {
    next_id: AtomicU64,
    connected: Mutex<Vec<Peer>>,
}

impl Peers {
    /// Adds a peer.
    pub(super) fn add(&self) -> RegisteredPeer {
        let (commands_to, commands) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let id = PeerId(self.next_id.fetch_add(1, Ordering::Relaxed));
        self.connected().push(Peer {
            id,
            commands: commands_to,
        });
        RegisteredPeer { id, commands }
    }

    /// Removes a peer that has exited.
    pub(super) fn remove(&self, id: PeerId) {
        self.connected().retain(|peer| peer.id != id);
    }

    /// Sends a command to all peers; whether each of them confirmed it in time, or exited.
    pub(super) async fn execute_on_all(&self, command: AdminCommand) -> bool {
        let queues: Vec<_> = self
            .connected()
            .iter()
            .map(|peer| peer.commands.clone())
            .collect();
        let confirmations = queues
            .into_iter()
            .map(|queue| execute_on(queue, command.clone()));
        timeout(PEER_CONFIRMATION_TIMEOUT, join_all(confirmations))
            .await
            .is_ok_and(|confirmed| confirmed.into_iter().all(|confirmed| confirmed))
    }

    fn connected(&self) -> MutexGuard<'_, Vec<Peer>> {
        self.connected
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends a command to one peer; whether it confirmed the command or exited.
async fn execute_on(queue: mpsc::Sender<ForwardedCommand>, command: AdminCommand) -> bool {
    let (confirmation, confirmed) = oneshot::channel();
    let forwarded = ForwardedCommand {
        command,
        confirmation,
    };
    if queue.send(forwarded).await.is_err() {
        // a process that has exited needs no command
        return true;
    }
    confirmed.await.unwrap_or(true)
}

#[cfg(test)]
mod tests;
