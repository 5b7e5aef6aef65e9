//! Exchanges messages with the other process until either process exits. Applies the effects that
//! `session` returns for received messages.

use std::future::pending;

use tokio::sync::{mpsc, oneshot};
use tracing::{info, warn};

use super::id_exchange::{MAX_IDS_IN_MESSAGE, announcements, answer_claim};
use super::message::PeerMessage;
use super::message_stream::{Connection, MessageReader, MessageWriter};
use super::outgoing_transfers::OutgoingTransfers;
use super::resource_amounts::ResourceAmounts;
use super::session::{Effect, Peer, Session};
use super::subscription::Subscription;
use super::takeover::TakeoverAnnouncement;
use super::{Handover, OUTGOING_QUEUE_LENGTH};
use crate::lifecycle::{AdminCommand, CommandId, ForwardedCommand};
use crate::request_ids::{IdChange, IdLink, IdRequest};

impl Handover {
    /// Exchanges messages until the other process exits, and returns whether that process had taken
    /// over from this one.
    ///
    /// `subscription` receives the changes that the other process has not been told of. If the
    /// other process is the predecessor, `announcement` receives a value when this process starts
    /// to serve clients.
    pub(super) async fn exchange(
        &self,
        peer: Peer,
        mut connection: Connection,
        subscription: Subscription<'_>,
        announcement: Option<oneshot::Receiver<TakeoverAnnouncement>>,
    ) -> bool {
        let (outgoing, queue) = mpsc::channel(OUTGOING_QUEUE_LENGTH);
        // The limits bound the contents of this channel. Sending on a bounded channel could wait,
        // and an amount that waits there would be lost when the exchange ends.
        let (transfer_sender, transfers) = mpsc::unbounded_channel();
        let mut exchange = Exchange {
            handover: self,
            session: Session::new(peer),
            outgoing,
            subscription,
            transfers: OutgoingTransfers::new(&self.limits, transfers),
            announcement,
        };
        tokio::select! {
            () = write_queue(queue, &mut connection.writer) => {}
            () = exchange.run(&mut connection.reader) => {}
            () = self.transfer_limits(peer, &transfer_sender) => {}
        }
        exchange.session.peer_took_over()
    }
}

/// Writes queued messages until the connection fails.
async fn write_queue(mut queue: mpsc::Receiver<PeerMessage>, writer: &mut MessageWriter) {
    while let Some(message) = queue.recv().await {
        if writer.write(&message).await.is_err() {
            return;
        }
    }
}

/// An event that an exchange handles.
enum ExchangeEvent {
    Received(PeerMessage),
    CommandRequested(ForwardedCommand),
    EndpointsChanged,
    LimitsReleased(ResourceAmounts),
    IdRequested(IdRequest),
    IdsChanged(Vec<IdChange>),
    TakeoverAnnounced(TakeoverAnnouncement),
}

/// One exchange with the other process.
pub(super) struct Exchange<'a> {
    handover: &'a Handover,
    pub(super) session: Session,
    outgoing: mpsc::Sender<PeerMessage>,
    /// The changes for the other process. Dropped before `transfers`, so that the peer is
    /// unregistered before its limits return to this process.
    pub(super) subscription: Subscription<'a>,
    transfers: OutgoingTransfers<'a>,
    announcement: Option<oneshot::Receiver<TakeoverAnnouncement>>,
}

