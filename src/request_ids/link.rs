//! The link to another process, over which ids are shared.

use tokio::sync::mpsc;

use super::sharing::{IdChange, IdRequest, LinkNumber, Observer, Owner};
use super::{IdHash, RequestIds};

/// The maximum number of requests that are queued for the owner. A further one counts as
/// unanswered.
const REQUEST_QUEUE_LENGTH: usize = 256;
/// The maximum number of changes that are queued for a process before this one. Further changes are
/// not announced.
const CHANGE_QUEUE_LENGTH: usize = 4096;

/// A link to another process, over which ids are shared. Dropping it ends the sharing: if the other
/// process was the owner, this one owns the ids again.
pub struct IdLink {
    ids: RequestIds,
    number: LinkNumber,
    requests: mpsc::Receiver<IdRequest>,
    request_sender: mpsc::Sender<IdRequest>,
    changes: mpsc::Receiver<IdChange>,
    change_sender: mpsc::Sender<IdChange>,
}

impl IdLink {
    /// Opens a link. Nothing is shared yet.
    pub fn open(ids: &RequestIds) -> IdLink {
        let (request_sender, requests) = mpsc::channel(REQUEST_QUEUE_LENGTH);
        let (change_sender, changes) = mpsc::channel(CHANGE_QUEUE_LENGTH);
        let mut state = ids.lock();
        state.sharing.links += 1;
        let number = LinkNumber(state.sharing.links);
        drop(state);
        IdLink {
            ids: ids.clone(),
            number,
            requests,
            request_sender,
            changes,
            change_sender,
        }
    }

    /// Announces the ids of this process, which succeeds the other one, over the link.
    pub fn announce_changes(&self) {
        self.ids.lock().sharing.observers.push(Observer {
            link: self.number,
            changes: self.change_sender.clone(),
        });
    }

    /// Makes the other process, the successor, the owner, and returns all ids, which it needs.
    pub fn yield_ownership(&self) -> Vec<IdHash> {
        let mut state = self.ids.lock();
        state.sharing.owner = Owner::Successor {
            link: self.number,
            requests: self.request_sender.clone(),
        };
        state.table.all()
    }

    /// Records ids that the other process has taken.
    pub fn record(&self, hashes: &[IdHash]) {
        let mut state = self.ids.lock();
        for &hash in hashes {
            if state.table.remember(hash) {
                let change = IdChange::Taken(hash);
                state.sharing.relay(change, Some(self.number));
            }
        }
    }

    /// Frees ids that the other process has released.
    pub fn forget(&self, hashes: &[IdHash]) {
        let mut state = self.ids.lock();
        for &hash in hashes {
            state.table.forget(hash);
            let change = IdChange::Released(hash);
            state.sharing.relay(change, Some(self.number));
        }
    }

    /// The next request for the owner. Cancel safe.
    pub async fn next_request(&mut self) -> Option<IdRequest> {
        self.requests.recv().await
    }

    /// The next changes to announce, at least one and at most `max`. Cancel safe.
    pub async fn next_changes(&mut self, max: usize) -> Vec<IdChange> {
        let mut changes = Vec::new();
        self.changes.recv_many(&mut changes, max).await;
        changes
    }
}

impl Drop for IdLink {
    fn drop(&mut self) {
        let mut state = self.ids.lock();
        let sharing = &mut state.sharing;
        sharing
            .observers
            .retain(|observer| observer.link != self.number);
        let owns = matches!(&sharing.owner, Owner::Successor { link, .. } if *link == self.number);
        if owns {
            sharing.owner = Owner::ThisProcess;
        }
    }
}
