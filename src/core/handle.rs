//! The handle through which other modules use the core's actor, and the guard of a submitted
//! request.

use std::sync::Arc;

use tokio::sync::{mpsc, oneshot};

use super::{Answer, CoreLoad, CoreMessage, MaintenanceAction, MaintenanceCommand, Request};
use crate::interface::{ReplicaId, RequestId, UnservedReason};
use crate::ops::exclusions::Exclusion;
use crate::ops::metrics::{Metrics, RequestGuard, RequestOutcome};

/// A handle to the core's actor. Clones refer to the same actor.
#[derive(Clone, Debug)]
pub struct CoreHandle {
    messages: mpsc::Sender<CoreMessage>,
    commands: mpsc::Sender<MaintenanceCommand>,
    load: Arc<CoreLoad>,
    metrics: Arc<Metrics>,
}

/// The core's actor has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the core has ended")]
pub struct CoreStopped;

/// Why an operator's command was not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MaintenanceError {
    /// The core's actor has ended.
    #[error("the core has ended")]
    CoreStopped,
    /// No endpoint list has ever named the model server.
    #[error("no endpoint list has ever named this model server")]
    UnknownServer,
}

impl CoreHandle {
    /// Creates a handle to the actor that receives from these mailboxes.
    pub fn new(
        messages: mpsc::Sender<CoreMessage>,
        commands: mpsc::Sender<MaintenanceCommand>,
        load: Arc<CoreLoad>,
        metrics: Arc<Metrics>,
    ) -> CoreHandle {
        CoreHandle {
            messages,
            commands,
            load,
            metrics,
        }
    }

    /// The metrics in which requests are counted.
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.metrics
    }

    /// Excludes a model server from routing or restores it. Returns the exclusions that are in
    /// effect after the actor has executed the command. A server that no list has ever named is an
    /// error, unless another process has `validated` the command.
    pub async fn maintain(
        &self,
        replica: ReplicaId,
        name: &str,
        action: MaintenanceAction,
        validated: bool,
    ) -> Result<Vec<Exclusion>, MaintenanceError> {
        let (reply_sender, reply) = oneshot::channel();
        let command = MaintenanceCommand {
            replica,
            name: name.to_string(),
            action,
            validated,
            reply_sender,
        };
        let sent = self.commands.send(command).await;
        sent.map_err(|_| MaintenanceError::CoreStopped)?;
        reply.await.map_err(|_| MaintenanceError::CoreStopped)?
    }

    /// Whether the core is ready, and how busy it is.
    pub fn load(&self) -> &CoreLoad {
        &self.load
    }

    /// Submits a request. If the pending request is dropped before its answer has been forwarded
    /// completely, the core is notified that the client has disconnected.
    pub async fn submit(&self, request: Request) -> Result<PendingRequest, CoreStopped> {
        let metrics_guard = self.metrics.start_request(request.attributes.class);
        let (answer_sender, answer) = oneshot::channel();
        let (id_sender, id) = oneshot::channel();
        let message = CoreMessage::Submit {
            request,
            answer_sender,
            id_sender,
        };
        self.messages.send(message).await.map_err(|_| CoreStopped)?;
        Ok(PendingRequest {
            answer,
            id: Some(id),
            messages: self.messages.clone(),
            metrics_guard,
            outcome_when_complete: RequestOutcome::Completed,
        })
    }
}

/// A submitted request. It is a guard: dropping it notifies the core that the client has
/// disconnected, unless the answer was forwarded completely.
#[derive(Debug)]
pub struct PendingRequest {
    answer: oneshot::Receiver<Answer>,
    id: Option<oneshot::Receiver<RequestId>>,
    messages: mpsc::Sender<CoreMessage>,
    metrics_guard: RequestGuard,
    /// The outcome that is counted once the answer has been forwarded completely.
    outcome_when_complete: RequestOutcome,
}

impl PendingRequest {
    /// Waits for the answer. Cancel safe.
    pub async fn answer(&mut self) -> Answer {
        let answer = (&mut self.answer).await.unwrap_or(Answer::Failed {
            reason: UnservedReason::Ending,
            forwarded: true,
            attempts: u32::MAX,
        });
        self.outcome_when_complete = match answer {
            Answer::Started(_) => RequestOutcome::Completed,
            Answer::Rejected { .. } => RequestOutcome::Rejected,
            Answer::Failed { .. } => RequestOutcome::Failed,
        };
        answer
    }

    /// Counts the request as failed, because its answer broke off and the client was notified.
    pub fn fail(mut self) {
        self.metrics_guard.set_outcome(RequestOutcome::Failed);
    }

    /// Counts the request with the outcome of its answer, which was forwarded completely.
    pub fn complete(mut self) {
        self.metrics_guard.set_outcome(self.outcome_when_complete);
        self.id = None;
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        let Some(id) = self.id.take() else { return };
        let messages = self.messages.clone();
        // The mailbox may be full, or the id may not be assigned yet. The report must not be lost
        // in either case.
        tokio::spawn(async move {
            if let Ok(request) = id.await {
                let _ = messages
                    .send(CoreMessage::ClientDisconnected { request })
                    .await;
            }
        });
    }
}
