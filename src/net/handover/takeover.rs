//! The successor's side of a handover: waits until this process can serve clients, announces the
//! takeover to the predecessor, and stays connected to the predecessor until it exits.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};
use tracing::{info, warn};

use super::predecessor_link::PredecessorLink;
use super::session::Peer;
use super::{Handover, PEER_TIMEOUT, READINESS_POLL_INTERVAL};
use crate::backoff::Backoff;

/// Initial delay before the announcement to another predecessor.
const FIRST_LINK_DELAY: Duration = Duration::from_millis(2);
/// Maximum delay before the announcement to another predecessor.
const MAX_LINK_DELAY: Duration = Duration::from_millis(500);

/// The takeover of this process, whichever process the predecessor is.
pub(super) struct Takeover {
    /// Turns true when this process can serve clients. It is announced to each predecessor.
    pub(super) ready: watch::Receiver<bool>,
    /// Turns true when a predecessor has acknowledged the takeover.
    pub(super) acknowledged: watch::Sender<bool>,
}

impl Handover {
    /// Takes over from the predecessor: waits until this process can serve clients, announces that,
    /// and waits for the acknowledgement. Returns whether it has arrived: then this process has
    /// every change that the predecessor has confirmed.
    ///
    /// This process can serve clients once it has an endpoint list and a share of the limits, or
    /// once there is no predecessor any more.
    pub(super) async fn take_over_from(self: &Arc<Self>, link: PredecessorLink) -> bool {
        let (ready_sender, ready) = watch::channel(false);
        let (acknowledged, mut acknowledgement) = watch::channel(false);
        let takeover = Takeover {
            ready,
            acknowledged,
        };
        let handover = self.clone();
        let exchange_task =
            tokio::spawn(async move { handover.follow_predecessors(link, takeover).await });
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
        ready_sender.send_replace(true);
        let acknowledged = acknowledgement.wait_for(|acknowledged| *acknowledged);
        matches!(timeout(PEER_TIMEOUT, acknowledged).await, Ok(Ok(_)))
    }

    /// Stays connected to the predecessor until it exits or refuses the takeover, and then connects
    /// to a process that may have taken over from it in the meantime. After the last predecessor has
    /// exited, this process takes all of the limits.
    async fn follow_predecessors(&self, link: PredecessorLink, takeover: Takeover) {
        let mut backoff = Backoff::new(FIRST_LINK_DELAY, MAX_LINK_DELAY);
        let mut next_link = Some(link);
        while let Some(link) = next_link.take() {
            let PredecessorLink { connection, reply } = link;
            let (mut subscription, _) = self.subscribe(Peer::Predecessor).await;
            self.adopt(reply, &mut subscription).await;
            self.exchange(Peer::Predecessor, connection, subscription, Some(&takeover))
                .await;
            info!("the connection to the predecessor process has ended");
            sleep(backoff.next_delay()).await;
            next_link = self.rendezvous.connect_to_another().await;
        }
        info!("there is no predecessor process any more");
        self.limits.raise_to_all();
    }
}
