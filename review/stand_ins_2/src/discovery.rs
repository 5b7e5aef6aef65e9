//! Discovery where routers ask it: the whole list, and watches. It can turn a call away (503), as it
//! does when too many call.

use std::collections::{BTreeMap, HashSet};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::case::Case;
use crate::http::read_message;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Serving,
    Draining,
}

#[derive(Clone, Debug)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub phase: Phase,
    pub cell: u32,
}

impl Member {
    fn json(&self) -> String {
        let phase = match self.phase {
            Phase::Serving => "SERVING",
            Phase::Draining => "DRAINING",
        };
        format!(
            "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"cleveland\",\"flavor\":\"mid-card\",\"cell\":{},\"phase\":\"{phase}\",\"size\":1.0,\"up_since_ms\":0}}",
            self.id, self.address, self.cell
        )
    }
}

struct State {
    revision: u64,
    members: BTreeMap<String, Member>,
    /// The revision of each change and the member's id.
    changes: Vec<(u64, String)>,
    /// The connections that have made a call.
    callers: HashSet<SocketAddr>,
    /// Calls of new callers that are still to be turned away.
    turn_away: u32,
    turned_away_at: Option<Instant>,
    watches: u64,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    case: Case,
}

/// How long a call waits in a crowd before it is turned away: the site's `timeout_ms`.
const LONGEST_WAIT: Duration = Duration::from_millis(1000);
/// The revision of the first list.
const FIRST_REVISION: u64 = 41;

impl Discovery {
    pub fn start(case: &Case, members: Vec<Member>) -> Result<Discovery, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let discovery = Discovery {
            address: listener.local_addr().map_err(|e| e.to_string())?,
            state: Arc::new((
                Mutex::new(State {
                    revision: FIRST_REVISION,
                    members: members.into_iter().map(|m| (m.id.clone(), m)).collect(),
                    changes: Vec::new(),
                    callers: HashSet::new(),
                    turn_away: 0,
                    turned_away_at: None,
                    watches: 0,
                }),
                Condvar::new(),
            )),
            case: case.clone(),
        };
        let acceptor = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = acceptor.clone();
                thread::spawn(move || drop(discovery.serve(stream)));
            }
        });
        Ok(discovery)
    }

    /// The list as JSON, also for `known` of a configuration.
    pub fn list(&self) -> String {
        list_json(&self.lock())
    }

    /// Changes a member's phase; returns when that was.
    pub fn set_phase(&self, id: &str, phase: Phase) -> Instant {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        if let Some(member) = state.members.get_mut(id) {
            member.phase = phase;
        }
        state.changes.push((revision, id.into()));
        self.case.note(&format!(
            "discovery: revision {revision}: {id} is {phase:?}"
        ));
        self.state.1.notify_all();
        Instant::now()
    }

    /// Turns away the next calls of callers that have not called yet.
    pub fn turn_away_new_callers(&self, calls: u32) {
        self.lock().turn_away = calls;
    }

    /// When a call was last turned away.
    pub fn turned_away_at(&self) -> Option<Instant> {
        self.lock().turned_away_at
    }

    /// How many watches have begun.
    pub fn watches(&self) -> u64 {
        self.lock().watches
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let peer = stream.peer_addr()?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = &stream;
        while let Some(request) = read_message(&mut reader, false)? {
            let (_, target) = request.request();
            if self.turns_away(peer) {
                thread::sleep(LONGEST_WAIT);
                self.lock().turned_away_at = Some(Instant::now());
                self.case.note(&format!("discovery: {peer}: {target}: 503"));
                writer
                    .write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            self.case.note(&format!("discovery: {peer}: {target}"));
            let body = match query_number(target, "after") {
                Some(after) => self.watch(after, query_number(target, "wait_ms").unwrap_or(0)),
                None => self.list(),
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            writer.write_all((head + &body).as_bytes())?;
        }
        Ok(())
    }

    fn turns_away(&self, peer: SocketAddr) -> bool {
        let mut state = self.lock();
        if !state.callers.insert(peer) || state.turn_away == 0 {
            return false;
        }
        state.turn_away -= 1;
        true
    }

    fn watch(&self, after: u64, wait_ms: u64) -> String {
        let mut state = self.lock();
        state.watches += 1;
        let wait = Duration::from_millis(wait_ms.min(60_000));
        let waited = self
            .state
            .1
            .wait_timeout_while(state, wait, |state| state.revision <= after);
        let (state, _) = waited.unwrap_or_else(|e| e.into_inner());
        if after < FIRST_REVISION {
            return list_json(&state);
        }
        let mut ids: Vec<&String> = Vec::new();
        for (revision, id) in &state.changes {
            if *revision > after && !ids.contains(&id) {
                ids.push(id);
            }
        }
        let changed: Vec<String> = ids.iter().map(|id| state.members[*id].json()).collect();
        format!(
            "{{\"revision\":{},\"complete\":false,\"members\":[{}]}}",
            state.revision,
            changed.join(",")
        )
    }
}

fn list_json(state: &State) -> String {
    let members: Vec<String> = state.members.values().map(Member::json).collect();
    format!(
        "{{\"revision\":{},\"complete\":true,\"members\":[{}]}}",
        state.revision,
        members.join(",")
    )
}

fn query_number(target: &str, name: &str) -> Option<u64> {
    let query = target.split_once('?')?.1;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(key, _)| *key == name)
        .find_map(|(_, value)| value.parse().ok())
}
