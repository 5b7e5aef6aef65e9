//! The list's actor: watches discovery once the module asks for it, and turns its answers into resolver results.

use std::collections::BTreeMap;
use std::collections::hash_map::Entry;
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use tracing::{debug, info, warn};

use super::http::Buffer;
use super::subchannel::read_whole;
use crate::core::{Host, ListOrder, Mail, Resolved};
use crate::interface::{ListKind, ReplicaId, State, Time};
use crate::wire::replica_id;

/// How long a watch waits at discovery. Short: guards against an answer that never arrives, whose news count as
/// told soon after the wait's end all the same.
const WAIT: Duration = Duration::from_secs(3);
/// What an answer may take beyond that.
const SLACK: Duration = Duration::from_secs(1);
/// A list holds so much at most.
const MAX_LIST: usize = 4 << 20;
/// Where discovery pushes, the pause before the agent is called again after a failed call. Guards against a tight
/// loop at an agent that refuses at once; short beside any drain bound, as news count as told when the agent has them.
const AGAIN: Duration = Duration::from_millis(100);

/// A list as discovery and the configuration write it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RawList {
    revision: u64,
    #[serde(default)]
    complete: bool,
    #[serde(default)]
    members: Vec<RawHost>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct RawHost {
    id: String,
    host_port: String,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    cell: u32,
    phase: String,
    #[serde(default = "one")]
    size: f64,
    #[serde(default)]
    up_since_ms: u64,
}

fn one() -> f64 {
    1.0
}

impl RawList {
    /// The resolver result that it stands for, with zones by their place among `localities`.
    pub fn resolved(self, kind: ListKind, localities: &[String]) -> Resolved {
        let host = |raw: RawHost| {
            let state = match raw.phase.as_str() {
                "SERVING" => State::InService,
                "DRAINING" => State::Terminating,
                "DELETED" => State::Terminated,
                other => {
                    // nothing is sent to a server of which it isn't known that it serves
                    warn!("{}: phase {other:?} is not known; taken as draining", raw.id);
                    State::Terminating
                }
            };
            let zone = zone(&raw.locality, localities);
            let entry = crate::interface::Entry {
                replica: replica_id(&raw.id),
                zone,
                cell: raw.cell,
                state,
                started: Time(raw.up_since_ms.saturating_mul(1000)),
                rating: raw.size,
                ..Default::default()
            };
            Host { name: raw.id, address: raw.host_port, entry, models: None }
        };
        let mut hosts: Vec<Host> = Vec::with_capacity(self.members.len());
        let mut places: FxHashMap<ReplicaId, usize> = FxHashMap::default();
        for host in self.members.into_iter().map(host) {
            match places.entry(host.entry.replica) {
                Entry::Vacant(place) => {
                    place.insert(hosts.len());
                    hosts.push(host);
                }
                Entry::Occupied(place) => {
                    // guards against sends to a server that the same list says is draining or gone
                    warn!("{} stands twice in the list; the further of its phases counts", host.name);
                    let first = &mut hosts[*place.get()];
                    if host.entry.state > first.entry.state {
                        *first = host;
                    }
                }
            }
        }
        Resolved { kind, hosts }
    }

    /// Its version.
    pub fn revision(&self) -> u64 {
        self.revision
    }
}

/// A zone's number: its place among the names, or a number or letter as written.
pub fn zone(name: &str, names: &[String]) -> u32 {
    let place = names.iter().position(|n| n == name).map(|k| k as u32);
    let letter = || match name.as_bytes() {
        [b @ b'a'..=b'z'] => Some(u32::from(b - b'a')),
        _ => None,
    };
    place.or_else(|| name.parse().ok()).or_else(letter).unwrap_or(u32::MAX)
}

