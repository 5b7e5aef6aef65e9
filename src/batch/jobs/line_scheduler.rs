//! Starts the lines of a batch as capacity and budget allow, and records their outcomes.
//!
//! A line is read from the input file once it may be started. The lines of a batch in memory are
//! therefore those in flight, which the permits of all batches bound together. A line that exceeds
//! a budget gives back its permit and its memory, and pauses the batch until the budget is checked
//! again.

use tokio::task::JoinSet;
use tracing::info;

use super::input_file::InputFile;
use super::line_worker::{LineProgress, LineWorker};
use super::lines::{Line, LineReader};
use super::pending_line::{LineEnd, PendingLine, SeenIds, end_of};
use super::postponed_lines::PostponedLines;
use super::result_file::ResultFile;
use super::retry::RetryState;
use super::stop::StopReason;
use super::worker::BatchWorker;
use crate::batch::concurrency::Permit;
use crate::batch::line::{LineError, LineRequest, find_custom_id};
use crate::batch::store::StoreError;

/// What happens next to a batch.
enum Event {
    /// Another line may be started.
    Admitted(Permit),
    /// The task of a line has ended.
    Ended(LineEnd),
    /// The batch stops, so no further lines are started.
    Stopped(StopReason),
    /// Every line has been started and has ended.
    Finished,
}

/// A line that has been read, with its request or the error that makes it invalid.
struct ReadLine {
    pending: PendingLine,
    request: Result<LineRequest, LineError>,
}

/// Runs the lines of one batch.
pub(super) struct LineScheduler<'a> {
    worker: &'a BatchWorker,
    result: &'a mut ResultFile,
    input: InputFile,
    /// The lines that have never been started.
    unread: LineReader,
    /// Whether all lines of the input file have been read.
    is_read: bool,
    postponed: PostponedLines,
    in_flight: JoinSet<LineEnd>,
    seen_ids: SeenIds,
    read_retry: RetryState,
}

