//! The limits that one exchange transfers to a successor.

use tokio::sync::mpsc;

use super::limit_shares::LimitShares;
use super::resource_amounts::ResourceAmounts;

/// The limits that this process transfers to a successor.
///
/// Dropping it, at the end of the exchange, returns all transferred amounts to this process.
pub(super) struct OutgoingTransfers<'a> {
    limits: &'a LimitShares,
    released: mpsc::UnboundedReceiver<ResourceAmounts>,
    transferred: ResourceAmounts,
}

impl<'a> OutgoingTransfers<'a> {
    /// `released` receives the amounts that were removed from `limits`.
    pub(super) fn new(
        limits: &'a LimitShares,
        released: mpsc::UnboundedReceiver<ResourceAmounts>,
    ) -> OutgoingTransfers<'a> {
        OutgoingTransfers {
            limits,
            released,
            transferred: ResourceAmounts::default(),
        }
    }

    /// Receives the next released amounts. Cancel safe.
    pub(super) async fn recv(&mut self) -> Option<ResourceAmounts> {
        self.released.recv().await
    }

    /// Records amounts as transferred. Called before they are sent, so that none is lost.
    pub(super) fn record(&mut self, amounts: ResourceAmounts) {
        self.transferred = self.transferred + amounts;
    }
}

impl Drop for OutgoingTransfers<'_> {
    fn drop(&mut self) {
        self.released.close();
        while let Ok(amounts) = self.released.try_recv() {
            self.limits.add(amounts);
        }
        self.limits.add(self.transferred);
    }
}

#[cfg(test)]
mod tests;
