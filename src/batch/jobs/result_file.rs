//! The result file of a batch: one outcome for each line of the input.

use super::retry::{RetryState, SpoolRetrier};
use crate::batch::line::LineOutcome;
use crate::batch::store::{Appender, FileReservation, FileSize, NewFile, Store, StoreError};
use crate::edge::Caller;

/// Reserves the place of a batch's result file.
pub(super) fn reserve(
    store: &Store,
    batch_id: &str,
    owner: &Caller,
) -> Result<FileReservation, StoreError> {
    store.reserve(NewFile {
        name: &format!("{batch_id}_output.jsonl"),
        purpose: "batch_output",
        size: FileSize::Unlimited,
        owner,
    })
}

/// The result file of a running batch. Failed operations are retried by its [`SpoolRetrier`].
pub(super) struct ResultFile {
    reservation: FileReservation,
    appender: Appender,
    retrier: SpoolRetrier,
}

impl ResultFile {
    /// Creates the result file for the batch that `retrier` belongs to.
    pub(super) async fn create(
        reservation: FileReservation,
        retrier: &SpoolRetrier,
    ) -> Result<ResultFile, StoreError> {
        let mut retry = RetryState::new();
        let appender = loop {
            match reservation.create().await {
                Ok(appender) => break appender,
                Err(e) => retrier.wait_to_retry(&mut retry, e).await?,
            }
        };
        Ok(ResultFile {
            reservation,
            appender,
            retrier: retrier.clone(),
        })
    }

    /// Appends the outcome of a line.
    pub(super) async fn write(&mut self, outcome: &LineOutcome) -> Result<(), StoreError> {
        let text = outcome.encode();
        let mut retry = RetryState::new();
        while let Err(e) = self.appender.write(text.as_bytes()).await {
            self.retrier.wait_to_retry(&mut retry, e).await?;
        }
        Ok(())
    }

    /// Marks the file as complete and returns its id.
    pub(super) fn finish(self) -> Result<String, StoreError> {
        Ok(self.reservation.finish()?.id)
    }
}
