//! A fake of the platform's discovery service, written from its published protocol: the complete
//! endpoint list, and a long poll that waits for changes after a revision. Each router has an
//! address of its own and a list with its own links in it.

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

/// The longest wait of a long poll that the protocol allows, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;
/// The revision of the list that routers are started with.
const FIRST_REVISION: u64 = 1;

/// What a server's name in the list begins with; its index follows.
const SERVER_PREFIX: &str = "s-";

/// Draining servers by index, each with the revision that lists it so.
type DrainRevisions = BTreeMap<usize, u64>;

/// A server's drain that was written to a router.
#[derive(Clone, Copy, Debug)]
pub struct DrainNotice {
    /// Index of the router.
    pub router: usize,
    /// The revision that lists the server as draining.
    pub revision: u64,
    /// Index of the server.
    pub server: usize,
    /// When it was written.
    pub sent_at: Instant,
}

/// The running service; it stops when it is dropped.
pub struct Discovery {
    /// The address for each router.
    pub addresses: Vec<SocketAddr>,
    state: Arc<SharedState>,
    _listeners: JoinSet<()>,
}

struct SharedState {
    revision: watch::Sender<u64>,
    draining: Mutex<DrainRevisions>,
    notices: Mutex<Vec<DrainNotice>>,
}

/// What one router gets.
#[derive(Clone)]
struct RouterView {
    router: usize,
    servers: Arc<[SocketAddr]>,
    state: Arc<SharedState>,
}

/// The query of a poll. Without `after` it asks for the complete list.
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
    /// Starts the service with the addresses of all servers as each router has them.
    pub async fn start(servers_by_router: Vec<Vec<SocketAddr>>) -> std::io::Result<Discovery> {
        let state = Arc::new(SharedState {
            revision: watch::Sender::new(FIRST_REVISION),
            draining: Mutex::default(),
            notices: Mutex::default(),
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

    /// The drains that were written to routers so far.
    pub fn notices(&self) -> Vec<DrainNotice> {
        lock(&self.state.notices).clone()
    }
}

/// The endpoint list that a router is started with: all servers in service.
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
    json!({"id": server_name(server), "host_port": address.to_string(), "locality": "a", "flavor": "m", "cell": 0,
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
    view.record_notices(&draining, after);
    Json(json!({"revision": revision, "complete": complete, "members": members}))
}

impl RouterView {
    /// The complete list, or the members that have changed after a revision.
    fn members(&self, draining: &DrainRevisions, after: u64, complete: bool) -> Vec<Value> {
        let servers = self.servers.iter().enumerate();
        servers
            .filter_map(|(server, address)| match draining.get(&server) {
                Some(since) if complete || *since > after => {
                    Some(member(server, *address, "DRAINING"))
                }
                None if complete => Some(member(server, *address, "SERVING")),
                _ => None,
            })
            .collect()
    }

    /// Records the drains after a revision as written now.
    fn record_notices(&self, draining: &DrainRevisions, after: u64) {
        let sent_at = Instant::now();
        let new = draining.iter().filter(|(_, since)| **since > after);
        lock(&self.state.notices).extend(new.map(|(server, since)| DrainNotice {
            router: self.router,
            revision: *since,
            server: *server,
            sent_at,
        }));
    }
}
