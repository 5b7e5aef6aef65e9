//! The submissions of one request to the core, along the model's fallback chain, until a model
//! begins to answer.

use std::sync::Arc;

use tokio::sync::mpsc;
use tracing::field::Empty;
use tracing::{Instrument, debug, info_span};

use super::answer_stream::{AnswerStream, StreamOptions};
use super::request_plan::RequestPlan;
use super::usage_meter::UsageMeter;
use super::{ChatRequest, Edge, Rejection};
use crate::api::ApiError;
use crate::core::{Answer, Chunk, PendingRequest, Request, RequestAttributes};
use crate::interface::Span;
use crate::net::upstream::UpstreamRequest;
use crate::routing::{RouteExhausted, RouteStep, Submission, SubmissionEnd};
use crate::spend::BudgetExceeded;

/// The request path at model servers.
const CHAT_PATH: &str = "/v1/chat/completions";

impl Edge {
    /// Submits a request along its model's fallback chain until one model begins to answer.
    /// Dropping the future before then cancels the attempt in flight and charges nothing.
    pub async fn start(self: &Arc<Edge>, request: ChatRequest) -> Result<AnswerStream, Rejection> {
        let span = info_span!(
            "request",
            trace = request.trace.id(),
            tenant = request.caller.tenant().unwrap_or_default(),
            model = request.chat.model,
            attempts = Empty
        );
        let submissions = async {
            let plan = self.plan(&request)?;
            Submissions::new(self.clone(), request, plan, span.clone())
                .run()
                .await
        };
        submissions.instrument(span.clone()).await
    }
}

/// The submissions of a request that has no answer yet. Owns the request's reservation until an
/// answer begins.
struct Submissions {
    edge: Arc<Edge>,
    plan: RequestPlan,
    request: ChatRequest,
    span: tracing::Span,
    /// Whether at least one submission was sent to the core.
    submitted: bool,
    /// Whether a model server may have received the request.
    forwarded: bool,
}

impl Submissions {
    fn new(
        edge: Arc<Edge>,
        request: ChatRequest,
        plan: RequestPlan,
        span: tracing::Span,
    ) -> Submissions {
        Submissions {
            edge,
            request,
            plan,
            span,
            submitted: false,
            forwarded: false,
        }
    }

    async fn run(mut self) -> Result<AnswerStream, Rejection> {
        loop {
            let submission = match self.next_step() {
                RouteStep::Submit(submission) => submission,
                RouteStep::Exhausted(exhausted) => return Err(self.reject_exhausted(&exhausted)),
            };
            if let Err(exceeded) = self.reserve(&submission) {
                if !self.submitted {
                    return Err(self.reject_over_budget(&exceeded));
                }
                // skip a more expensive fallback that exceeds the budget
                self.plan.route.skip_submission();
                continue;
            }
            self.submitted = true;
            let Ok(mut pending) = self.edge.core.submit(self.core_request(&submission)).await
            else {
                return Err(ApiError::new(503, None, "the router is ending").into());
            };
            let end = match pending.answer().await {
                Answer::Started(chunks) => {
                    return Ok(self.into_answer_stream(&submission, pending, chunks));
                }
                Answer::Rejected {
                    retry_after,
                    forwarded,
                    attempts,
                    ..
                } => SubmissionEnd {
                    attempts,
                    forwarded,
                    retry_after: retry_after.map(Span::from),
                    rejected: true,
                },
                Answer::Failed {
                    forwarded,
                    attempts,
                    ..
                } => SubmissionEnd {
                    attempts,
                    forwarded,
                    retry_after: None,
                    rejected: false,
                },
            };
            pending.complete();
            self.record_end(end);
        }
    }

    fn next_step(&mut self) -> RouteStep {
        let state = &*self.edge.state();
        let now = self.edge.now();
        self.plan
            .route
            .next_step(&state.inventory, &state.estimates, now)
    }

    /// Reserves the cost of a submission: the prompt tokens, and output tokens up to the client's
    /// limit or, if the client set none, one output slice.
    fn reserve(&mut self, submission: &Submission) -> Result<(), BudgetExceeded> {
        let price = self.plan.route.catalog().model(submission.model).price;
        let limit = submission.max_output_tokens;
        let output_tokens = match self.request.chat.max_output_tokens {
            Some(_) => limit,
            None => self.plan.output_slice.min(limit),
        };
        self.plan.reservation.reserve(price, output_tokens.into())
    }

    /// Builds the core's request for a submission.
    fn core_request(&self, submission: &Submission) -> Request {
        let model = self.plan.route.catalog().model(submission.model);
        let max_output_tokens = submission.max_output_tokens;
        debug!(
            model = model.name,
            unavailable_attempts = submission.unavailable_attempts,
            max_output_tokens,
            "submission"
        );
        let deadline = self.edge.clock.instant_at(submission.deadline);
        let attributes = RequestAttributes {
            max_output_tokens,
            timeout: deadline.saturating_duration_since(self.plan.attributes.received_at),
            model: model.number,
            prior_attempts: submission.unavailable_attempts,
            ..self.plan.attributes.clone()
        };
        let chat = &self.request.chat;
        let body = chat.forwarded_body(&model.name, max_output_tokens).into();
        let upstream_request = UpstreamRequest {
            method: "POST",
            target: CHAT_PATH,
            trace_id: Some(self.request.trace.id()),
            idempotency_key: None,
            body,
        };
        Request {
            attributes,
            payload: upstream_request.into_payload(),
            client: self.request.client.clone(),
        }
    }

    fn record_end(&mut self, end: SubmissionEnd) {
        self.forwarded |= end.forwarded;
        let now = self.edge.now();
        self.plan
            .route
            .submission_ended(end, &mut self.edge.state().estimates, now);
    }

    fn into_answer_stream(
        mut self,
        submission: &Submission,
        pending: PendingRequest,
        chunks: mpsc::Receiver<Chunk>,
    ) -> AnswerStream {
        let now = self.edge.now();
        self.plan
            .route
            .answer_started(&mut self.edge.state().estimates, now);
        self.plan.reservation.record_forwarded(0);
        let chat = &self.request.chat;
        AnswerStream {
            options: StreamOptions {
                streamed: chat.stream,
                // an answer that is not streamed always contains the usage
                include_usage: chat.include_usage || !chat.stream,
                output_slice: self.plan.output_slice.into(),
            },
            trace: self.request.trace,
            catalog: self.plan.route.catalog().clone(),
            model: submission.model,
            reservation: self.plan.reservation,
            span: self.span,
            chunks,
            pending: Some(pending),
            meter: UsageMeter::default(),
            end: None,
            cutoff: None,
        }
    }

    fn reject_exhausted(self, exhausted: &RouteExhausted) -> Rejection {
        self.span.record("attempts", exhausted.attempts);
        debug!(
            rejected = exhausted.rejected,
            no_host = exhausted.no_host,
            "no model of the fallback chain answered; rejecting the request"
        );
        if !self.forwarded {
            self.request.trace.release();
        }
        Rejection::route_exhausted(exhausted)
    }

    fn reject_over_budget(self, exceeded: &BudgetExceeded) -> Rejection {
        self.request.trace.release();
        debug!(
            node = exceeded.node,
            budget = exceeded.budget,
            "the request exceeds a budget; rejecting it"
        );
        Rejection::budget_exceeded(exceeded, self.edge.clock_reading())
    }
}
