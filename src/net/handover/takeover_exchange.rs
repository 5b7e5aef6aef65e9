//! The part of an exchange that concerns takeovers, and the limits that they move.

use std::future::pending;

use tokio::sync::watch;
use tracing::info;

use super::exchange::Exchange;
use super::message::PeerMessage;
use super::resource_amounts::ResourceAmounts;

impl Exchange<'_> {
    /// Adds limits that the predecessor has transferred, beyond those that this process owns from an
    /// earlier predecessor: the sum over the processes then stays the same.
    pub(super) fn add_limits(&mut self, amounts: ResourceAmounts) {
        let counted = amounts.combine(self.limits_at_start, usize::min);
        self.limits_at_start = self.limits_at_start.combine(counted, usize::saturating_sub);
        let added = amounts.combine(counted, usize::saturating_sub);
        self.handover.limits.add(added);
    }

    /// Tells the predecessor that this process serves clients, unless a successor of this process
    /// does.
    pub(super) fn announce_takeover(&mut self) -> Vec<PeerMessage> {
        if *self.handover.successor_serving.borrow() {
            return Vec::new();
        }
        vec![self.session.announce_takeover()]
    }

    /// Lets the successor serve clients. It begins when it has the acknowledgement, so the changes
    /// that it has not been told of go ahead of that.
    ///
    /// If another successor has taken over, this one is refused: it has to become the successor of
    /// that one, because the two would not tell each other of changes.
    pub(super) fn yield_to_successor(&mut self) -> Vec<PeerMessage> {
        let another_serves = self.handover.successor_serving.send_replace(true);
        if another_serves {
            info!("a slower successor process has to connect to the one that has taken over");
            self.takeover_refused = true;
            return Vec::new();
        }
        info!("the successor process has taken over");
        self.handover.lifecycle.set_succeeded(true);
        let commands = self.subscription.commands.start_serving();
        let mut messages: Vec<_> = commands
            .into_iter()
            .map(|command| self.session.forward_command(command))
            .collect();
        if self.subscription.endpoints.has_changed().unwrap_or(false) {
            let list = self.subscription.endpoints.borrow_and_update().clone();
            messages.extend(list.map(PeerMessage::EndpointsUpdated));
        }
        messages.extend(self.yield_ids());
        messages.push(PeerMessage::TakeoverAcknowledged);
        messages
    }
}

/// Waits until this process can serve clients. Returns once, and never if `ready` is `None`. Cancel
/// safe.
pub(super) async fn wait_until_ready(ready: &mut Option<watch::Receiver<bool>>) {
    if let Some(receiver) = ready {
        let is_ready = receiver.wait_for(|ready| *ready).await.is_ok();
        *ready = None;
        if is_ready {
            return;
        }
    }
    pending::<()>().await;
}
