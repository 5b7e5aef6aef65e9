//! One RPC of our own API: its reservation, its legs through the core, and its answer as it is
//! passed on.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tracing::field::Empty;
use tracing::{Instrument, Span, debug, info_span, warn};

use super::chat::Chat;
use super::meter::{Event, Meter, Usage};
use super::{Caller, Edge, exhausted, no_model};
use crate::api::ApiError;
use crate::core::{Answer, Chunk, Client, PendingRequest, Request, RequestAttributes};
use crate::interface::Dur;
use crate::net::upstream::payload;
use crate::request_ids::RequestIdGuard;
use crate::routing::{
    Catalog, ChatQuery, Route, RouteError, RouteExhausted, RouteStep, Submission, SubmissionEnd,
};
use crate::spend::{BudgetExceeded, NodeId, Price, ReservationId};

/// The longest patience of a client that is believed.
const MAX_PATIENCE: Duration = Duration::from_secs(600);

/// What is to be done.
pub struct Work {
    /// Who asks.
    pub caller: Caller,
    /// What for.
    pub chat: Chat,
    /// The class, where it is told; else the model's, else the settings' first.
    pub class: Option<String>,
    /// How long its client waits, where it is told; else the class's deadline.
    pub patience: Option<Duration>,
    /// When it had come in whole.
    pub received: Instant,
    /// The id that model servers see.
    pub trace: RequestIdGuard,
    /// Somebody waits for it now.
    pub live: bool,
    /// Who; none where nobody can leave.
    pub client: Option<Arc<dyn Client>>,
}

/// The one final answer of an RPC that is not served.
#[derive(Clone, Debug)]
pub struct Declined {
    /// What the client is told.
    pub error: ApiError,
    /// Call attempts that it had.
    pub attempts: u32,
    /// Some attempt may have run.
    pub sent: bool,
    /// A budget has no room: when it may have some again, where it ever does.
    pub budget: Option<Option<Duration>>,
    /// When to come back, where that was told.
    pub retry_in: Option<Duration>,
}

impl From<ApiError> for Declined {
    fn from(error: ApiError) -> Declined {
        Declined {
            error,
            attempts: 0,
            sent: false,
            budget: None,
            retry_in: None,
        }
    }
}

/// A reservation that ends with its RPC. Guards against one that outlives it, on any way out.
struct Account {
    edge: Arc<Edge>,
    node: Option<NodeId>,
    hold: Option<ReservationId>,
    price: Price,
    /// Tokens of the prompt, as estimated.
    prompt: u64,
    /// Tokens of the answer that the reservation holds.
    answer: u64,
    /// What is charged if nothing else is known by the end: none until an answer has begun.
    passed: Option<Usage>,
}

impl Account {
    /// Reserves for a leg, in place of what was reserved for an earlier one.
    fn reserve(&mut self, price: Price, answer: u64) -> Result<(), BudgetExceeded> {
        (self.price, self.answer) = (price, answer);
        let Some(node) = self.node else { return Ok(()) };
        let (amount, now) = (price.cost(self.prompt, answer), self.edge.moment());
        let ledger = &mut self.edge.state().ledger;
        match self.hold {
            Some(hold) => ledger.resize(hold, amount, now),
            None => ledger
                .reserve(node, amount, now)
                .map(|hold| self.hold = Some(hold)),
        }
    }

    /// Makes room for so many tokens of the answer, if there is any.
    fn cover(&mut self, answer: u64, slice: u64) -> Result<(), BudgetExceeded> {
        if answer <= self.answer {
            return Ok(());
        }
        let Some(hold) = self.hold else { return Ok(()) };
        let now = self.edge.moment();
        let ledger = &mut self.edge.state().ledger;
        let need = answer - self.answer;
        let mut take = |tokens: u64| {
            ledger
                .extend(hold, self.price.cost(0, tokens), now)
                .map(|()| tokens)
        };
        let got = take(need.max(slice)).or_else(|_| take(need))?;
        self.answer += got;
        Ok(())
    }

    /// Ends the reservation with what was used.
    fn settle(&mut self, used: Usage) {
        let Some(hold) = self.hold.take() else { return };
        let now = self.edge.moment();
        let charge =
            self.edge
                .state()
                .ledger
                .settle(hold, self.price.cost(used.prompt, used.answer), now);
        if charge.uncharged > 0 {
            debug!(
                "{} of {} micro-tokens are beyond the budget and not charged",
                charge.uncharged, charge.used
            );
        }
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.settle(self.passed.unwrap_or_default());
    }
}

