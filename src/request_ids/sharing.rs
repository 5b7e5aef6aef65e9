//! Which process of a router decides whether an id is free.
//!
//! That is one process at a time, the owner: the process that serves, until its successor takes
//! over and receives all ids. From then on the process before asks the successor for each id. The
//! owner announces the ids that it takes to the processes before it, which own the ids again if it
//! fails. `crate::net::handover` transmits the messages.

use std::time::Duration;

use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tracing::warn;

use super::{IdHash, IdKey, RequestIds};

/// How long a process waits for the owner on behalf of a process before it.
const RELAY_TIMEOUT: Duration = Duration::from_millis(250);

/// A change of the ids of one process that the others have to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdChange {
    /// A request has this id.
    Taken(IdHash),
    /// The id is free again.
    Released(IdHash),
}

/// Asks the owner for an id.
#[derive(Debug)]
pub struct IdClaim {
    /// The id.
    pub hash: IdHash,
    /// Receives whether the id was free. Dropped if the owner exits.
    pub granted: oneshot::Sender<bool>,
}

/// What a process tells or asks the owner.
#[derive(Debug)]
pub enum IdRequest {
    /// Asks for an id.
    Claim(IdClaim),
    /// An id that was granted is free again.
    Release(IdHash),
}

/// The owner's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OwnerAnswer {
    Granted,
    Refused,
    Silent,
}

/// Identifies a link to another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LinkNumber(pub(super) u64);

/// The owner of the ids.
#[derive(Default)]
pub(super) enum Owner {
    #[default]
    ThisProcess,
    Successor {
        link: LinkNumber,
        requests: mpsc::Sender<IdRequest>,
    },
}

/// A process before this one.
pub(super) struct Observer {
    pub(super) link: LinkNumber,
    pub(super) changes: mpsc::Sender<IdChange>,
}

/// The owner, and the processes that this one announces its ids to.
#[derive(Default)]
pub(super) struct Sharing {
    pub(super) owner: Owner,
    pub(super) observers: Vec<Observer>,
    /// The number of links that have been opened.
    pub(super) links: u64,
}

impl Sharing {
    /// Where to send requests to the owner; `None` if it is this process.
    fn requests_to_owner(&self) -> Option<mpsc::Sender<IdRequest>> {
        match &self.owner {
            Owner::ThisProcess => None,
            Owner::Successor { requests, .. } => Some(requests.clone()),
        }
    }

    /// Tells the other processes of a change in this process: the owner if that is another one, or
    /// else the processes before this one. An id is claimed at another owner by a question.
    pub(super) fn announce(&self, change: IdChange) {
        self.relay(change, None);
    }

    /// Tells the other processes of a change, except the one that told this process over the link
    /// `from`.
    pub(super) fn relay(&self, change: IdChange, from: Option<LinkNumber>) {
        if let Owner::Successor { link, requests } = &self.owner
            && Some(*link) != from
        {
            if let IdChange::Released(hash) = change {
                let _ = requests.try_send(IdRequest::Release(hash));
            }
            return;
        }
        let observers = self.observers.iter();
        for observer in observers.filter(|observer| Some(observer.link) != from) {
            let _ = observer.changes.try_send(change);
        }
    }
}

impl RequestIds {
    /// Uses the key of another process, if this one has no ids yet. Returns whether both have the
    /// same key, so that they can share ids.
    pub fn adopt_key(&self, key: IdKey) -> bool {
        let mut state = self.lock();
        if state.table.is_empty() {
            state.key = key;
        }
        if state.key != key {
            warn!("the other process hashes request ids with another key; not sharing ids");
        }
        state.key == key
    }

    /// Takes an id for a process before this one. Returns whether it was free; `None` if its owner
    /// does not answer.
    pub async fn claim_for_peer(&self, hash: IdHash) -> Option<bool> {
        if !self.lock().table.remember(hash) {
            return Some(false);
        }
        match self.ask_owner(hash, RELAY_TIMEOUT).await {
            OwnerAnswer::Granted => Some(true),
            OwnerAnswer::Refused => Some(false),
            OwnerAnswer::Silent => {
                self.lock().table.forget(hash);
                None
            }
        }
    }

    /// Asks the owner for an id that is free here.
    pub(super) async fn ask_owner(&self, hash: IdHash, limit: Duration) -> OwnerAnswer {
        let Some(requests) = self.lock().sharing.requests_to_owner() else {
            return OwnerAnswer::Granted;
        };
        let (granted, answer) = oneshot::channel();
        match requests.try_send(IdRequest::Claim(IdClaim { hash, granted })) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => return OwnerAnswer::Silent,
            // the owner has exited, and its ids are known here
            Err(TrySendError::Closed(_)) => return OwnerAnswer::Granted,
        }
        match timeout(limit, answer).await {
            Ok(Ok(true)) | Ok(Err(_)) => OwnerAnswer::Granted,
            Ok(Ok(false)) => OwnerAnswer::Refused,
            Err(_) => OwnerAnswer::Silent,
        }
    }
}