impl Exchange<'_> {
    /// Handles events until the other process exits or the connection fails.
    async fn run(&mut self, reader: &mut MessageReader) {
        while let Some(event) = self.next_event(reader).await {
            for message in self.respond(event).await {
                if self.outgoing.send(message).await.is_err() {
                    return;
                }
            }
        }
    }

    /// Waits for the next event. `None` once the other process has exited or the connection has
    /// failed.
    async fn next_event(&mut self, reader: &mut MessageReader) -> Option<ExchangeEvent> {
        let to_successor = self.session.peer_is_successor();
        let Subscription {
            commands,
            endpoints,
            ids,
            ..
        } = &mut self.subscription;
        let event = tokio::select! {
            received = reader.read() => match received {
                Ok(message) => ExchangeEvent::Received(message?),
                Err(error) => {
                    warn!(
                        "connection to the other process of this router failed: {error}; closing it"
                    );
                    return None;
                }
            },
            Some(forward) = commands.recv() => ExchangeEvent::CommandRequested(forward),
            Ok(()) = endpoints.changed(), if to_successor => ExchangeEvent::EndpointsChanged,
            Some(amounts) = self.transfers.recv() => ExchangeEvent::LimitsReleased(amounts),
            event = next_id_event(ids, to_successor) => event,
            announcement = next_announcement(&mut self.announcement) => ExchangeEvent::TakeoverAnnounced(announcement),
        };
        Some(event)
    }

    /// Handles an event and returns the messages to send to the other process, in their order.
    async fn respond(&mut self, event: ExchangeEvent) -> Vec<PeerMessage> {
        match event {
            ExchangeEvent::Received(message) => {
                let effect = self.session.receive(message);
                self.apply(effect).await
            }
            ExchangeEvent::CommandRequested(forwarded) => {
                vec![self.session.forward_command(forwarded)]
            }
            ExchangeEvent::EndpointsChanged => {
                let list = self.subscription.endpoints.borrow_and_update().clone();
                Vec::from_iter(list.map(PeerMessage::EndpointsUpdated))
            }
            ExchangeEvent::LimitsReleased(amounts) => {
                self.transfers.record(amounts);
                vec![PeerMessage::LimitsTransferred(amounts)]
            }
            ExchangeEvent::IdRequested(request) => vec![self.id_request(request)],
            ExchangeEvent::IdsChanged(changes) => announcements(changes),
            ExchangeEvent::TakeoverAnnounced(TakeoverAnnouncement { acknowledged }) => {
                vec![self.session.announce_takeover(acknowledged)]
            }
        }
    }

    /// Applies the effect of a received message and returns the messages to send.
    async fn apply(&mut self, effect: Effect) -> Vec<PeerMessage> {
        match effect {
            Effect::Nothing => {}
            Effect::ExecuteCommand { id, command, key } => {
                let succeeded = self.execute_command(command, key).await;
                return vec![PeerMessage::AdminCommandResult { id, succeeded }];
            }
            Effect::AdoptReply(reply) => {
                self.handover.adopt(reply, &mut self.subscription).await;
            }
            Effect::RecordIds(ids) => self.subscription.ids.record(&ids),
            Effect::ForgetIds(ids) => self.subscription.ids.forget(&ids),
            Effect::ClaimId { number, id } => {
                let ids = self.handover.request_ids.clone();
                answer_claim(ids, number, id, self.outgoing.clone());
            }
            Effect::UpdateEndpoints(list) => self.handover.adopt_endpoints(list).await,
            Effect::AddLimits(amounts) => self.handover.limits.add(amounts),
            Effect::YieldToSuccessor => return self.yield_to_successor(),
        }
        Vec::new()
    }

    async fn execute_command(&self, command: AdminCommand, key: Option<CommandId>) -> bool {
        let key = key.unwrap_or_else(CommandId::random);
        let from = self.subscription.commands.id();
        self.handover
            .lifecycle
            .execute_for_peer(command, key, from)
            .await
    }

    /// Lets the successor serve clients. It begins when it has the acknowledgement, so the changes
    /// that it has not been told of go ahead of that.
    fn yield_to_successor(&mut self) -> Vec<PeerMessage> {
        info!("the successor process has taken over");
        self.handover.successor_serving.send_replace(true);
        self.handover.lifecycle.set_succeeded(true);
        let commands = self.subscription.commands.start_serving();
        let mut messages: Vec<_> = commands
            .into_iter()
            .map(|command| self.session.forward_command(command))
            .collect();
        if self.subscription.endpoints.has_changed().unwrap_or(false) {
            let list = self.subscription.endpoints.borrow_and_update().clone();
            messages.extend(list.map(PeerMessage::EndpointsUpdated));
        }
        messages.extend(self.yield_ids());
        messages.push(PeerMessage::TakeoverAcknowledged);
        messages
    }
}

/// Waits for a request to the owner of the ids, or for changes to announce. Cancel safe.
async fn next_id_event(ids: &mut IdLink, to_successor: bool) -> ExchangeEvent {
    if to_successor {
        if let Some(request) = ids.next_request().await {
            return ExchangeEvent::IdRequested(request);
        }
        return pending().await;
    }
    ExchangeEvent::IdsChanged(ids.next_changes(MAX_IDS_IN_MESSAGE).await)
}

/// Waits for the takeover announcement. Never returns if none is expected. Cancel safe.
async fn next_announcement(
    pending_announcement: &mut Option<oneshot::Receiver<TakeoverAnnouncement>>,
) -> TakeoverAnnouncement {
    if let Some(receiver) = pending_announcement {
        let announcement = receiver.await;
        *pending_announcement = None;
        if let Ok(announcement) = announcement {
            return announcement;
        }
    }
    pending().await
}
