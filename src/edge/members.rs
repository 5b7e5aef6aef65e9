//! The hosts' models: an actor between the list's and the module's. It passes resolver results on
//! with what each host serves filled in, asks the hosts themselves (`GET /v1/models`, the public
//! OpenAI form), and tells the module of what changed.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};
use tracing::{debug, info, warn};

use super::Edge;
use crate::core::{Endpoint, EndpointsUpdate, Message};
use crate::interface::{ListKind, ReplicaId, State, Time};
use crate::net::connection_limit::ConnectionLimit;
use crate::net::http::Buffer;
use crate::net::http::read_response;
use crate::net::stream::Stream;

/// A host that has not told its models by then is asked again later.
const PATIENCE: Duration = Duration::from_secs(2);
/// A host's word holds so much at most.
const MOST_WORD: usize = 256 << 10;
/// Hosts asked at once.
const AT_ONCE: usize = 8;
/// How often it is looked for hosts to ask.
const LOOK: Duration = Duration::from_millis(200);

struct Known {
    host: Endpoint,
    /// When it is asked next.
    ask: Instant,
    asking: bool,
}

/// A host's answer: its names, or none where it doesn't tell.
struct Told {
    replica: ReplicaId,
    started: Time,
    names: Option<Vec<String>>,
}

/// Runs until the list's actors or the module's are gone.
pub async fn run(
    edge: Arc<Edge>,
    mut from: mpsc::Receiver<Message>,
    to: mpsc::Sender<Message>,
    connection_limit: ConnectionLimit,
) {
    let mut hosts: HashMap<ReplicaId, Known> = HashMap::new();
    let mut asked: JoinSet<Told> = JoinSet::new();
    let mut tick = tokio::time::interval(LOOK);
    loop {
        let news = tokio::select! {
            message = from.recv() => match message {
                Some(Message::EndpointsUpdated(resolved)) => Some(edge.listed(resolved, &mut hosts)),
                Some(other) => {
                    if to.send(other).await.is_err() {
                        return;
                    }
                    None
                }
                None => return,
            },
            Some(told) = asked.join_next() => match told {
                Ok(told) => edge.told(told, &mut hosts),
                Err(e) => {
                    warn!("asking for models: {e}");
                    None
                }
            },
            () = edge.changed.notified() => edge.anew(&hosts),
            _ = tick.tick() => {
                ask(&edge, &mut hosts, &mut asked, &connection_limit);
                None
            }
        };
        if let Some(news) = news
            && to.send(Message::EndpointsUpdated(news)).await.is_err()
        {
            return;
        }
    }
}

impl Edge {
    fn listed(
        &self,
        mut resolved: EndpointsUpdate,
        hosts: &mut HashMap<ReplicaId, Known>,
    ) -> EndpointsUpdate {
        let mut state = self.state();
        let catalogs = state.catalogs();
        if matches!(resolved.kind, ListKind::Complete | ListKind::Persisted) {
            let named: std::collections::HashSet<ReplicaId> =
                resolved.endpoints.iter().map(|h| h.entry.replica).collect();
            hosts.retain(|id, _| named.contains(id));
            state.inventory.retain(|id| named.contains(&id));
        }
        for host in &mut resolved.endpoints {
            let entry = &mut host.entry;
            state.inventory.set_listed(
                entry.replica,
                entry.state,
                entry.started,
                host.models.as_deref(),
            );
            if entry.state == State::Terminated {
                hosts.remove(&entry.replica);
                continue;
            }
            entry.models = state.inventory.servable_models(entry.replica, &catalogs);
            let same = hosts
                .get(&entry.replica)
                .filter(|k| k.host.entry.started == entry.started);
            let (ask, asking) = same.map_or((Instant::now(), false), |k| (k.ask, k.asking));
            hosts.insert(
                entry.replica,
                Known {
                    host: host.clone(),
                    ask,
                    asking,
                },
            );
        }
        state.inventory.recount_hosts(&catalogs);
        resolved
    }

