//! Exchanges messages with the other process until either process exits. Applies the effects that
//! `session` returns for received messages.

use std::future::pending;

use tokio::sync::{mpsc, watch};
use tracing::warn;

use super::id_exchange::{MAX_IDS_IN_MESSAGE, announcements, answer_claim};
use super::message::PeerMessage;
use super::message_stream::{Connection, MessageReader, MessageWriter};
use super::outgoing_transfers::OutgoingTransfers;
use super::resource_amounts::ResourceAmounts;
use super::session::{Effect, Peer, Session};
use super::subscription::Subscription;
use super::takeover::Takeover;
use super::takeover_exchange::wait_until_ready;
use super::{Handover, OUTGOING_QUEUE_LENGTH};
use crate::lifecycle::{AdminCommand, CommandId, ForwardedCommand};
use crate::request_ids::{IdChange, IdLink, IdRequest};

impl Handover {
    /// Exchanges messages until the other process exits, and returns whether that process had taken
    /// over from this one. Also ends if the other process announces its takeover after another one
    /// has taken over.
    ///
    /// `subscription` receives the changes that the other process has not been told of. `takeover`
    /// is this process's takeover if the other process is the predecessor.
    pub(super) async fn exchange(
        &self,
        peer: Peer,
        mut connection: Connection,
        subscription: Subscription<'_>,
        takeover: Option<&Takeover>,
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
            takeover,
            ready: takeover.map(|takeover| takeover.ready.clone()),
            takeover_refused: false,
            limits_at_start: self.limits.owned(),
        };
        tokio::select! {
            () = write_queue(queue, &mut connection.writer) => {}
            () = exchange.run(&mut connection.reader) => {}
            () = self.transfer_limits(peer, &transfer_sender) => {}
        }
        exchange.session.peer_took_over() && !exchange.takeover_refused
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
    ReadyToServe,
}

/// One exchange with the other process.
pub(super) struct Exchange<'a> {
    pub(super) handover: &'a Handover,
    pub(super) session: Session,
    outgoing: mpsc::Sender<PeerMessage>,
    /// The changes for the other process. Dropped before `transfers`, so that the peer is
    /// unregistered before its limits return to this process.
    pub(super) subscription: Subscription<'a>,
    transfers: OutgoingTransfers<'a>,
    /// This process's takeover, if the other process is the predecessor.
    takeover: Option<&'a Takeover>,
    /// Turns true when this process can serve clients. `None` once the other process knows it, or
    /// if it does not have to.
    ready: Option<watch::Receiver<bool>>,
    /// Whether the successor announced its takeover after another one had taken over.
    pub(super) takeover_refused: bool,
    /// The share of the limits that this process owned before the exchange and that the predecessor
    /// has not counted yet.
    pub(super) limits_at_start: ResourceAmounts,
}

impl Exchange<'_> {
    /// Handles events until the other process exits, the connection fails, or the takeover of the
    /// other process is refused.
    async fn run(&mut self, reader: &mut MessageReader) {
        while !self.takeover_refused
            && let Some(event) = self.next_event(reader).await
        {
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
            () = wait_until_ready(&mut self.ready) => ExchangeEvent::ReadyToServe,
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
            ExchangeEvent::ReadyToServe => self.announce_takeover(),
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
            Effect::AddLimits(amounts) => self.add_limits(amounts),
            Effect::YieldToSuccessor => return self.yield_to_successor(),
            Effect::CompleteTakeover => {
                if let Some(takeover) = self.takeover {
                    takeover.acknowledged.send_replace(true);
                }
            }
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