/// What the actor is started with.
pub struct Options {
    /// Discovery's address.
    pub address: String,
    /// The version of the list in the configuration.
    pub revision: u64,
    /// The names of the zones.
    pub localities: Vec<String>,
    /// The list is watched from the start: another process of this router did, and the watch goes on.
    pub watch: bool,
    /// Discovery pushes: what an agent beside the router holds counts as told, so it is watched all the time, from
    /// the start and again after a failed call. Where the router asks, the module says when.
    pub pushed: bool,
    /// Where the list is shown as it is held, for a process that follows this one.
    pub show: Option<watch::Sender<Option<RawList>>>,
}

struct Resolver {
    options: Options,
    /// The next call asks for the whole list.
    whole: bool,
    /// The list as it is held, where somebody is shown it.
    held: BTreeMap<String, RawHost>,
    connection: Option<(TcpStream, Buffer)>,
    /// Failed calls in a row.
    failures: u32,
}

/// Why a call brought no list.
#[derive(Debug)]
enum Failure {
    Net(super::http::HttpError),
    Status(u16),
    List(serde_json::Error),
    Late,
}

impl std::fmt::Display for Failure {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Failure::Net(e) => write!(out, "{e}"),
            Failure::Status(status) => write!(out, "status {status}"),
            Failure::List(e) => write!(out, "no list: {e}"),
            Failure::Late => out.write_str("no answer in time"),
        }
    }
}

impl<E: Into<super::http::HttpError>> From<E> for Failure {
    fn from(e: E) -> Failure {
        Failure::Net(e.into())
    }
}

/// Runs the actor. It calls discovery only while the module has asked for it: after a failed call the module
/// says when to ask again. A new address is called at once, and for its whole list: another service's revisions
/// need not go on from the old one's. A call under way at the old address is given up; its answer, of a service
/// that is going away, would hold the new list up until its wait has passed.
pub async fn run(options: Options, mut asked: mpsc::Receiver<ListOrder>, mail: mpsc::Sender<Mail>) {
    let shown = options.show.as_ref().and_then(|show| show.borrow().clone());
    let held = shown.map(|list| list.members).unwrap_or_default();
    let held = held.into_iter().map(|host| (host.id.clone(), host)).collect();
    let mut resolver = Resolver { options, whole: false, held, connection: None, failures: 0 };
    let mut first = (resolver.options.watch || resolver.options.pushed).then_some(ListOrder::Watch);
    loop {
        let order = match first.take() {
            Some(order) => Some(order),
            None => asked.recv().await,
        };
        match order {
            Some(ListOrder::Watch) => {}
            Some(ListOrder::Move(address)) => resolver.move_to(address),
            Some(ListOrder::Told(revision, list)) => {
                // the next call asks for what came after that
                if revision > resolver.options.revision {
                    resolver.options.revision = revision;
                    let _ = mail.send(Mail::Resolved(list)).await;
                }
                continue;
            }
            None => return,
        }
        loop {
            let called = {
                let revision = resolver.options.revision;
                let call = resolver.call();
                tokio::pin!(call);
                loop {
                    tokio::select! {
                        biased;
                        order = asked.recv() => match order {
                            // asked again while watching: the watch answers that as well
                            Some(ListOrder::Watch) => {}
                            Some(ListOrder::Move(address)) => break Err(address),
                            // the call's answer tells of what is newer still
                            Some(ListOrder::Told(told, list)) => if told > revision {
                                let _ = mail.send(Mail::Resolved(list)).await;
                            },
                            None => return,
                        },
                        list = &mut call => break Ok(list),
                    }
                }
            };
            let news = match called {
                Err(address) => {
                    resolver.move_to(address);
                    continue;
                }
                // guards against an old answer that takes a drain back; from the whole list on, the service that
                // counts anew is believed
                Ok(Ok(list)) if list.revision < resolver.options.revision && !resolver.whole => {
                    let (told, held) = (list.revision, resolver.options.revision);
                    warn!("discovery tells revision {told} after {held}; asking for the whole list");
                    resolver.whole = true;
                    continue;
                }
                Ok(Ok(list)) => {
                    resolver.failures = 0;
                    resolver.hold(&list);
                    (resolver.options.revision, resolver.whole) = (list.revision, false);
                    let kind = if list.complete { ListKind::Complete } else { ListKind::Partial };
                    Some(list.resolved(kind, &resolver.options.localities))
                }
                Ok(Err(e)) => {
                    resolver.failures = resolver.failures.saturating_add(1);
                    let address = &resolver.options.address;
                    if loud(resolver.failures) {
                        warn!(
                            "discovery at {address}: {e} ({} calls in a row have failed)",
                            resolver.failures
                        );
                    } else {
                        debug!("discovery at {address}: {e}");
                    }
                    resolver.connection = None;
                    None
                }
            };
            let failed = news.is_none();
            let news = news.unwrap_or(Resolved { kind: ListKind::Error, hosts: Vec::new() });
            if mail.send(Mail::Resolved(news)).await.is_err() {
                return;
            }
            if failed && resolver.options.pushed {
                tokio::time::sleep(AGAIN).await;
            } else if failed {
                break;
            }
        }
    }
}