    /// What a host told of itself; the entry that changes by it.
    fn told(&self, told: Told, hosts: &mut HashMap<ReplicaId, Known>) -> Option<EndpointsUpdate> {
        let known = hosts.get_mut(&told.replica)?;
        known.asking = false;
        let names = told.names?;
        let mut state = self.state();
        let (news, differ) = state
            .inventory
            .record_report(told.replica, told.started, names);
        if let Some(differ) = differ {
            let (missing, unlisted) = (differ.missing.join(" "), differ.unlisted.join(" "));
            warn!(
                "{}: the list and the server differ, the server is believed: it lacks [{missing}] and has [{unlisted}]",
                known.host.name
            );
        }
        if !news {
            return None;
        }
        let catalogs = state.catalogs();
        state.inventory.recount_hosts(&catalogs);
        known.host.entry.models = state.inventory.servable_models(told.replica, &catalogs);
        Some(EndpointsUpdate {
            kind: ListKind::Partial,
            endpoints: vec![known.host.clone()],
        })
    }

    /// All hosts, by the book that is in force now.
    fn anew(&self, hosts: &HashMap<ReplicaId, Known>) -> Option<EndpointsUpdate> {
        let mut state = self.state();
        let catalogs = state.catalogs();
        state.inventory.recount_hosts(&catalogs);
        let of = |known: &Known| {
            let mut host = known.host.clone();
            host.entry.models = state
                .inventory
                .servable_models(host.entry.replica, &catalogs);
            host
        };
        Some(EndpointsUpdate {
            kind: ListKind::Partial,
            endpoints: hosts.values().map(of).collect(),
        })
    }
}

/// Asks the hosts whose turn it is.
fn ask(
    edge: &Edge,
    hosts: &mut HashMap<ReplicaId, Known>,
    asked: &mut JoinSet<Told>,
    connection_limit: &ConnectionLimit,
) {
    let every = edge.state().book.ask_models;
    if every.is_zero() {
        return;
    }
    let now = Instant::now();
    let due = hosts
        .values_mut()
        .filter(|k| !k.asking && k.ask <= now && k.host.entry.state == State::InService);
    for known in due.take(AT_ONCE.saturating_sub(asked.len())) {
        (known.ask, known.asking) = (now + every, true);
        let (replica, started) = (known.host.entry.replica, known.host.entry.started);
        let (address, connection_limit) = (known.host.address.clone(), connection_limit.clone());
        asked.spawn(async move {
            let names = timeout(PATIENCE, names(&address, &connection_limit))
                .await
                .ok()
                .flatten();
            if names.is_none() {
                debug!("{address} does not tell its models");
            }
            Told {
                replica,
                started,
                names,
            }
        });
    }
}

/// A host's models, where it tells them.
async fn names(address: &str, connection_limit: &ConnectionLimit) -> Option<Vec<String>> {
    let _permit = connection_limit.acquire().await?;
    let mut stream = Stream::new(TcpStream::connect(address).await.ok()?);
    let mut request = BytesMut::new();
    request.extend_from_slice(b"GET /v1/models HTTP/1.1\r\nHost: ");
    request.extend_from_slice(address.as_bytes());
    request.extend_from_slice(b"\r\nConnection: close\r\n\r\n");
    stream.write_all(&request).await.ok()?;
    let (head, body) = read_response(&mut Buffer::default(), &mut stream, MOST_WORD)
        .await
        .ok()?;
    if head.status != 200 {
        return None;
    }
    let value: Value = serde_json::from_slice(&body).ok()?;
    let names = value["data"]
        .as_array()?
        .iter()
        .filter_map(|m| m["id"].as_str().map(String::from));
    let names: Vec<String> = names.collect();
    info!("{address} tells {} models", names.len());
    Some(names)
}
