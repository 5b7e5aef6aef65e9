//! The stream of an answer that has begun and is being forwarded to the client.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use tokio::sync::mpsc;
use tracing::{Span, debug, warn};

use super::budget_cutoff::BudgetCutoff;
use super::reservation_guard::ReservationGuard;
use super::usage_meter::{StreamEvent, TokenUsage, UsageMeter, UsageSource};
use crate::core::{Chunk, PendingRequest};
use crate::request_ids::RequestIdGuard;
use crate::routing::Catalog;
use crate::spend::BudgetExceeded;

/// An item of an answer stream.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamItem {
    /// Complete server-sent events, to be forwarded unchanged.
    Data(Bytes),
    /// The answer is complete.
    Complete,
    /// The answer ended before it was complete.
    Broken,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamEnd {
    Complete,
    Broken,
}

impl From<StreamEnd> for StreamItem {
    fn from(end: StreamEnd) -> StreamItem {
        match end {
            StreamEnd::Complete => StreamItem::Complete,
            StreamEnd::Broken => StreamItem::Broken,
        }
    }
}

/// Options for forwarding an answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct StreamOptions {
    /// Whether the client receives the events as they arrive, rather than one object at the end.
    pub(super) streamed: bool,
    /// Whether the client receives the usage event.
    pub(super) include_usage: bool,
    /// The number of output tokens by which the reservation is extended at a time.
    pub(super) output_slice: u64,
}

/// The stream of an answer that has begun. Dropping it before its end cancels the attempt and
/// charges the tokens forwarded so far.
pub struct AnswerStream {
    /// The id of the request.
    pub trace: RequestIdGuard,
    /// The catalog that was current when the request began.
    pub(super) catalog: Arc<Catalog>,
    /// The model that answers, as an index into the catalog.
    pub(super) model: usize,
    pub(super) reservation: ReservationGuard,
    /// The request's span, for log lines.
    pub(super) span: Span,
    pub(super) options: StreamOptions,
    pub(super) chunks: mpsc::Receiver<Chunk>,
    /// The request at the core. Dropping it before reporting an end cancels the attempt.
    pub(super) pending: Option<PendingRequest>,
    pub(super) meter: UsageMeter,
    /// How the answer ended; `None` while it is in progress.
    pub(super) end: Option<StreamEnd>,
    /// The budget that cut the answer off, if any.
    pub(super) cutoff: Option<BudgetCutoff>,
}

impl AnswerStream {
    /// The name of the model that answers.
    pub fn model(&self) -> &str {
        &self.catalog.model(self.model).name
    }

    /// The budget that cut the answer off, if any.
    pub fn cutoff(&self) -> Option<&BudgetCutoff> {
        self.cutoff.as_ref()
    }

    /// Returns the next item: all complete events received so far, or the end of the answer. Calls
    /// after the end return the end again. Cancel safe.
    pub async fn next(&mut self) -> StreamItem {
        loop {
            let mut output = BytesMut::new();
            self.forward_complete_events(&mut output);
            if !output.is_empty() {
                return StreamItem::Data(output.freeze());
            }
            if let Some(end) = self.end {
                return end.into();
            }
            match self.chunks.recv().await {
                Some(Chunk::Data(bytes)) => self.meter.feed(&bytes),
                Some(Chunk::Complete) => {
                    let mut output = BytesMut::new();
                    self.complete(&mut output);
                    if !output.is_empty() {
                        return StreamItem::Data(output.freeze());
                    }
                }
                Some(Chunk::Broken) | None => self.finish(StreamEnd::Broken),
            }
        }
    }

    /// Forwards all complete events received so far.
    fn forward_complete_events(&mut self, output: &mut BytesMut) {
        while self.end.is_none() {
            match self.meter.next_event() {
                Ok(Some(event)) => self.forward(&event, output),
                Ok(None) => return,
                Err(error) => {
                    warn!(parent: &self.span, "{error}; ending the answer as broken");
                    self.finish(StreamEnd::Broken);
                }
            }
        }
    }

    /// Forwards the remaining bytes at the end of a complete stream.
    fn complete(&mut self, output: &mut BytesMut) {
        if let Some(event) = self.meter.take_remainder() {
            self.forward(&event, output);
        }
        if self.end.is_none() {
            self.finish(StreamEnd::Complete);
        }
    }

    /// Forwards an event if the budgets have capacity for it; otherwise cuts the answer off.
    fn forward(&mut self, event: &StreamEvent, output: &mut BytesMut) {
        if event.chars > 0 {
            let output_tokens = self.meter.counted_output_tokens();
            let slice = self.options.output_slice;
            if let Err(exceeded) = self.reservation.extend_to(output_tokens, slice) {
                self.meter.discard(event);
                return self.cut_off(&exceeded, output);
            }
        }
        self.reservation
            .record_forwarded(self.meter.counted_output_tokens());
        // the router always requests the usage event, even if the client did not
        if !event.usage_only || self.options.include_usage {
            output.extend_from_slice(&event.bytes);
        }
    }

    /// Ends the answer because a budget is exhausted: sends the client the closing events with the
    /// reason, and cancels the attempt.
    fn cut_off(&mut self, exceeded: &BudgetExceeded, output: &mut BytesMut) {
        let used = TokenUsage {
            prompt_tokens: self.reservation.prompt_tokens(),
            output_tokens: self.meter.counted_output_tokens(),
        };
        let cutoff = BudgetCutoff::new(exceeded);
        let model = self.meter.reported_model().unwrap_or(self.model());
        cutoff.write_events(
            output,
            self.trace.id(),
            model,
            used,
            self.options.include_usage,
        );
        self.cutoff = Some(cutoff);
        self.reservation.settle(used);
        self.chunks.close();
        // dropping the pending request cancels the attempt
        self.pending = None;
        self.end = Some(StreamEnd::Complete);
    }

    /// Settles the reservation and reports to the core how the answer ended.
    fn finish(&mut self, end: StreamEnd) {
        let used = self.metered_usage();
        let charged = match end {
            StreamEnd::Complete => used,
            StreamEnd::Broken if self.options.streamed => self.reservation.used(),
            // a client that did not request a stream receives no partial answer
            StreamEnd::Broken => TokenUsage::default(),
        };
        self.reservation.settle(charged);
        if let Some(pending) = self.pending.take() {
            match end {
                StreamEnd::Complete => pending.complete(),
                StreamEnd::Broken => pending.fail(),
            }
        }
        self.end = Some(end);
    }

    /// The token usage of the answer. Logs an implausible usage report, and a reported model name
    /// that differs from the requested one.
    fn metered_usage(&self) -> TokenUsage {
        let context_window = self.catalog.model(self.model).context_window;
        let prompt_tokens = self.reservation.prompt_tokens();
        let metered = self.meter.usage(prompt_tokens, context_window.into());
        let model = self.model();
        if metered.source == UsageSource::ImplausibleReport {
            warn!(parent: &self.span, model, "the model server reports an implausible token usage; charging the counted tokens");
        }
        let reported = self.meter.reported_model();
        if reported.is_some_and(|reported| reported != model) {
            debug!(parent: &self.span, model, reported, "the model server reports a different model name");
        }
        metered.usage
    }
}