/// Whether a failure in a row is told as a warning: the 1st, 2nd, 4th, 8th and so on. Guards against a log that an
/// agent which refuses at once, called again every `AGAIN`, would fill ten lines a second.
fn loud(failures: u32) -> bool {
    failures.is_power_of_two()
}

impl Resolver {
    /// Keeps the list as it is held, for whoever is shown it.
    fn hold(&mut self, list: &RawList) {
        let Some(show) = &self.options.show else { return };
        if list.complete {
            self.held.clear();
        } else if list.members.is_empty()
            && show.borrow().as_ref().is_some_and(|s| s.revision == list.revision)
        {
            return;
        }
        for host in &list.members {
            if host.phase == "DELETED" {
                self.held.remove(&host.id);
            } else {
                self.held.insert(host.id.clone(), host.clone());
            }
        }
        let members = self.held.values().cloned().collect();
        show.send_replace(Some(RawList { revision: list.revision, complete: true, members }));
    }

    fn move_to(&mut self, address: String) {
        info!("discovery is at {address} now");
        self.options.address = address;
        (self.whole, self.connection) = (true, None);
    }

    async fn call(&mut self) -> Result<RawList, Failure> {
        timeout(WAIT + SLACK, self.exchange()).await.unwrap_or(Err(Failure::Late))
    }

    async fn exchange(&mut self) -> Result<RawList, Failure> {
        let (mut stream, mut buffer) = match self.connection.take() {
            Some(connection) => connection,
            None => {
                let dial = TcpStream::connect(self.options.address.as_str());
                let stream = timeout(SLACK, dial).await.map_err(|_| Failure::Late)??;
                let _ = stream.set_nodelay(true);
                (stream, Buffer::default())
            }
        };
        let Options { address, revision, .. } = &self.options;
        let query = match self.whole {
            true => String::new(),
            false => format!("?after={revision}&wait_ms={}", WAIT.as_millis()),
        };
        let message = format!("GET /catalog/members{query} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        stream.write_all(message.as_bytes()).await?;
        let (head, body) = read_whole(&mut buffer, &mut stream, MAX_LIST).await?;
        if head.status != 200 {
            return Err(Failure::Status(head.status));
        }
        let list = serde_json::from_slice(&body).map_err(Failure::List)?;
        if !head.closes() && buffer.is_empty() {
            self.connection = Some((stream, buffer));
        }
        Ok(list)
    }
}

#[cfg(test)]
mod tests {
    #[test]
    fn failures_in_a_row_are_warned_of_ever_more_rarely() {
        let loud: Vec<u32> = (1..=1000).filter(|&n| super::loud(n)).collect();
        assert_eq!(loud, [1, 2, 4, 8, 16, 32, 64, 128, 256, 512]);
    }
}
