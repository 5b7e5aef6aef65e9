//! The successor's side of a replacement: waits until this process can serve, announces it to the
//! predecessor, and stays connected to it until it ends.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};
use tracing::{info, warn};

use super::predecessor_link::PredecessorLink;
use super::session::Peer;
use super::{Handover, PEER_TIMEOUT, READINESS_POLL_INTERVAL};

/// The announcement to the predecessor that this process serves.
pub(super) struct TakeoverAnnouncement {
    /// Notified once the predecessor has acknowledged it.
    pub(super) acknowledged: oneshot::Sender<()>,
}

impl Handover {
    /// Connects this process to its predecessor, and waits until it has an endpoint list and a share
    /// of the limits, or the predecessor has ended. The sender announces the takeover.
    pub(super) async fn prepare_takeover(
        self: &Arc<Self>,
        link: PredecessorLink,
    ) -> oneshot::Sender<TakeoverAnnouncement> {
        let (announce, takeover) = oneshot::channel();
        let handover = self.clone();
        let exchange_task =
            tokio::spawn(async move { handover.follow_predecessor(link, takeover).await });
        let started = Instant::now();
        while !exchange_task.is_finished() {
            if !self.limits.admits_clients() && started.elapsed() > PEER_TIMEOUT {
                warn!("the predecessor process transfers no limits; taking half of them");
                self.limits.raise_to_half();
            }
            if self.lifecycle.has_endpoint_list() && self.limits.admits_clients() {
                break;
            }
            sleep(READINESS_POLL_INTERVAL).await;
        }
        announce
    }

    /// Announces to the predecessor that this process serves, and waits for its acknowledgement.
    /// Returns at once where the predecessor has ended.
    pub(super) async fn announce_takeover(announce: oneshot::Sender<TakeoverAnnouncement>) {
        let (acknowledged, acknowledgement) = oneshot::channel();
        let announcement = TakeoverAnnouncement { acknowledged };
        if announce.send(announcement).is_ok()
            && timeout(PEER_TIMEOUT, acknowledgement).await.is_err()
        {
            warn!("the predecessor process doesn't acknowledge the takeover");
        }
    }

    /// Stays connected to the predecessor until it ends, and then to the one that may have come in
    /// its place meanwhile. After the last one all of the limits are this process's.
    async fn follow_predecessor(
        &self,
        link: PredecessorLink,
        takeover: oneshot::Receiver<TakeoverAnnouncement>,
    ) {
        let mut takeover = Some(takeover);
        let mut next_link = Some(link);
        while let Some(link) = next_link.take() {
            self.exchange(Peer::Predecessor, link.connection, takeover.take())
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
