//! Reports lists to the core.

use tokio::sync::mpsc;

use crate::core::{CoreMessage, EndpointsUpdate};

/// The core has stopped and no longer needs the list.
#[derive(Debug)]
pub(super) struct CoreStopped;

/// Reports a list to the core.
pub(super) async fn report(
    core: &mpsc::Sender<CoreMessage>,
    list: EndpointsUpdate,
) -> Result<(), CoreStopped> {
    core.send(CoreMessage::EndpointsUpdated(list))
        .await
        .map_err(|_| CoreStopped)
}
