//! An actor between discovery and the core that determines which models each host has.
//!
//! Adds each host's models to the endpoint updates that it forwards, polls the hosts for their
//! models, and sends the core an update when a host's models or the configuration change. The actor
//! owns the list of hosts and their polls; the edge's inventory records the models of each host.
//! The actor runs until discovery or the core has ended.

mod poll;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tracing::{debug, warn};

use super::Edge;
use crate::core::{CoreMessage, Endpoint, EndpointsUpdate};
use crate::interface::{EndpointListKind, EndpointState, ReplicaId, Timestamp};
use crate::net::connection_limit::ConnectionLimit;
use crate::routing::ReportOutcome;
use poll::{PollError, poll_models};

/// The maximum number of concurrent polls.
const MAX_CONCURRENT_POLLS: usize = 8;
/// The interval at which the actor checks for hosts that are due for a poll.
const POLL_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A host of the endpoint list.
struct KnownHost {
    endpoint: Endpoint,
    next_poll: Instant,
    poll_in_flight: bool,
}

/// The result of a poll.
struct PollResult {
    replica: ReplicaId,
    /// The start time of the polled process, according to the endpoint list.
    started_at: Timestamp,
    models: Result<Vec<String>, PollError>,
}

struct ModelDiscovery {
    edge: Arc<Edge>,
    hosts: HashMap<ReplicaId, KnownHost>,
    polls: JoinSet<PollResult>,
    connection_limit: ConnectionLimit,
}

/// Runs the actor. `messages` come from discovery; `core` is the channel to the core.
pub async fn run(
    edge: Arc<Edge>,
    mut messages: mpsc::Receiver<CoreMessage>,
    core: mpsc::Sender<CoreMessage>,
    connection_limit: ConnectionLimit,
) {
    let mut discovery = ModelDiscovery {
        edge,
        hosts: HashMap::new(),
        polls: JoinSet::new(),
        connection_limit,
    };
    let mut poll_check = tokio::time::interval(POLL_CHECK_INTERVAL);
    loop {
        let message = tokio::select! {
            message = messages.recv() => match message {
                Some(CoreMessage::EndpointsUpdated(update)) => Some(discovery.apply_list(update)),
                Some(other) => Some(other),
                None => return,
            },
            Some(poll) = discovery.polls.join_next() => match poll {
                Ok(result) => discovery.apply_poll(result),
                Err(error) => {
                    warn!("a poll for a host's models failed: {error}; keeping the previous models");
                    None
                }
            },
            () = discovery.edge.config_changed.notified() => Some(discovery.update_all()),
            _ = poll_check.tick() => {
                discovery.start_due_polls();
                None
            }
        };
        if let Some(message) = message
            && core.send(message).await.is_err()
        {
            return;
        }
    }
}

impl ModelDiscovery {
    /// Applies an endpoint list and returns it with the hosts' models added.
    fn apply_list(&mut self, mut update: EndpointsUpdate) -> CoreMessage {
        let mut state = self.edge.state();
        let catalogs = state.catalogs();
        if matches!(
            update.kind,
            EndpointListKind::Complete | EndpointListKind::Persisted
        ) {
            let listed: HashSet<ReplicaId> = update
                .endpoints
                .iter()
                .map(|endpoint| endpoint.entry.replica)
                .collect();
            self.hosts.retain(|replica, _| listed.contains(replica));
            state.inventory.retain(|replica| listed.contains(&replica));
        }
        for endpoint in &mut update.endpoints {
            let listed_models = endpoint.models.as_deref();
            let entry = &mut endpoint.entry;
            let inventory = &mut state.inventory;
            inventory.set_listed(entry.replica, entry.state, entry.started_at, listed_models);
            if entry.state == EndpointState::Removed {
                self.hosts.remove(&entry.replica);
                continue;
            }
            entry.models = inventory.servable_models(entry.replica, &catalogs);
            add_host(&mut self.hosts, endpoint);
        }
        state.inventory.recount_hosts(&catalogs);
        CoreMessage::EndpointsUpdated(update)
    }