/// What goes on to the client.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// Whole events.
    Data(Bytes),
    /// The answer is whole.
    Done,
    /// It broke off.
    Broken,
}

/// An answer that has begun.
pub struct Serving {
    /// The id that it goes by.
    pub trace: RequestIdGuard,
    /// The name of the model that was asked for.
    pub asked: String,
    catalog: Arc<Catalog>,
    model: usize,
    account: Account,
    /// What the log's lines of this RPC stand under.
    span: Span,
    slice: u64,
    stream: bool,
    usage: bool,
    pieces: mpsc::Receiver<Chunk>,
    ticket: Option<PendingRequest>,
    meter: Meter,
    /// The end, once it is known.
    end: Option<Part>,
    cut: Option<Value>,
}

impl Edge {
    /// Takes an RPC along its model's chain until one answers. Dropped, it leaves nothing behind:
    /// the attempt under way is called off and nothing is charged.
    pub async fn start(self: &Arc<Edge>, work: Work) -> Result<Serving, Declined> {
        let school = work.caller.school().unwrap_or_default();
        let span = info_span!(
            "rpc",
            trace = work.trace.id(),
            school,
            model = work.chat.model,
            attempts = Empty
        );
        self.legs(work, &span).instrument(span.clone()).await
    }

    async fn legs(self: &Arc<Edge>, work: Work, span: &Span) -> Result<Serving, Declined> {
        let Work {
            caller,
            chat,
            class,
            patience,
            received,
            trace,
            live,
            client,
        } = work;
        let (mut route, mut account, attributes, slice) =
            self.plan(&caller, &chat, class, patience, received, live)?;
        let mut submitted = false;
        let mut sent = false;
        loop {
            let step = {
                let state = &*self.state();
                route.next_step(&state.inventory, &state.estimates, self.now())
            };
            let leg = match step {
                RouteStep::Submit(leg) => leg,
                RouteStep::Exhausted(gave) => {
                    span.record("attempts", gave.attempts);
                    debug!(
                        refused = gave.rejected,
                        no_host = gave.no_host,
                        "not served"
                    );
                    if !sent {
                        trace.release();
                    }
                    return Err(gave_up(&gave));
                }
            };
            let catalog = route.catalog().clone();
            let model = catalog.model(leg.model);
            let answer = chat
                .cap
                .map_or(slice.min(leg.max_output_tokens), |_| leg.max_output_tokens);
            if let Err(refusal) = account.reserve(model.price, answer.into()) {
                if submitted {
                    // a dearer fallback that the budget does not hold is passed over
                    route.skip_submission();
                    continue;
                }
                trace.release();
                let retry_in = refusal.retry_after.map(|d| Duration::from_micros(d.0));
                debug!(node = refusal.node, budget = refusal.budget, "no budget");
                let error = exhausted(&refusal, self.moment());
                return Err(Declined {
                    budget: Some(retry_in),
                    retry_in,
                    ..error.into()
                });
            }
            submitted = true;
            let rpc = self.rpc(
                &attributes,
                &chat,
                &model.name,
                model.number,
                &leg,
                trace.id(),
            );
            let rpc = Request {
                client: client.clone(),
                ..rpc
            };
            debug!(
                model = model.name,
                spent = leg.unavailable_attempts,
                cap = leg.max_output_tokens,
                "leg"
            );
            let Ok(mut ticket) = self.core.submit(rpc).await else {
                return Err(ApiError::new(503, None, "the router is ending").into());
            };
            let ended = match ticket.answer().await {
                Answer::Started(pieces) => {
                    route.answer_started(&mut self.state().estimates, self.now());
                    account.passed = Some(Usage {
                        prompt: account.prompt,
                        answer: 0,
                    });
                    return Ok(Serving {
                        trace,
                        asked: chat.model,
                        model: leg.model,
                        catalog,
                        account,
                        span: span.clone(),
                        slice: slice.into(),
                        stream: chat.stream,
                        // a plain answer always has its usage
                        usage: chat.usage || !chat.stream,
                        pieces,
                        ticket: Some(ticket),
                        meter: Meter::default(),
                        end: None,
                        cut: None,
                    });
                }
                Answer::Rejected {
                    retry_after,
                    forwarded,
                    attempts,
                } => {
                    let retry_after = retry_after.map(|d| Dur(d.as_micros() as u64));
                    SubmissionEnd {
                        attempts,
                        forwarded,
                        retry_after,
                        rejected: true,
                    }
                }
                Answer::Failed {
                    forwarded,
                    attempts,
                } => SubmissionEnd {
                    attempts,
                    forwarded,
                    retry_after: None,
                    rejected: false,
                },
            };
            ticket.complete();
            sent |= ended.forwarded;
            route.submission_ended(ended, &mut self.state().estimates, self.now());
        }
    }

