//! A fake of the platform's discovery service, written from its published protocol. It returns the
//! complete endpoint list and answers long polls for changes after a revision. Each router has its
//! own address and its own list, which contains the links of that router.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::extract::{Query, State};
use axum::routing::get;
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};

/// Maximum wait of a long poll in the protocol, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;
/// Revision of the endpoint list that routers are started with.
const FIRST_REVISION: u64 = 1;

/// Zones of the servers, in the order of the servers' indexes.
pub(crate) const LOCALITIES: [&str; 3] = ["a", "b", "c"];
/// Prefix of a server's name in the list; the server's index follows.
const SERVER_PREFIX: &str = "s-";

/// Draining servers by index, each with the revision that first lists it as draining.
type DrainRevisions = BTreeMap<usize, u64>;

/// A server's drain that was sent to a router.
#[derive(Clone, Copy, Debug)]
pub struct SentNotification {
    /// Index of the router.
    pub router: usize,
    /// The revision that first lists the server as draining.
    pub revision: u64,
    /// Index of the server.
    pub server: usize,
    /// When it was sent.
    pub sent_at: Instant,
}

/// The running service; it stops when this is dropped.
pub struct Discovery {
    /// The service's addresses, indexed by router.
    pub addresses: Vec<SocketAddr>,
    state: Arc<SharedState>,
    _listeners: JoinSet<()>,
}

struct SharedState {
    revision: watch::Sender<u64>,
    draining: Mutex<DrainRevisions>,
    notifications: Mutex<Vec<SentNotification>>,
}

/// The service as one router sees it.
#[derive(Clone)]
struct RouterView {
    router: usize,
    servers: Arc<[SocketAddr]>,
    state: Arc<SharedState>,
}

/// The query of a poll. A poll without `after` requests the complete list.
#[derive(Deserialize)]
struct Poll {
    after: Option<u64>,
    #[serde(default)]
    wait_ms: u64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Discovery {
    /// Starts the service. `servers_by_router` contains the server addresses that each router uses.
    pub async fn start(servers_by_router: Vec<Vec<SocketAddr>>) -> std::io::Result<Discovery> {
        let state = Arc::new(SharedState {
            revision: watch::Sender::new(FIRST_REVISION),
            draining: Mutex::default(),
            notifications: Mutex::default(),
        });
        let mut addresses = Vec::new();
        let mut listeners = JoinSet::new();
        for (router, servers) in servers_by_router.into_iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?);
            let view = RouterView {
                router,
                servers: servers.into(),
                state: state.clone(),
            };
            let service = Router::new()
                .route("/catalog/members", get(answer_poll))
                .with_state(view);
            listeners.spawn(async move {
                let _ = axum::serve(listener, service).await;
            });
        }
        Ok(Discovery {
            addresses,
            state,
            _listeners: listeners,
        })
    }

    /// Lists a server as draining from now on.
    pub fn drain(&self, server: usize) {
        let mut draining = lock(&self.state.draining);
        let next = *self.state.revision.borrow() + 1;
        draining.entry(server).or_insert(next);
        drop(draining);
        self.state.revision.send_replace(next);
    }

    /// The drains that were sent to routers so far.
    pub fn notifications(&self) -> Vec<SentNotification> {
        lock(&self.state.notifications).clone()
    }
}

/// The endpoint list that a router is started with; all servers are in service.
pub fn initial_list(servers: &[SocketAddr]) -> Value {
    let members: Vec<Value> = servers
        .iter()
        .enumerate()
        .map(|(server, address)| member(server, *address, "SERVING"))
        .collect();
    json!({"revision": FIRST_REVISION, "complete": true, "members": members})
}

/// A server's name in the list.
pub fn server_name(server: usize) -> String {
    format!("{SERVER_PREFIX}{server}")
}

/// The index of the server with this name in the list.
pub(crate) fn server_index(name: &str) -> Option<usize> {
    name.trim_start_matches(SERVER_PREFIX).parse().ok()
}

fn member(server: usize, address: SocketAddr, phase: &str) -> Value {
    json!({"id": server_name(server), "host_port": address.to_string(),
        "locality": LOCALITIES[server % LOCALITIES.len()], "flavor": "m", "cell": 0,
        "phase": phase, "size": 1.0, "up_since_ms": 0})
}

async fn answer_poll(State(view): State<RouterView>, Query(poll): Query<Poll>) -> Json<Value> {
    let mut changes = view.state.revision.subscribe();
    let after = poll.after.unwrap_or(0);
    let wait = Duration::from_millis(poll.wait_ms.min(MAX_WAIT_MS));
    let _ = timeout(wait, changes.wait_for(|revision| *revision > after)).await;
    let revision = *changes.borrow();
    let draining = lock(&view.state.draining).clone();
    let complete = poll.after.is_none();
    let members = view.members(&draining, after, complete);
    view.record_notifications(&draining, after);
    Json(json!({"revision": revision, "complete": complete, "members": members}))
}

impl RouterView {
    /// The complete list, or the members that changed after a revision.
    fn members(&self, draining: &DrainRevisions, after: u64, complete: bool) -> Vec<Value> {
        let servers = self.servers.iter().enumerate();
        servers
            .filter_map(|(server, address)| match draining.get(&server) {
                Some(revision) if complete || *revision > after => {
                    Some(member(server, *address, "DRAINING"))
                }
                None if complete => Some(member(server, *address, "SERVING")),
                _ => None,
            })
            .collect()
    }

    /// Records the drains listed after a revision as sent now.
    fn record_notifications(&self, draining: &DrainRevisions, after: u64) {
        let sent_at = Instant::now();
        let drains = draining.iter().filter(|(_, revision)| **revision > after);
        lock(&self.state.notifications).extend(drains.map(|(server, revision)| SentNotification {
            router: self.router,
            revision: *revision,
            server: *server,
            sent_at,
        }));
    }
}
