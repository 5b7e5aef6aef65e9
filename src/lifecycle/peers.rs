//! The peers: the router's other processes during a handover. This module forwards commands to them
//! and collects their confirmations; [`crate::net::handover`] manages the connections.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use super::{AdminCommand, CommandId};

/// The maximum number of commands queued for one peer. A further command is not confirmed.
const COMMAND_QUEUE_CAPACITY: usize = 64;

/// Identifies one of this process's peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerId(u64);

/// A command for a peer.
#[derive(Debug)]
pub struct ForwardedCommand {
    /// The command.
    pub command: AdminCommand,
    /// Identifies the command at all processes.
    pub id: CommandId,
    /// Sends the peer's confirmation: whether the command is in effect in the peer. Dropped without
    /// a value if the peer exits.
    pub confirmation: oneshot::Sender<bool>,
}

/// A registered peer.
pub struct RegisteredPeer {
    /// Identifies the peer.
    pub id: PeerId,
    /// The commands to be forwarded to the peer.
    pub commands: mpsc::Receiver<ForwardedCommand>,
}

/// Whether a peer may send requests to model servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// The peer replaces this process and does not serve clients yet. It gets every command before
    /// it begins, so no command has to wait for it.
    Joining,
    /// The peer serves clients.
    Serving,
}

struct Peer {
    id: PeerId,
    state: PeerState,
    commands: mpsc::Sender<ForwardedCommand>,
}

/// The connected peers.
#[derive(Default)]
pub(super) struct Peers {
    next_id: AtomicU64,
    connected: Mutex<Vec<Peer>>,
}

impl Peers {
    /// Adds a peer.
    pub(super) fn add(&self, state: PeerState) -> RegisteredPeer {
        let (command_sender, commands) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let id = PeerId(self.next_id.fetch_add(1, Ordering::Relaxed));
        self.connected().push(Peer {
            id,
            state,
            commands: command_sender,
        });
        RegisteredPeer { id, commands }
    }

    /// Records that a peer serves clients. The commands that are queued for it by then have to be
    /// sent to it before it may begin.
    pub(super) fn set_serving(&self, id: PeerId) {
        for peer in self.connected().iter_mut().filter(|peer| peer.id == id) {
            peer.state = PeerState::Serving;
        }
    }

    /// Removes a peer that has exited.
    pub(super) fn remove(&self, id: PeerId) {
        self.connected().retain(|peer| peer.id != id);
    }

    /// Queues a command for all peers but `except`. Does not wait, so that commands are queued in
    /// the order of the calls.
    pub(super) fn forward(
        &self,
        command: &AdminCommand,
        id: CommandId,
        except: Option<PeerId>,
    ) -> Confirmations {
        let outcomes = self
            .connected()
            .iter()
            .filter(|peer| Some(peer.id) != except)
            .map(|peer| forward_to(peer, command.clone(), id))
            .collect();
        Confirmations { outcomes }
    }

    fn connected(&self) -> MutexGuard<'_, Vec<Peer>> {
        self.connected
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Queues a command for one peer.
fn forward_to(peer: &Peer, command: AdminCommand, id: CommandId) -> Outcome {
    let (confirmation, confirmed) = oneshot::channel();
    let forwarded = ForwardedCommand {
        command,
        id,
        confirmation,
    };
    match peer.commands.try_send(forwarded) {
        Ok(()) if peer.state == PeerState::Joining => Outcome::QueuedAheadOfStart,
        Ok(()) => Outcome::Pending(confirmed),
        Err(TrySendError::Closed(_)) => Outcome::Exited,
        Err(TrySendError::Full(_)) => Outcome::QueueFull,
    }
}

/// What became of a command at one peer.
enum Outcome {
    /// The peer has not confirmed it yet.
    Pending(oneshot::Receiver<bool>),
    /// The peer gets it before it serves clients.
    QueuedAheadOfStart,
    /// The peer has exited and does not need the command.
    Exited,
    /// The peer does not get the command.
    QueueFull,
}

impl Outcome {
    async fn confirmed(self) -> bool {
        match self {
            Outcome::Pending(confirmed) => confirmed.await.unwrap_or(true),
            Outcome::QueuedAheadOfStart | Outcome::Exited => true,
            Outcome::QueueFull => false,
        }
    }
}

/// The confirmations of one command by the peers.
pub(super) struct Confirmations {
    outcomes: Vec<Outcome>,
}

impl Confirmations {
    /// Waits until each peer has confirmed the command or exited. Returns whether that happens
    /// within `limit`.
    pub(super) async fn wait(self, limit: Duration) -> bool {
        let confirmations = self.outcomes.into_iter().map(Outcome::confirmed);
        timeout(limit, join_all(confirmations))
            .await
            .is_ok_and(|confirmed| confirmed.into_iter().all(|confirmed| confirmed))
    }
}

#[cfg(test)]
mod tests;
