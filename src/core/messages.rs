//! The messages between actors: to the core, and from the core to an upstream. Types only.

use std::sync::Arc;
use std::time::Instant;

use tokio::sync::{mpsc, oneshot};

use super::{
    Answer, AttemptGate, AttemptId, AttemptResult, Chunk, EndpointsUpdate, Payload, Request,
};
use crate::interface::{HealthCheckEnded, ReplicaId, RequestId};
use crate::ops::exclusions::Exclusion;

/// The most messages that wait for the core. A full mailbox makes the senders wait.
pub const MAILBOX_CAPACITY: usize = 4096;

/// A message to the core.
#[derive(Debug)]
pub enum Message {
    /// A front end submits a request.
    Submit {
        /// The request.
        request: Request,
        /// Receives its answer.
        reply_to: oneshot::Sender<Answer>,
        /// Receives its id, by which the client's disconnection is reported.
        id_to: oneshot::Sender<RequestId>,
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
        /// When.
        at: Instant,
        /// The answer.
        chunks: mpsc::Receiver<Chunk>,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The attempt.
        id: AttemptId,
        /// When.
        at: Instant,
        /// How.
        result: AttemptResult,
    },
    /// A health check has ended.
    HealthCheckEnded(HealthCheckEnded),
}

/// A command for an upstream actor.
#[derive(Debug)]
pub enum UpstreamCommand {
    /// Make this attempt, once.
    StartAttempt(Attempt),
    /// Check the model server's health.
    CheckHealth,
}

/// An attempt as it is commanded.
#[derive(Debug)]
pub struct Attempt {
    /// Which one.
    pub id: AttemptId,
    /// What to send.
    pub payload: Payload,
    /// When the router stops waiting for the first token.
    pub deadline: Instant,
    /// Is asked just before the first byte is written; from then on the attempt may run.
    pub gate: Arc<AttemptGate>,
    /// Closes when the attempt is cancelled.
    pub cancelled: oneshot::Receiver<()>,
}

/// What an operator wants done with a model server.
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
    /// Which one.
    pub replica: ReplicaId,
    /// Its name.
    pub name: String,
    /// What to do.
    pub action: MaintenanceAction,
    /// Accept the command even where no list seen here has named the server: another process of
    /// this router has validated it.
    pub validated: bool,
    /// Receives, once the command is carried out, the exclusions that are in force from then on;
    /// none for a server that was never listed.
    pub reply_to: oneshot::Sender<Option<Vec<Exclusion>>>,
}
