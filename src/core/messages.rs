//! The messages between actors: to the core, and from the core to an upstream. Types only.

use std::sync::Arc;
use std::time::Instant;

use tokio::sync::{mpsc, oneshot};

use super::{
    Answer, AttemptGate, AttemptId, AttemptResult, Chunk, EndpointsUpdate, MaintenanceError,
    Payload, Request,
};
use crate::interface::{HealthCheckEnded, ReplicaId, RequestId};
use crate::ops::exclusions::Exclusion;

/// The most messages that wait for the core. When its mailbox is full, senders wait.
pub const MAILBOX_CAPACITY: usize = 4096;

/// A message to the core.
#[derive(Debug)]
pub enum CoreMessage {
    /// A front end submits a request.
    Submit {
        /// The request.
        request: Request,
        /// Receives its answer.
        answer_sender: oneshot::Sender<Answer>,
        /// Receives its id, with which the front end reports that the client has disconnected.
        id_sender: oneshot::Sender<RequestId>,
    },
    /// The client of a request has disconnected.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// The endpoint list has changed, or could not be fetched.
    EndpointsUpdated(EndpointsUpdate),
    /// The first token of an attempt's answer has come.
    FirstToken {
        /// The attempt.
        id: AttemptId,
        /// When the token came.
        at: Instant,
        /// The answer, from its first byte on.
        chunks: mpsc::Receiver<Chunk>,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The attempt.
        id: AttemptId,
        /// When it ended.
        at: Instant,
        /// How it ended, and what the model server reported.
        result: AttemptResult,
    },
    /// A health check has ended.
    HealthCheckEnded(HealthCheckEnded),
}

/// A command for an upstream actor.
#[derive(Debug)]
pub enum UpstreamCommand {
    /// Make this attempt, at most once.
    StartAttempt(Attempt),
    /// Check the model server's health.
    CheckHealth,
}

/// An attempt as the core commands it.
#[derive(Debug)]
pub struct Attempt {
    /// Its request and number.
    pub id: AttemptId,
    /// The bytes to send.
    pub payload: Payload,
    /// When the router stops waiting for the first token.
    pub deadline: Instant,
    /// Has to be passed just before the first byte is written; from then on the attempt may run.
    pub gate: Arc<AttemptGate>,
    /// Closes when the attempt is cancelled.
    pub cancelled: oneshot::Receiver<()>,
}

/// What an operator commands for a model server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceAction {
    /// Exclude it from routing.
    Exclude,
    /// Restore it.
    Restore,
}

/// An operator's command about a model server. These commands have a mailbox of their own, which is
/// read before clients' messages.
#[derive(Debug)]
pub struct MaintenanceCommand {
    /// The model server.
    pub replica: ReplicaId,
    /// Its name.
    pub name: String,
    /// What is commanded.
    pub action: MaintenanceAction,
    /// Another process of this router has validated the command: it is accepted even where no list
    /// seen here has named the server.
    pub validated: bool,
    /// Receives the exclusions that are in force once the command is carried out.
    pub reply_sender: oneshot::Sender<Result<Vec<Exclusion>, MaintenanceError>>,
}
