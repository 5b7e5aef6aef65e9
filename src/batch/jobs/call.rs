//! One line's way through the core or the edge, with its waits.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::sync::watch;

use super::Options;
use super::batch::Stop;
use crate::batch::line::{Ask, Assembly, LineError};
use crate::batch::live::Live;
use crate::batch::store::unix;
use crate::batch::window::{Place, Window};
use crate::core::{Answer, Chunk, CoreHandle};
use crate::edge::{Caller, ChatRequest, Rejection, RejectionCause, StreamItem};
use crate::net::listener::wait_until_set;

/// The first wait before a line that was turned away unsent is submitted anew; it doubles up to the
/// second.
const WAITS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));

/// One line's way through the core.
pub(super) struct Call {
    pub(super) core: CoreHandle,
    pub(super) live: Option<Live>,
    pub(super) caller: Caller,
    pub(super) window: Window,
    pub(super) options: Arc<Options>,
    pub(super) cancelled: watch::Receiver<bool>,
    pub(super) ending: watch::Receiver<bool>,
    pub(super) until: Instant,
}

impl Call {
    pub(super) async fn run(
        mut self,
        ask: &Ask,
        trace: &str,
        place: Place,
    ) -> Result<Value, LineError> {
        match self.live.clone() {
            Some(live) => self.run_at_edge(&live, ask, trace, place).await,
            None => self.run_at_core(ask, trace, place).await,
        }
    }

    /// Waits, unless the rest of the batch is not to be run.
    async fn pause(&mut self, wait: Duration) -> Result<(), LineError> {
        tokio::select! {
            () = tokio::time::sleep(wait) => Ok(()),
            () = wait_until_set(&mut self.cancelled) => Err(Stop::Cancelled.error()),
            () = wait_until_set(&mut self.ending) => Err(Stop::Cancelled.error()),
            () = tokio::time::sleep_until(self.until.into()) => Err(Stop::Expired.error()),
        }
    }

    /// Through the edge: the line's own model, charged to the key that created the batch.
    async fn run_at_edge(
        &mut self,
        live: &Live,
        ask: &Ask,
        trace: &str,
        place: Place,
    ) -> Result<Value, LineError> {
        let mut wait = WAITS.0;
        let mut place = Some(place);
        loop {
            let held = match place.take() {
                Some(place) => place,
                None => self.window.enter().await,
            };
            let chat = ask
                .chat
                .clone()
                .map_err(|e| LineError::new("invalid_body", e.message))?;
            let Some(trace_held) = live.request_ids.acquire(trace) else {
                return Err(LineError::new("internal_error", "the line's id is in use"));
            };
            let start = Instant::now();
            let request = ChatRequest {
                caller: self.caller.clone(),
                chat,
                class: Some(self.options.class_name.clone()),
                timeout: Some(self.options.patience),
                received_at: start,
                trace: trace_held,
                interactive: false,
                client: None,
            };
            let Rejection {
                error,
                attempts,
                cause,
                retry_after,
            } = match live.edge.start(request).await {
                Ok(mut answer) => {
                    let took = start.elapsed();
                    let mut all = Assembly::default();
                    loop {
                        match answer.next().await {
                            StreamItem::Data(bytes) => all.add(&bytes),
                            StreamItem::Complete => break,
                            StreamItem::Broken => {
                                let message = "the answer broke off; it may have run";
                                return Err(LineError::new("answer_broken", message));
                            }
                        }
                    }
                    held.served(took);
                    return all.finish(trace, unix(), &answer.model().into());
                }
                Err(rejection) => rejection,
            };
            match (error.status, cause) {
                // a budget that refills lets the line go on then; it holds no place in the window
                // meanwhile
                (_, RejectionCause::BudgetExhausted { refill_in }) => {
                    drop(held);
                    self.pause(refill_in.max(WAITS.0)).await?;
                    continue;
                }
                (_, RejectionCause::LargerThanBudget) => {
                    return Err(LineError::new("budget_exhausted", error.message));
                }
                (401, _) => {
                    return Err(LineError::new(
                        "key_revoked",
                        "the key that created the batch is not valid any more",
                    ));
                }
                (400..=499, _) => {
                    return Err(LineError::new(
                        error.code.unwrap_or("invalid_body"),
                        error.message,
                    ));
                }
                _ => {}
            }
            if attempts > 0 {
                let message = "no attempt within the limits was answered in time";
                return Err(LineError::new("attempts_failed", message));
            }
            held.turned_away();
            self.pause(retry_after.unwrap_or(wait).max(WAITS.0)).await?;
            wait = (wait * 2).min(WAITS.1);
            place = Some(held);
        }
    }

    async fn run_at_core(
        &mut self,
        ask: &Ask,
        trace: &str,
        place: Place,
    ) -> Result<Value, LineError> {
        let mut wait = WAITS.0;
        loop {
            let rpc = ask.rpc(self.options.class, self.options.patience);
            let start = Instant::now();
            let submitted = self.core.submit(rpc).await;
            let Ok(mut ticket) = submitted else {
                return Err(LineError::new("router_ended", "the router ended"));
            };
            let (retry_in, sent) = match ticket.answer().await {
                Answer::Started(mut pieces) => {
                    let took = start.elapsed();
                    let mut all = Assembly::default();
                    loop {
                        match pieces.recv().await {
                            Some(Chunk::Data(bytes)) => all.add(&bytes),
                            Some(Chunk::Complete) => break,
                            Some(Chunk::Broken) | None => {
                                ticket.fail();
                                let message = "the answer broke off; it may have run";
                                return Err(LineError::new("answer_broken", message));
                            }
                        }
                    }
                    ticket.complete();
                    place.served(took);
                    return all.finish(trace, unix(), &ask.model);
                }
                Answer::Rejected {
                    retry_after: retry_in,
                    forwarded: sent,
                    ..
                } => (retry_in, sent),
                Answer::Failed {
                    forwarded: sent, ..
                } => (None, sent),
            };
            ticket.complete();
            if sent {
                // an attempt that reached a server may have run: the line is not submitted again
                return Err(LineError::new(
                    "attempts_failed",
                    "no attempt within the limits was answered in time",
                ));
            }
            place.turned_away();
            self.pause(retry_in.unwrap_or(wait).max(WAITS.0)).await?;
            wait = (wait * 2).min(WAITS.1);
        }
    }
}