    /// Applies the result of a poll. Returns an update for the host if its models changed.
    fn apply_poll(&mut self, result: PollResult) -> Option<CoreMessage> {
        let host = self.hosts.get_mut(&result.replica)?;
        host.poll_in_flight = false;
        let models = match result.models {
            Ok(models) => models,
            Err(error) => {
                debug!(
                    "polling {} for its models failed: {error}; keeping the previous models",
                    host.endpoint.address
                );
                return None;
            }
        };
        let mut state = self.edge.state();
        let outcome = state
            .inventory
            .record_report(result.replica, result.started_at, models);
        let ReportOutcome::Changed { mismatch } = outcome else {
            return None;
        };
        if let Some(mismatch) = mismatch {
            warn!(
                "{}: the model server's report differs from the endpoint list; using the report: not reported [{}], not listed [{}]",
                host.endpoint.name,
                mismatch.missing.join(" "),
                mismatch.unlisted.join(" ")
            );
        }
        let catalogs = state.catalogs();
        state.inventory.recount_hosts(&catalogs);
        host.endpoint.entry.models = state.inventory.servable_models(result.replica, &catalogs);
        Some(partial_update(vec![host.endpoint.clone()]))
    }

    /// Builds an update of all hosts after a configuration change.
    fn update_all(&self) -> CoreMessage {
        let mut state = self.edge.state();
        let catalogs = state.catalogs();
        state.inventory.recount_hosts(&catalogs);
        let mut endpoints: Vec<Endpoint> = Vec::with_capacity(self.hosts.len());
        for host in self.hosts.values() {
            let mut endpoint = host.endpoint.clone();
            let replica = endpoint.entry.replica;
            endpoint.entry.models = state.inventory.servable_models(replica, &catalogs);
            endpoints.push(endpoint);
        }
        partial_update(endpoints)
    }

    /// Starts the polls that are due, up to [`MAX_CONCURRENT_POLLS`].
    fn start_due_polls(&mut self) {
        let interval = self.edge.state().config.model_poll_interval;
        if interval.is_zero() {
            return;
        }
        let now = Instant::now();
        let free = MAX_CONCURRENT_POLLS.saturating_sub(self.polls.len());
        let due = self.hosts.values_mut().filter(|host| host.is_due(now));
        for host in due.take(free) {
            host.next_poll = now + interval;
            host.poll_in_flight = true;
            let address = host.endpoint.address.clone();
            let connection_limit = self.connection_limit.clone();
            let replica = host.endpoint.entry.replica;
            let started_at = host.endpoint.entry.started_at;
            self.polls.spawn(async move {
                PollResult {
                    replica,
                    started_at,
                    models: poll_models(&address, &connection_limit).await,
                }
            });
        }
    }
}

impl KnownHost {
    fn is_due(&self, now: Instant) -> bool {
        !self.poll_in_flight
            && self.next_poll <= now
            && self.endpoint.entry.state == EndpointState::InService
    }
}

/// Adds or replaces a host. A new or restarted host is due for a poll immediately.
fn add_host(hosts: &mut HashMap<ReplicaId, KnownHost>, endpoint: &Endpoint) {
    let entry = &endpoint.entry;
    let same_process = hosts
        .get(&entry.replica)
        .filter(|host| host.endpoint.entry.started_at == entry.started_at);
    let host = KnownHost {
        endpoint: endpoint.clone(),
        next_poll: same_process.map_or_else(Instant::now, |host| host.next_poll),
        poll_in_flight: same_process.is_some_and(|host| host.poll_in_flight),
    };
    hosts.insert(entry.replica, host);
}

fn partial_update(endpoints: Vec<Endpoint>) -> CoreMessage {
    CoreMessage::EndpointsUpdated(EndpointsUpdate {
        kind: EndpointListKind::Partial,
        endpoints,
    })
}
