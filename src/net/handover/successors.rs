//! The predecessor's side of a handover: accepts successors on the rendezvous socket, and serves
//! clients again if a successor exits and no other successor has taken over.

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
    /// Accepts successors on `bound`, or on a socket that it binds. Never returns.
    pub(super) async fn accept_successors(self: Arc<Self>, mut bound: Option<UnixListener>) {
        let mut successors = JoinSet::new();
        let socket = self.rendezvous.socket_path();
        let mut errors = AcceptErrors::new(socket.display().to_string());
        loop {
            let listener = match bound.take() {
                Some(listener) => listener,
                None => self.rendezvous.bind_socket().await,
            };
            while let Some(stream) = self.next_successor(&listener, &mut errors).await {
                while successors.try_join_next().is_some() {}
                if successors.len() < MAX_SUCCESSORS {
                    let handover = self.clone();
                    successors.spawn(async move { handover.serve_successor(stream).await });
                }
            }
        }
    }

    /// Accepts the next connection. `None` if the socket must be bound again.
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

    /// Exchanges messages with one successor until either process exits.
    async fn serve_successor(&self, stream: UnixStream) {
        let mut connection = Connection::new(stream);
        let hello = timeout(PEER_TIMEOUT, connection.reader.read()).await;
        let Ok(Ok(Some(PeerMessage::Hello {
            version: PROTOCOL_VERSION,
            shares_ids,
        }))) = hello
        else {
            return warn!("a process sent no hello of this version; closing its connection");
        };
        info!("a successor process has connected");
        let (mut subscription, state) = self.subscribe(Peer::Successor).await;
        let acknowledged = PeerMessage::HelloAcknowledged {
            maintenance: state.maintenance.unwrap_or_default(),
            endpoints: state.endpoints,
            id_key: state.id_key,
        };
        subscription.shares_ids = shares_ids;
        if connection.writer.write(&acknowledged).await.is_err() {
            return;
        }
        let took_over = self
            .exchange(Peer::Successor, connection, subscription, None)
            .await;
        self.resume_after_successor_exit(took_over);
    }

    /// Serves clients again after a successor has exited, unless another successor has taken over.
    /// While this process shuts down it accepts no clients, but processes that start still connect to
    /// it: its last requests concern them.
    fn resume_after_successor_exit(&self, took_over: bool) {
        let another_serves = !took_over && *self.successor_serving.borrow();
        if another_serves {
            return;
        }
        if *self.shutdown.borrow() {
            warn!("the successor process has exited; this process shuts down");
        } else {
            warn!("the successor process has exited; this process goes on serving");
        }
        self.successor_serving.send_replace(false);
        self.lifecycle.set_succeeded(false);
        self.rebind.notify_one();
    }
}
