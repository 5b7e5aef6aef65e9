//! Waits between the turns in which a message is read; `read_pacing` decides when they begin.

use std::time::Instant;

use super::ClientConnection;
use super::time_limits::REQUEST_CUTOFF_AFTER_SHUTDOWN;
use crate::net::http::HttpError;
use crate::net::read_pacing::NextTurn;

impl ClientConnection {
    /// Lets other tasks run before more is read of a message that takes long. The rest of the
    /// message may arrive during the wait, which ends early enough to answer the client in time.
    pub(super) async fn wait_for_turn(&mut self) -> Result<(), HttpError> {
        let now = Instant::now();
        let turn_at = match self.pacing.next_turn(now, &self.context.read_schedule) {
            NextTurn::Now => return Ok(()),
            NextTurn::Yield => {
                tokio::task::yield_now().await;
                return Ok(());
            }
            NextTurn::At(turn_at) => turn_at,
        };
        let unread_since = *self.unread_since.get_or_insert(now);
        let Some(incoming) = &self.incoming else {
            return Err(HttpError::ConnectionClosed);
        };
        let answer_by = incoming.answer_by(unread_since);
        let mut shutdown = self.context.clone();
        let ended = tokio::select! {
            biased;
            () = shutdown.wait_after_shutdown_signal(REQUEST_CUTOFF_AFTER_SHUTDOWN) => {
                HttpError::Timeout
            }
            () = tokio::time::sleep_until(turn_at.min(answer_by).into()) => {
                if turn_at <= answer_by {
                    return Ok(());
                }
                HttpError::NoCapacity
            }
        };
        Err(ended)
    }
}
