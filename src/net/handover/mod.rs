//! The replacement of a running process by another one of the same router, without a gap for
//! clients. The successor gets the predecessor's maintenance state, its endpoint list and a share
//! of its limits, and announces when it serves; operators' commands are carried out by both. The
//! processes exchange lines of JSON over a Unix socket in the router's folder.
//!
//! - `rendezvous`: the folder, and the socket and files in it;
//! - `predecessor_link`: how a process that starts finds its predecessor;
//! - `takeover`: the successor's side, `successors`: the predecessor's;
//! - `exchange`, `session`, `message`, `message_stream`: what the two send each other;
//! - `limit_shares`, `resource_amounts`: the limits that they divide between them;
//! - `maintenance_file`: the maintenance state for a process that has no predecessor.
//!
//! Not here: the maintenance state itself (`lifecycle`, which also writes the file) and clients'
//! listening socket, which the platform passes to each process.

mod exchange;
mod limit_shares;
mod maintenance_file;
mod message;
mod message_stream;
mod outgoing_transfers;
mod peer_registration;
mod predecessor_link;
mod rendezvous;
mod resource_amounts;
mod session;
mod successors;
mod takeover;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::{Notify, mpsc, watch};

use super::discovery::endpoint_list::EndpointList;
use crate::core::DiscoveryCommand;
use crate::lifecycle::Lifecycle;

pub use limit_shares::LimitShares;
pub use predecessor_link::PredecessorLink;
pub use rendezvous::Rendezvous;

/// The version of the messages' form. A process of another version is rejected.
const PROTOCOL_VERSION: u32 = 1;
/// How long a process waits for an answer of the other one, and a successor for its share of the
/// limits. A successor whose predecessor hangs starts from the file, with half of the limits.
const PEER_TIMEOUT: Duration = Duration::from_millis(600);
/// Messages that wait to be written to the other process at most.
const OUTGOING_QUEUE_LENGTH: usize = 64;
/// Connected successors at most; more are closed at once.
const MAX_SUCCESSORS: usize = 4;
/// How often a successor looks whether it can serve.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// This process's side of replacements.
pub struct Handover {
    /// Where the processes of the router find each other.
    pub rendezvous: Rendezvous,
    /// Operators' commands and the maintenance state.
    pub lifecycle: Arc<Lifecycle>,
    /// This process's share of the limits.
    pub limits: Arc<LimitShares>,
    /// The endpoint list as this process has it.
    pub endpoints: watch::Receiver<Option<EndpointList>>,
    /// The names of the zones.
    pub localities: Vec<String>,
    /// Takes in the endpoint list of a predecessor.
    pub discovery: mpsc::Sender<DiscoveryCommand>,
    /// Turns true when this process shuts down.
    pub shutdown: watch::Receiver<bool>,
    /// Whether a successor serves clients.
    pub successor_serving: watch::Sender<bool>,
    /// Notified when the rendezvous socket is to be bound anew.
    pub rebind: Notify,
    /// Whether this process has bound the rendezvous socket, unless a successor has since: it would
    /// connect to itself there.
    pub owns_socket: AtomicBool,
}

impl Handover {
    /// Starts this process's side. Returns once it may accept clients: at once without a
    /// predecessor, else when it has an endpoint list and a share of the limits, or the predecessor
    /// has ended.
    pub async fn start(self: Arc<Self>, predecessor: Option<PredecessorLink>) {
        let announce = match predecessor {
            Some(link) => Some(self.prepare_takeover(link).await),
            None => None,
        };
        self.owns_socket.store(true, Ordering::Relaxed);
        tokio::spawn(self.clone().accept_successors());
        tokio::spawn(async move {
            if let Some(announce) = announce {
                Handover::announce_takeover(announce).await;
            }
            self.lifecycle.set_serving();
        });
    }
}
