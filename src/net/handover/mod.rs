//! Handover from a running process of a router to its successor without interrupting clients.
//!
//! The successor receives the predecessor's maintenance state, its endpoint list and a share of its
//! limits, and announces when it starts to serve clients. Both processes execute operators'
//! commands. They exchange lines of JSON over a Unix socket in the router's folder.
//!
//! - `rendezvous`: the router's folder with its socket and files;
//! - `predecessor_link`, `hello_reply`: the connection from a starting process to its predecessor;
//! - `takeover`: the successor's side; `successors`: the predecessor's side;
//! - `exchange`, `id_exchange`, `takeover_exchange`, `session`, `message`, `message_stream`: the messages between the two
//!   processes;
//! - `subscription`, `peer_registration`: the state and the changes that the other process is told;
//! - `adoption`: state of a predecessor that reaches this process later than its start;
//! - `limit_shares`, `limit_transfer`, `resource_amounts`: the division of the limits between the two processes;
//! - `maintenance_file`: loads the maintenance state when there is no predecessor.
//!
//! `lifecycle` owns the maintenance state and writes its file. The platform passes the clients'
//! listening socket to each process.

mod adoption;
mod exchange;
mod hello_reply;
mod id_exchange;
mod limit_shares;
mod limit_transfer;
mod maintenance_file;
mod message;
mod message_stream;
mod outgoing_transfers;
mod peer_registration;
mod predecessor_link;
mod rendezvous;
mod resource_amounts;
mod session;
mod subscription;
mod successors;
mod takeover;
mod takeover_exchange;

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, mpsc, watch};

use super::discovery::endpoint_list::EndpointList;
use crate::lifecycle::Lifecycle;
use crate::request_ids::RequestIds;

pub use limit_shares::LimitShares;
pub use predecessor_link::PredecessorLink;
pub use rendezvous::Rendezvous;

/// The version of the message format. A process that sends another version is rejected.
const PROTOCOL_VERSION: u32 = 1;
/// How long a process waits for a reply from the other process, and how long a successor waits for
/// its share of the limits. A successor whose predecessor does not respond loads its maintenance
/// state from the file and takes half of the limits.
const PEER_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum number of messages queued for writing to the other process.
const OUTGOING_QUEUE_LENGTH: usize = 64;
/// Maximum number of connected successors. Further connections are closed immediately.
const MAX_SUCCESSORS: usize = 4;
/// How often a successor checks whether it can serve clients.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The state that this process needs to take over from a predecessor and hand over to successors.
pub struct Handover {
    /// The folder and socket through which the processes of the router connect to each other.
    pub rendezvous: Rendezvous,
    /// Executes operators' commands and owns the maintenance state.
    pub lifecycle: Arc<Lifecycle>,
    /// This process's share of the limits.
    pub limits: Arc<LimitShares>,
    /// The current endpoint list of this process.
    pub endpoints: watch::Receiver<Option<EndpointList>>,
    /// Receives the endpoint lists of a predecessor.
    pub predecessor_lists: mpsc::Sender<EndpointList>,
    /// The request ids of this process.
    pub request_ids: RequestIds,
    /// Turns true when this process shuts down.
    pub shutdown: watch::Receiver<bool>,
    /// Whether a successor serves clients.
    pub successor_serving: watch::Sender<bool>,
    /// Notified when the rendezvous socket must be bound again.
    pub rebind: Notify,
}

impl Handover {
    /// Starts the handover tasks of this process and returns once it may accept clients.
    ///
    /// Without a predecessor it returns immediately. Otherwise it returns once this process has an
    /// endpoint list and a share of the limits, and the predecessor has acknowledged the takeover,
    /// or once the predecessor has exited.
    pub async fn start(self: Arc<Self>, predecessor: Option<PredecessorLink>) {
        if let Some(link) = predecessor
            && !self.take_over_from(link).await
        {
            self.adopt_stored_state().await;
        }
        // bound ahead of serving, so that a process that starts from now on finds this one
        let listener = self.rendezvous.try_bind().ok();
        tokio::spawn(self.clone().accept_successors(listener));
        self.lifecycle.set_serving().await;
    }
}
