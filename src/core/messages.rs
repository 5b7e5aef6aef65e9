//! The types of the messages between actors: to the core, and from the core to an upstream.

use std::sync::Arc;
use std::time::Instant;

use tokio::sync::{mpsc, oneshot};

use super::{
    Answer, AttemptGate, AttemptId, AttemptResult, Chunk, EndpointsUpdate, MaintenanceError,
    Payload, Request,
};
use crate::interface::{HealthCheckEnded, ReplicaId, RequestId};
use crate::ops::exclusions::Exclusion;

/// The maximum number of messages that wait for the core. While its mailbox is full, senders wait.
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
        /// Receives the request's id, which the front end uses to report that the client has
        /// disconnected.
        id_sender: oneshot::Sender<RequestId>,
    },
    /// The client of a request has disconnected.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// The endpoint list has changed, or could not be fetched.
    EndpointsUpdated(EndpointsUpdate),
    /// The first token of an attempt's answer has arrived.
    FirstToken {
        /// The attempt.
        id: AttemptId,
        /// When the token arrived.
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
    /// Make this attempt at most once.
    StartAttempt(Attempt),
    /// Check the model server's health.
    CheckHealth,
}

/// An attempt as the core sends it to an upstream.
#[derive(Debug)]
pub struct Attempt {
    /// Its request and number.
    pub id: AttemptId,
    /// The bytes to send.
    pub payload: Payload,
    /// When the router stops waiting for the first token.
    pub deadline: Instant,
    /// The gate that the attempt has to pass just before its first byte is written. After that, the
    /// attempt may run.
    pub gate: Arc<AttemptGate>,
    /// Closes when the attempt is cancelled.
    pub cancelled: oneshot::Receiver<()>,
}

/// An operator's action on a model server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceAction {
    /// Exclude the server from routing.
    Exclude,
    /// Restore the server to routing.
    Restore,
}

/// An operator's command for a model server. These commands have a separate mailbox, which is read
/// before clients' messages.
#[derive(Debug)]
pub struct MaintenanceCommand {
    /// The model server.
    pub replica: ReplicaId,
    /// Its name.
    pub name: String,
    /// The action on the server.
    pub action: MaintenanceAction,
    /// Whether another process of this router has validated the command. A validated command is
    /// accepted even if no list that this process has received names the server.
    pub validated: bool,
    /// Receives the exclusions that are in effect after the command has been executed.
    pub reply_sender: oneshot::Sender<Result<Vec<Exclusion>, MaintenanceError>>,
}