impl<'a> LineScheduler<'a> {
    pub(super) fn new(
        worker: &'a BatchWorker,
        input: InputFile,
        result: &'a mut ResultFile,
    ) -> LineScheduler<'a> {
        let max_line_bytes = worker.context.options.max_line_bytes;
        LineScheduler {
            worker,
            result,
            unread: LineReader::new(input.clone(), max_line_bytes),
            input,
            is_read: false,
            postponed: PostponedLines::default(),
            in_flight: JoinSet::new(),
            seen_ids: SeenIds::default(),
            read_retry: RetryState::new(),
        }
    }

    /// Runs the lines until each has an outcome. If the batch stops before all lines have been run,
    /// returns the reason.
    pub(super) async fn run(mut self) -> Result<Option<StopReason>, StoreError> {
        loop {
            match self.next_event().await {
                Event::Admitted(permit) => self.start_next_line(permit).await?,
                Event::Ended(end) => self.handle_end(end).await?,
                Event::Stopped(reason) => {
                    self.stop(reason).await?;
                    return Ok(Some(reason));
                }
                Event::Finished => return Ok(None),
            }
        }
    }

    async fn next_event(&mut self) -> Event {
        let has_lines = !self.is_read || !self.postponed.is_empty();
        if !has_lines && self.in_flight.is_empty() {
            return Event::Finished;
        }
        let postponed = &self.postponed;
        let concurrency = &self.worker.context.concurrency;
        let admission = async {
            postponed.wait_for_check().await;
            concurrency.acquire().await
        };
        tokio::select! {
            biased;
            reason = self.worker.retrier.stop.stopped(), if has_lines => Event::Stopped(reason),
            Some(ended) = self.in_flight.join_next() => Event::Ended(end_of(ended)),
            permit = admission, if has_lines => Event::Admitted(permit),
        }
    }

    /// Starts the next line. A line that is invalid gets its outcome at once.
    async fn start_next_line(&mut self, permit: Permit) -> Result<(), StoreError> {
        let line = match self.read_line().await {
            Ok(Some(line)) => line,
            Ok(None) => return Ok(()),
            Err(e) => {
                // other batches may use the permit until the read succeeds
                drop(permit);
                let retrier = &self.worker.retrier;
                return retrier.wait_to_retry(&mut self.read_retry, e).await;
            }
        };
        self.read_retry = RetryState::new();
        match line.request {
            Ok(request) => {
                let task = self.run_line(request, line.pending, permit);
                self.in_flight.spawn(task);
                Ok(())
            }
            Err(e) => {
                drop(permit);
                let outcome = line.pending.into_outcome(Err(e));
                self.worker.record(self.result, outcome).await
            }
        }
    }

    /// Reads the next line: a postponed line or, if there is none, the next unread line.
    async fn read_line(&mut self) -> Result<Option<ReadLine>, StoreError> {
        if let Some(pending) = self.postponed.pop() {
            return self.read_postponed(pending).await.map(Some);
        }
        if self.is_read || !self.unread.advance().await? {
            self.is_read = true;
            return Ok(None);
        }
        let line = parse(self.worker, &mut self.seen_ids, self.unread.current());
        self.unread.discard_current();
        Ok(Some(line))
    }

    async fn read_postponed(&mut self, pending: PendingLine) -> Result<ReadLine, StoreError> {
        match self.input.read_range(pending.range.clone()).await {
            Ok(text) => Ok(ReadLine {
                request: LineRequest::parse(&text, &self.worker.endpoint, &pending.trace_id),
                pending,
            }),
            Err(e) => {
                self.postponed.push_front(pending);
                Err(e.into())
            }
        }
    }

    fn run_line(
        &self,
        request: LineRequest,
        pending: PendingLine,
        permit: Permit,
    ) -> impl Future<Output = LineEnd> + Send + use<> {
        let line_worker = LineWorker {
            context: self.worker.context.clone(),
            owner: self.worker.owner.clone(),
            stop: self.worker.retrier.stop.clone(),
        };
        async move {
            let run = line_worker.run(&request, &pending.trace_id, permit);
            match run.await {
                Ok(LineProgress::Completed(answer)) => {
                    LineEnd::Finished(pending.into_outcome(Ok(answer)))
                }
                Ok(LineProgress::OutOfBudget { refill_in }) => LineEnd::OutOfBudget {
                    line: pending,
                    refill_in,
                },
                Err(e) => LineEnd::Finished(pending.into_outcome(Err(e))),
            }
        }
    }

    async fn handle_end(&mut self, end: LineEnd) -> Result<(), StoreError> {
        match end {
            LineEnd::Finished(outcome) => {
                self.postponed.line_ended();
                self.worker.record(self.result, outcome).await
            }
            LineEnd::OutOfBudget { line, refill_in } => {
                if self.postponed.push(line, refill_in) {
                    let id = &self.worker.retrier.batch_id;
                    info!("{id}: a budget is exhausted for {refill_in:?}; starting no lines");
                }
                Ok(())
            }
        }
    }

    /// Gives every line that has not been started its outcome, then waits for the lines in flight.
    async fn stop(&mut self, reason: StopReason) -> Result<(), StoreError> {
        while !self.is_read && self.worker.advance(&mut self.unread).await? {
            let line = parse(self.worker, &mut self.seen_ids, self.unread.current());
            let error = line.request.err().unwrap_or(reason.into());
            let outcome = line.pending.into_outcome(Err(error));
            self.worker.record(self.result, outcome).await?;
        }
        while let Some(ended) = self.in_flight.join_next().await {
            self.handle_end(end_of(ended)).await?;
        }
        while let Some(pending) = self.postponed.pop() {
            let outcome = pending.into_outcome(Err(reason.into()));
            self.worker.record(self.result, outcome).await?;
        }
        Ok(())
    }
}

/// Parses a line. Of several lines with the same `custom_id`, only the first is run.
fn parse(worker: &BatchWorker, seen_ids: &mut SeenIds, line: Line<'_>) -> ReadLine {
    let pending = PendingLine {
        number: line.number,
        custom_id: line.text.and_then(find_custom_id),
        trace_id: worker.context.store.fresh_id(""),
        range: line.range,
    };
    let parsed = match line.text {
        Some(text) => LineRequest::parse(text, &worker.endpoint, &pending.trace_id),
        None => Err(LineError::TooLarge),
    };
    let is_new = match &pending.custom_id {
        Some(id) => seen_ids.insert(id),
        None => true,
    };
    let request = match parsed {
        Ok(_) if !is_new => Err(LineError::DuplicateCustomId),
        parsed => parsed,
    };
    ReadLine { pending, request }
}
