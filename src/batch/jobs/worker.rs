//! The worker of a batch: counts its lines, has them run and sets the batch's final status.

use std::sync::Arc;

use tracing::{info, warn};

use super::batch::{Batch, BatchFailure, BatchStatus};
use super::context::JobContext;
use super::input_file::InputFile;
use super::line_scheduler::LineScheduler;
use super::lines::LineReader;
use super::result_file::ResultFile;
use super::retry::{RetryState, SpoolRetrier};
use super::stop::StopReason;
use super::table::BatchTable;
use crate::batch::line::LineOutcome;
use crate::batch::store::{FileReservation, StoreError};
use crate::edge::Caller;

/// The worker of a batch.
pub(super) struct BatchWorker {
    pub(super) context: Arc<JobContext>,
    /// The table in which the worker updates its batch.
    pub(super) table: BatchTable,
    /// The endpoint that every line must name as its `url`.
    pub(super) endpoint: String,
    /// The caller that created the batch and is charged for it.
    pub(super) owner: Caller,
    /// Retries spool operations. Also contains the batch's id and its stop signal.
    pub(super) retrier: SpoolRetrier,
}

impl BatchWorker {
    /// Runs the batch to its end. `reservation`: the place of its result file.
    pub(super) async fn run(self, input: InputFile, reservation: FileReservation) {
        let (status, failure) = match self.process(input, reservation).await {
            Ok(None) => (BatchStatus::Completed, None),
            Ok(Some(StopReason::Cancelled)) => (BatchStatus::Cancelled, None),
            Ok(Some(StopReason::Expired)) => (BatchStatus::Expired, None),
            Err(failure) => (BatchStatus::Failed, Some(failure)),
        };
        let id = &self.retrier.batch_id;
        if let Some(failure) = &failure {
            warn!("{id} failed: {}: {failure}", failure.code());
        }
        self.update(|batch| {
            batch.failure = failure;
            batch.set_status(status);
        });
        info!("{id} ended with status {}", status.name());
    }

    fn update(&self, change: impl FnOnce(&mut Batch)) {
        self.table.update(&self.retrier.batch_id, change);
    }

    /// Counts the lines and runs them. If the batch stops before all lines have been run, returns
    /// the reason.
    async fn process(
        &self,
        input: InputFile,
        reservation: FileReservation,
    ) -> Result<Option<StopReason>, BatchFailure> {
        let max_line_bytes = self.context.options.max_line_bytes;
        let total = self
            .count_lines(&mut LineReader::new(input.clone(), max_line_bytes))
            .await?;
        let mut result = ResultFile::create(reservation, &self.retrier).await?;
        self.update(|batch| {
            batch.lines.total = total;
            if batch.status == BatchStatus::Validating {
                batch.set_status(BatchStatus::InProgress);
            }
        });
        let stopped = LineScheduler::new(self, input, &mut result).run().await;
        // clients can read the outcomes written so far, even if the spool has failed
        let output_file = result.finish()?;
        self.update(|batch| batch.output_file = Some(output_file));
        Ok(stopped?)
    }

    async fn count_lines(&self, lines: &mut LineReader) -> Result<u64, BatchFailure> {
        let max_lines = self.context.options.max_lines;
        let mut total = 0;
        while self.advance(lines).await? {
            total += 1;
            if total > max_lines {
                return Err(BatchFailure::TooManyLines { max_lines });
            }
        }
        if total == 0 {
            return Err(BatchFailure::EmptyFile);
        }
        Ok(total)
    }

    /// Moves to the next line, and retries reads that fail.
    pub(super) async fn advance(&self, lines: &mut LineReader) -> Result<bool, StoreError> {
        let mut retry = RetryState::new();
        loop {
            match lines.advance().await {
                Ok(more) => return Ok(more),
                Err(e) => self.retrier.wait_to_retry(&mut retry, e.into()).await?,
            }
        }
    }

    /// Writes an outcome to the result file and counts it.
    pub(super) async fn record(
        &self,
        result: &mut ResultFile,
        outcome: LineOutcome,
    ) -> Result<(), StoreError> {
        result.write(&outcome).await?;
        self.update(|batch| match outcome.result {
            Ok(_) => batch.lines.completed += 1,
            Err(_) => batch.lines.failed += 1,
        });
        Ok(())
    }
}
