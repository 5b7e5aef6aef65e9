//! The predecessor's side of a replacement: accepts successors at the rendezvous socket, and serves
//! clients again where one that had come to take over exits.

use std::sync::Arc;

use tokio::net::{UnixListener, UnixStream};
use tokio::task::JoinSet;
use tokio::time::timeout;
use tracing::{info, warn};

use super::message::PeerMessage;
use super::message_stream::Connection;
use super::session::Peer;
use super::{Handover, MAX_SUCCESSORS, PEER_TIMEOUT, PROTOCOL_VERSION};
use crate::net::accept_errors::AcceptErrors;

impl Handover {
    /// Accepts successors for as long as the process runs.
    pub(super) async fn accept_successors(self: Arc<Self>) {
        let mut successors = JoinSet::new();
        let socket = self.rendezvous.socket_path();
        let mut errors = AcceptErrors::new(socket.display().to_string());
        loop {
            let listener = self.rendezvous.bind_socket().await;
            while let Some(stream) = self.next_successor(&listener, &mut errors).await {
                while successors.try_join_next().is_some() {}
                if successors.len() < MAX_SUCCESSORS {
                    let handover = self.clone();
                    successors.spawn(async move { handover.serve_successor(stream).await });
                }
            }
        }
    }

    /// The next process that connects; `None` where the socket is to be bound anew.
    async fn next_successor(
        &self,
        listener: &UnixListener,
        errors: &mut AcceptErrors,
    ) -> Option<UnixStream> {
        loop {
            let accepted = tokio::select! {
                () = self.rebind.notified() => return None,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    errors.reset();
                    return Some(stream);
                }
                Err(error) => errors.back_off(&error).await,
            }
        }
    }

    /// Exchanges messages with one successor until either process ends.
    async fn serve_successor(&self, stream: UnixStream) {
        let mut connection = Connection::new(stream);
        match timeout(PEER_TIMEOUT, connection.reader.read()).await {
            Ok(Ok(Some(PeerMessage::Hello {
                version: PROTOCOL_VERSION,
            }))) => {}
            _ => return warn!("a process connected that sends no hello of this version"),
        }
        info!("a successor process has connected");
        let acknowledged = PeerMessage::HelloAcknowledged {
            maintenance: self.lifecycle.maintenance_state().await,
            endpoints: self.endpoints.borrow().clone(),
        };
        if connection.writer.write(&acknowledged).await.is_err() {
            return;
        }
        let took_over = self.exchange(Peer::Successor, connection, None).await;
        self.successor_exited(took_over);
    }

    /// Serves on in place of a successor that has exited, unless another one has taken over.
    fn successor_exited(&self, took_over: bool) {
        let another_serves = !took_over && *self.successor_serving.borrow();
        if *self.shutdown.borrow() || another_serves {
            return;
        }
        warn!("the successor process has exited; this process goes on serving");
        self.successor_serving.send_replace(false);
        self.lifecycle.set_succeeded(false);
        self.rebind.notify_one();
    }
}
