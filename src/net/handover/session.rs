//! The state of one exchange with the other process. Performs no I/O: the handling of a message
//! returns an [`Effect`], which `exchange` applies.

use std::collections::HashMap;

use tokio::sync::oneshot;

use super::hello_reply::HelloReply;
use super::message::PeerMessage;
use super::resource_amounts::ResourceAmounts;
use crate::lifecycle::{AdminCommand, CommandId, ForwardedCommand};
use crate::net::discovery::endpoint_list::EndpointList;
use crate::request_ids::{IdClaim, IdHash};

/// The role of the other process in a handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Peer {
    /// The other process was running before this one.
    Predecessor,
    /// The other process replaces this one.
    Successor,
}

/// The effect of a received message.
#[derive(Debug)]
pub(super) enum Effect {
    /// No effect: the message was a reply, or is not valid from this peer.
    Nothing,
    /// Execute a command and send its result.
    ExecuteCommand {
        id: u64,
        command: AdminCommand,
        key: Option<CommandId>,
    },
    /// Take over what the predecessor's reply to the hello has and this process lacks.
    AdoptReply(HelloReply),
    /// Use the predecessor's endpoint list.
    UpdateEndpoints(EndpointList),
    /// Add to this process's share of the limits.
    AddLimits(ResourceAmounts),
    /// Record request ids that the peer has taken.
    RecordIds(Vec<IdHash>),
    /// Free request ids that the peer has released.
    ForgetIds(Vec<IdHash>),
    /// Take a request id for the predecessor and answer it.
    ClaimId { number: u64, id: IdHash },
    /// Let the successor serve clients from now on, and acknowledge the takeover.
    YieldToSuccessor,
    /// Serve clients: the predecessor has acknowledged the takeover.
    CompleteTakeover,
}

/// The state of one exchange.
pub(super) struct Session {
    peer: Peer,
    last_command_id: u64,
    /// Commands for which the peer hasn't sent a result yet.
    pending_commands: HashMap<u64, oneshot::Sender<bool>>,
    last_claim: u64,
    /// Questions for request ids that the peer hasn't answered yet.
    pending_claims: HashMap<u64, oneshot::Sender<bool>>,
    /// Whether this process has announced its takeover and the predecessor hasn't acknowledged it.
    takeover_announced: bool,
    peer_took_over: bool,
}

impl Session {
    pub(super) fn new(peer: Peer) -> Session {
        Session {
            peer,
            last_command_id: 0,
            pending_commands: HashMap::new(),
            last_claim: 0,
            pending_claims: HashMap::new(),
            takeover_announced: false,
            peer_took_over: false,
        }
    }

    /// Whether the peer replaces this process.
    pub(super) fn peer_is_successor(&self) -> bool {
        self.peer == Peer::Successor
    }

    /// Whether the peer has taken over from this process.
    pub(super) fn peer_took_over(&self) -> bool {
        self.peer_took_over
    }

    /// Handles a received message and returns its effect.
    pub(super) fn receive(&mut self, message: PeerMessage) -> Effect {
        match (self.peer, message) {
            (_, PeerMessage::AdminCommand { id, command, key }) => {
                Effect::ExecuteCommand { id, command, key }
            }
            (
                Peer::Predecessor,
                PeerMessage::HelloAcknowledged {
                    maintenance,
                    endpoints,
                    id_key,
                },
            ) => Effect::AdoptReply(HelloReply {
                maintenance: Some(maintenance),
                endpoints,
                id_key,
            }),
            (_, PeerMessage::IdsTaken(ids)) => Effect::RecordIds(ids),
            (_, PeerMessage::IdsReleased(ids)) => Effect::ForgetIds(ids),
            (Peer::Predecessor, PeerMessage::IdClaimed { number, id }) => {
                Effect::ClaimId { number, id }
            }
            (Peer::Successor, PeerMessage::IdClaimAnswered { number, granted }) => {
                if let Some(claim) = self.pending_claims.remove(&number) {
                    let _ = claim.send(granted);
                }
                Effect::Nothing
            }
            (_, PeerMessage::AdminCommandResult { id, succeeded }) => {
                if let Some(result) = self.pending_commands.remove(&id) {
                    let _ = result.send(succeeded);
                }
                Effect::Nothing
            }
            (Peer::Predecessor, PeerMessage::TakeoverAcknowledged) if self.takeover_announced => {
                self.takeover_announced = false;
                Effect::CompleteTakeover
            }
            (Peer::Predecessor, PeerMessage::EndpointsUpdated(list)) => {
                Effect::UpdateEndpoints(list)
            }
            (Peer::Predecessor, PeerMessage::LimitsTransferred(limits)) => {
                Effect::AddLimits(limits)
            }
            (Peer::Successor, PeerMessage::SuccessorServing) if !self.peer_took_over => {
                self.peer_took_over = true;
                Effect::YieldToSuccessor
            }
            _ => Effect::Nothing,
        }
    }

    /// Creates the message that asks the peer to execute a command.
    pub(super) fn forward_command(&mut self, forwarded: ForwardedCommand) -> PeerMessage {
        self.last_command_id += 1;
        // remove the entries of callers that no longer wait for a result
        self.pending_commands
            .retain(|_, pending| !pending.is_closed());
        self.pending_commands
            .insert(self.last_command_id, forwarded.confirmation);
        PeerMessage::AdminCommand {
            id: self.last_command_id,
            command: forwarded.command,
            key: Some(forwarded.id),
        }
    }

    /// Creates the message that asks the successor for a request id.
    pub(super) fn claim_id(&mut self, claim: IdClaim) -> PeerMessage {
        self.last_claim += 1;
        self.pending_claims
            .retain(|_, pending| !pending.is_closed());
        self.pending_claims.insert(self.last_claim, claim.granted);
        PeerMessage::IdClaimed {
            number: self.last_claim,
            id: claim.hash,
        }
    }

    /// Creates the message that tells the predecessor that this process serves clients.
    pub(super) fn announce_takeover(&mut self) -> PeerMessage {
        self.takeover_announced = true;
        PeerMessage::SuccessorServing
    }
}

#[cfg(test)]
mod tests;
