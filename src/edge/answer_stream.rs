//! An answer that has begun, as it is forwarded to the client.

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

/// What an answer stream yields.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamItem {
    /// Complete events, to be forwarded as they are.
    Data(Bytes),
    /// The answer is complete.
    Complete,
    /// The answer broke off.
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

/// How an answer is forwarded.
#[derive(Clone, Copy, Debug)]
pub(super) struct StreamOptions {
    /// The client gets the events as they come, not one object at the end.
    pub(super) streamed: bool,
    /// The client gets the usage event.
    pub(super) include_usage: bool,
    /// Tokens that the reservation is extended by at a time.
    pub(super) output_slice: u64,
}

/// An answer that has begun. Dropping it before its end cancels the attempt and charges what was
/// forwarded.
pub struct AnswerStream {
    /// The id of the request.
    pub trace: RequestIdGuard,
    /// The catalog that the request began with.
    pub(super) catalog: Arc<Catalog>,
    /// The model that answers, as an index into the catalog.
    pub(super) model: usize,
    pub(super) reservation: ReservationGuard,
    /// The request's span, for log lines.
    pub(super) span: Span,
    pub(super) options: StreamOptions,
    pub(super) chunks: mpsc::Receiver<Chunk>,
    /// Dropped without an end, it has the core cancel the attempt.
    pub(super) pending: Option<PendingRequest>,
    pub(super) meter: UsageMeter,
    /// How it ended, once it has.
    pub(super) end: Option<StreamEnd>,
    /// The budget that ended it, if one did.
    pub(super) cutoff: Option<BudgetCutoff>,
}

impl AnswerStream {
    /// The name of the model that answers.
    pub fn model(&self) -> &str {
        &self.catalog.model(self.model).name
    }

    /// The budget that cut the answer off, if one did.
    pub fn cutoff(&self) -> Option<&BudgetCutoff> {
        self.cutoff.as_ref()
    }

    /// The next item: all complete events that have come. After the end it yields the end again.
    /// Cancel safe.
    pub async fn next(&mut self) -> StreamItem {
        loop {
            let mut output = BytesMut::new();
            self.take_events(&mut output);
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

    /// Forwards the complete events that have come.
    fn take_events(&mut self, output: &mut BytesMut) {
        while self.end.is_none() {
            match self.meter.next_event() {
                Ok(Some(event)) => self.forward(&event, output),
                Ok(None) => return,
                Err(error) => {
                    warn!(parent: &self.span, "{error}; the answer is broken off");
                    self.finish(StreamEnd::Broken);
                }
            }
        }
    }

    /// Forwards what remains at the end of a complete stream.
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
        // the router requests the usage for itself, whether or not the client did
        if !event.usage_only || self.options.include_usage {
            output.extend_from_slice(&event.bytes);
        }
    }

    /// Ends the answer where its budget does: the client gets a proper end with the reason, and the
    /// attempt is cancelled.
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
        // dropping it has the core cancel the attempt
        self.pending = None;
        self.end = Some(StreamEnd::Complete);
    }

    /// Settles the reservation and tells the core how the answer ended.
    fn finish(&mut self, end: StreamEnd) {
        let used = self.metered_usage();
        let charged = match end {
            StreamEnd::Complete => used,
            StreamEnd::Broken if self.options.streamed => self.reservation.used(),
            // nobody gets a part of an answer that is not streamed
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

    /// The usage of the complete answer. Logs what the server reports wrongly.
    fn metered_usage(&self) -> TokenUsage {
        let context_window = self.catalog.model(self.model).context_window;
        let prompt_tokens = self.reservation.prompt_tokens();
        let metered = self.meter.usage(prompt_tokens, context_window.into());
        let model = self.model();
        if metered.source == UsageSource::ImplausibleReport {
            warn!(parent: &self.span, model, "the server reports an implausible usage; counted tokens are charged");
        }
        let reported = self.meter.reported_model();
        if reported.is_some_and(|reported| reported != model) {
            debug!(parent: &self.span, model, reported, "the server reports another model");
        }
        metered.usage
    }
}