    /// What an RPC goes by: its route, its account, the module's attributes.
    fn plan(
        self: &Arc<Edge>,
        caller: &Caller,
        chat: &Chat,
        class: Option<String>,
        patience: Option<Duration>,
        received: Instant,
        live: bool,
    ) -> Result<(Route, Account, RequestAttributes, u32), ApiError> {
        let state = self.state();
        let book = state.book.clone();
        let model = book
            .catalog
            .find(&chat.model)
            .filter(|at| state.may_use(caller, *at));
        let model = model.ok_or_else(|| no_model(&chat.model))?;
        let class = class.as_ref().or(book.catalog.model(model).class.as_ref());
        let class = match class {
            Some(name) => self.classes.iter().position(|c| c.name == *name),
            None => Some(0).filter(|_| !self.classes.is_empty()),
        };
        let class = class.ok_or_else(|| ApiError::new(400, "X-Qos", "X-Qos names no class"))?;
        let patience = patience
            .unwrap_or(self.classes[class].deadline)
            .min(MAX_PATIENCE);
        let node = state.spender(caller)?;
        drop(state);
        let query = ChatQuery {
            model,
            prompt_tokens: chat.prompt,
            max_output_tokens: chat.cap,
            expires_at: self.clock.time_at(received) + Dur(patience.as_micros() as u64),
            max_attempts: self.attempts,
            idempotent: self.classes[class].safe,
        };
        let allowed = |at| caller.node().is_none_or(|node| book.may_use(node, at));
        let route = Route::new(book.catalog.clone(), query, allowed).map_err(|why| match why {
            RouteError::ModelForbidden => no_model(&chat.model),
            RouteError::PromptTooLong {
                context_window: window,
            } => {
                let message = format!(
                    "the messages come to about {} tokens; the model's window holds {window}",
                    chat.prompt
                );
                ApiError::new(400, "messages", message).code("context_length_exceeded")
            }
        })?;
        let attributes = RequestAttributes {
            class: class as u32,
            tenant: self.tenant(&book, caller),
            session: chat.session,
            prefix: chat.prefix.map(|p| p.0),
            prompt_tokens: chat.prompt,
            shared_prefix_tokens: chat.prefix.map_or(0, |p| p.1),
            max_output_tokens: 0,
            expected_work: Duration::ZERO,
            received_at: received,
            timeout: patience,
            client_retry: false,
            resumed: false,
            interactive: live,
            model: 0,
            prior_attempts: 0,
        };
        let account = Account {
            edge: self.clone(),
            node,
            hold: None,
            price: Price::default(),
            prompt: chat.prompt.into(),
            answer: 0,
            passed: None,
        };
        Ok((route, account, attributes, book.slice))
    }

    /// A leg as the core takes it.
    fn rpc(
        &self,
        attributes: &RequestAttributes,
        chat: &Chat,
        name: &str,
        number: u32,
        leg: &Submission,
        trace: &str,
    ) -> Request {
        let patience = self
            .clock
            .instant_at(leg.deadline)
            .saturating_duration_since(attributes.received_at);
        let attributes = RequestAttributes {
            max_output_tokens: leg.max_output_tokens,
            timeout: patience,
            model: number,
            prior_attempts: leg.unavailable_attempts,
            ..attributes.clone()
        };
        let body = chat.body_for(name, leg.max_output_tokens).into();
        let payload = payload("POST", "/v1/chat/completions", Some(trace), None, body);
        Request {
            attributes,
            payload,
            client: None,
        }
    }
}

/// The one final answer of an RPC that no model of its chain served.
fn gave_up(gave: &RouteExhausted) -> Declined {
    let retry_in = gave.retry_after.map(|d| Duration::from_micros(d.0));
    let error = match gave {
        RouteExhausted { no_host: true, .. } => {
            let what =
                "no server has the model or one of its fallbacks now; trying again is harmless";
            ApiError::new(503, None, what)
                .code("model_unavailable")
                .retry_in(retry_in)
        }
        RouteExhausted { rejected: true, .. } => {
            let what = "refused: no server could answer in time; trying again is harmless";
            ApiError::new(503, None, what)
                .code("overloaded")
                .retry_in(retry_in)
        }
        _ => ApiError::new(502, None, "failed: an attempt may have run").code("upstream_failed"),
    };
    Declined {
        attempts: gave.attempts,
        sent: gave.attempts > 0,
        retry_in,
        ..error.into()
    }
}

