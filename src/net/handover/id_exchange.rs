//! The part of an exchange that concerns request ids: `crate::request_ids` decides, this module
//! converts its requests and changes to messages and back.

use tokio::sync::mpsc;

use super::exchange::Exchange;
use super::message::PeerMessage;
use crate::request_ids::{IdChange, IdHash, IdRequest, RequestIds};

/// The maximum number of ids in one message.
pub(super) const MAX_IDS_IN_MESSAGE: usize = 4096;

impl Exchange<'_> {
    /// Makes the successor the owner of the ids, and returns the messages with all of them. Empty
    /// if the successor does not share ids.
    pub(super) fn yield_ids(&self) -> Vec<PeerMessage> {
        if !self.subscription.shares_ids {
            return Vec::new();
        }
        let ids = self.subscription.ids.yield_ownership();
        ids.chunks(MAX_IDS_IN_MESSAGE)
            .map(|part| PeerMessage::IdsTaken(part.to_vec()))
            .collect()
    }

    /// Returns the message for a request to the owner of the ids.
    pub(super) fn id_request(&mut self, request: IdRequest) -> PeerMessage {
        match request {
            IdRequest::Claim(claim) => self.session.claim_id(claim),
            IdRequest::Release(hash) => PeerMessage::IdsReleased(vec![hash]),
        }
    }
}

/// Takes an id for the predecessor and sends the answer, without holding up the exchange. Sends
/// nothing if the owner of the ids is silent: the predecessor limits its wait.
pub(super) fn answer_claim(
    ids: RequestIds,
    number: u64,
    id: IdHash,
    outgoing: mpsc::Sender<PeerMessage>,
) {
    tokio::spawn(async move {
        if let Some(granted) = ids.claim_for_peer(id).await {
            let answer = PeerMessage::IdClaimAnswered { number, granted };
            let _ = outgoing.send(answer).await;
        }
    });
}

/// Returns the messages that announce changes, in their order.
pub(super) fn announcements(changes: Vec<IdChange>) -> Vec<PeerMessage> {
    let mut messages = Vec::new();
    for change in changes {
        match (change, messages.last_mut()) {
            (IdChange::Taken(hash), Some(PeerMessage::IdsTaken(ids)))
            | (IdChange::Released(hash), Some(PeerMessage::IdsReleased(ids))) => ids.push(hash),
            (IdChange::Taken(hash), _) => messages.push(PeerMessage::IdsTaken(vec![hash])),
            (IdChange::Released(hash), _) => messages.push(PeerMessage::IdsReleased(vec![hash])),
        }
    }
    messages
}
