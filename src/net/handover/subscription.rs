//! The changes of this process's state that the other process has to be told of.

use tokio::sync::watch;

use super::Handover;
use super::hello_reply::HelloReply;
use super::peer_registration::PeerRegistration;
use super::session::Peer;
use crate::lifecycle::PeerState;
use crate::net::discovery::endpoint_list::EndpointList;
use crate::request_ids::IdLink;

/// The changes that the other process has to be told of.
pub(super) struct Subscription<'a> {
    /// Operators' commands. Dropping it removes the registration of the other process.
    pub(super) commands: PeerRegistration<'a>,
    /// Endpoint lists.
    pub(super) endpoints: watch::Receiver<Option<EndpointList>>,
    /// Request ids.
    pub(super) ids: IdLink,
    /// Whether the other process takes part in the sharing of request ids.
    pub(super) shares_ids: bool,
}

impl Subscription<'_> {
    /// Announces the request ids of this process to its predecessor from now on.
    pub(super) fn share_ids_with_predecessor(&mut self) {
        if !self.shares_ids {
            self.shares_ids = true;
            self.ids.announce_changes();
        }
    }
}

impl Handover {
    /// Subscribes the other process to the changes of this process's state, and returns the state
    /// from which the changes begin. There is no gap between the two, however late the state
    /// reaches the other process.
    pub(super) async fn subscribe(&self, peer: Peer) -> (Subscription<'_>, HelloReply) {
        let state = match peer {
            Peer::Predecessor => PeerState::Serving,
            Peer::Successor => PeerState::Joining,
        };
        let (commands, maintenance) = PeerRegistration::register(&self.lifecycle, state).await;
        let mut endpoints = self.endpoints.clone();
        let reply = HelloReply {
            maintenance: Some(maintenance),
            endpoints: endpoints.borrow_and_update().clone(),
            id_key: Some(self.request_ids.key()),
        };
        let subscription = Subscription {
            commands,
            endpoints,
            ids: IdLink::open(&self.request_ids),
            shares_ids: false,
        };
        (subscription, reply)
    }
}