impl Serving {
    /// The name of the model that answers.
    pub fn model(&self) -> &str {
        &self.catalog.model(self.model).name
    }

    /// Why the answer was cut off, where it was.
    pub fn cut(&self) -> Option<&Value> {
        self.cut.as_ref()
    }

    /// The next part: all whole events that have come. Cancel safe.
    pub async fn next(&mut self) -> Part {
        loop {
            let mut out = BytesMut::new();
            while self.end.is_none() {
                match self.meter.event() {
                    Ok(Some(event)) => self.take(&event, &mut out),
                    Ok(None) => break,
                    Err(_) => {
                        warn!(parent: &self.span, "an event without an end; the answer is given up");
                        self.finish(Part::Broken);
                    }
                }
            }
            if !out.is_empty() {
                return Part::Data(out.freeze());
            }
            if let Some(end) = &self.end {
                return end.clone();
            }
            match self.pieces.recv().await {
                Some(Chunk::Data(bytes)) => self.meter.add(&bytes),
                Some(Chunk::Complete) => {
                    let mut out = BytesMut::new();
                    if let Some(event) = self.meter.last() {
                        self.take(&event, &mut out);
                    }
                    if self.end.is_none() {
                        self.finish(Part::Done);
                    }
                    if !out.is_empty() {
                        return Part::Data(out.freeze());
                    }
                }
                Some(Chunk::Broken) | None => self.finish(Part::Broken),
            }
        }
    }

    /// Passes an event on, if the budget holds what it brings.
    fn take(&mut self, event: &Event, out: &mut BytesMut) {
        if event.chars > 0
            && let Err(refusal) = self.account.cover(self.meter.counted(), self.slice)
        {
            self.meter.take_back(event);
            return self.cut_off(&refusal, out);
        }
        self.account.passed = Some(Usage {
            prompt: self.account.prompt,
            answer: self.meter.counted(),
        });
        // the usage was asked for on the router's own account
        if !event.usage_only || self.usage {
            out.extend_from_slice(&event.bytes);
        }
    }

    /// Ends the answer where its budget does: the client gets a proper end that says why, the
    /// attempt is called off.
    fn cut_off(&mut self, refusal: &BudgetExceeded, out: &mut BytesMut) {
        let (prompt, answer) = (self.account.prompt, self.meter.counted());
        let usage = json!({"prompt_tokens": prompt, "completion_tokens": answer, "total_tokens": prompt + answer});
        let retry_in = refusal.retry_after.map(|d| d.0.div_ceil(1_000_000));
        let why = json!({"code": "budget_exhausted", "node": refusal.node, "budget": refusal.budget,
            "retry_in_s": retry_in});
        let event = |choices: Value| {
            json!({"id": format!("chatcmpl-{}", self.trace.id()), "object": "chat.completion.chunk",
                "model": self.meter.model().unwrap_or(self.model()), "choices": choices, "usage": usage,
                "stilespan": why})
        };
        let finish = json!([{"index": 0, "delta": {}, "finish_reason": "length"}]);
        out.extend_from_slice(format!("data: {}\n\n", event(finish)).as_bytes());
        if self.usage {
            out.extend_from_slice(format!("data: {}\n\n", event(json!([]))).as_bytes());
        }
        out.extend_from_slice(b"data: [DONE]\n\n");
        self.cut = Some(why);
        self.account.settle(Usage { prompt, answer });
        self.pieces.close();
        // its drop tells the module, which calls the attempt off
        self.ticket = None;
        self.end = Some(Part::Done);
    }

    fn finish(&mut self, end: Part) {
        let window = self.catalog.model(self.model).context_window;
        let (used, believed) = self.meter.used(self.account.prompt, window.into());
        if believed == Some(false) {
            warn!(parent: &self.span, model = self.model(), "the server tells a usage that can't be; the answer's length counts");
        }
        if self.meter.model().is_some_and(|told| told != self.model()) {
            debug!(parent: &self.span, model = self.model(), told = self.meter.model(), "the server names another model");
        }
        let used = match end {
            Part::Done => used,
            // a stream that broke off is charged for what was passed on, a plain answer for
            // nothing: nobody gets it
            _ if self.stream => self.account.passed.unwrap_or_default(),
            _ => Usage::default(),
        };
        self.account.settle(used);
        if let Some(ticket) = self.ticket.take() {
            if end == Part::Done {
                ticket.complete();
            } else {
                ticket.fail();
            }
        }
        self.end = Some(end);
    }
}
