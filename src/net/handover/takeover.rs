//! The successor's side of a handover: waits until this process can serve clients, announces the
//! takeover to the predecessor, and stays connected to the predecessor until it exits.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};
use tracing::{info, warn};

use super::predecessor_link::PredecessorLink;
use super::session::Peer;
use super::{Handover, PEER_TIMEOUT, READINESS_POLL_INTERVAL};

/// A request to announce to the predecessor that this process serves clients.
pub(super) struct TakeoverAnnouncement {
    /// Notified once the predecessor has acknowledged the takeover.
    pub(super) acknowledged: oneshot::Sender<()>,
}

impl Handover {
    /// Starts the exchange with the predecessor and waits until this process can serve clients.
    ///
    /// This process can serve clients once it has an endpoint list and a share of the limits, or
    /// once the predecessor has exited. The returned sender triggers the announcement of the
    /// takeover.
    pub(super) async fn prepare_takeover(
        self: &Arc<Self>,
        link: PredecessorLink,
    ) -> oneshot::Sender<TakeoverAnnouncement> {
        let (announcement_sender, announcement) = oneshot::channel();
        let handover = self.clone();
        let exchange_task =
            tokio::spawn(async move { handover.follow_predecessor(link, announcement).await });
        let started = Instant::now();
        while !exchange_task.is_finished() {
            if !self.limits.admits_clients() && started.elapsed() > PEER_TIMEOUT {
                warn!("the predecessor process hasn't transferred any limits; taking half of them");
                self.limits.raise_to_half();
            }
            if self.lifecycle.has_endpoint_list() && self.limits.admits_clients() {
                break;
            }
            sleep(READINESS_POLL_INTERVAL).await;
        }
        announcement_sender
    }

    /// Announces to the predecessor that this process is about to serve clients, and waits for its
    /// acknowledgement. Returns whether it has arrived: then this process has every change that the
    /// predecessor has confirmed.
    pub(super) async fn announce_takeover(
        announcement_sender: oneshot::Sender<TakeoverAnnouncement>,
    ) -> bool {
        let (acknowledged, acknowledgement) = oneshot::channel();
        let announcement = TakeoverAnnouncement { acknowledged };
        announcement_sender.send(announcement).is_ok()
            && matches!(timeout(PEER_TIMEOUT, acknowledgement).await, Ok(Ok(())))
    }

    /// Stays connected to the predecessor until it exits, and then connects to a process that may
    /// have replaced it in the meantime. After the last predecessor has exited, this process takes
    /// all of the limits.
    async fn follow_predecessor(
        &self,
        link: PredecessorLink,
        announcement: oneshot::Receiver<TakeoverAnnouncement>,
    ) {
        let mut announcement = Some(announcement);
        let mut next_link = Some(link);
        while let Some(link) = next_link.take() {
            let PredecessorLink { connection, reply } = link;
            let (mut subscription, _) = self.subscribe(Peer::Predecessor).await;
            self.adopt(reply, &mut subscription).await;
            self.exchange(
                Peer::Predecessor,
                connection,
                subscription,
                announcement.take(),
            )
            .await;
            info!("the predecessor process has exited");
            let owns_socket = self.owns_socket.load(Ordering::Relaxed);
            if !owns_socket || *self.successor_serving.borrow() {
                next_link = self.rendezvous.connect_to_predecessor().await;
            }
        }
        self.limits.raise_to_all();
    }
}
