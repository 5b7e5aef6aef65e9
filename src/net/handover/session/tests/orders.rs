//! Two processes of a router in random orders of commands, messages, takeover and deaths: a
//! confirmed command is in effect at each process that serves.

mod process;

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::yield_now;

use super::*;
use crate::lifecycle::PeerState;
use process::{Process, server};

const SCHEDULES: u64 = 400;
const STEPS: usize = 40;
/// The number of commands of a schedule. Each excludes another server.
const COMMANDS: usize = 6;
/// A process dies in one step of so many.
const STEPS_PER_DEATH: u32 = 40;
/// How often other tasks run between two steps, so that the cores answer.
const TASK_TURNS: usize = 12;

/// A predecessor, its successor, and the messages between them.
struct Play {
    old: Option<Process>,
    new: Option<Process>,
    to_old: VecDeque<PeerMessage>,
    to_new: VecDeque<PeerMessage>,
    has_connected: bool,
    announced: bool,
    command_count: usize,
    /// The servers whose exclusion was confirmed.
    confirmed: Arc<Mutex<Vec<String>>>,
}

impl Play {
    async fn start() -> Play {
        Play {
            old: Some(Process::start(Peer::Successor, MaintenanceState::default()).await),
            new: None,
            to_old: VecDeque::new(),
            to_new: VecDeque::new(),
            has_connected: false,
            announced: false,
            command_count: 0,
            confirmed: Arc::default(),
        }
    }

    /// An operator excludes a server at the old or at the new process.
    fn command(&mut self, at_new: bool) {
        let process = if at_new { &mut self.new } else { &mut self.old };
        let Some(process) = process.as_mut().filter(|_| self.command_count < COMMANDS) else {
            return;
        };
        let name = server(self.command_count);
        self.command_count += 1;
        let (lifecycle, confirmed) = (process.lifecycle.clone(), self.confirmed.clone());
        process.commands.push(tokio::spawn(async move {
            let command = AdminCommand::Disable(name.clone());
            if lifecycle.execute(command).await.is_ok() {
                confirmed.lock().unwrap().push(name);
            }
        }));
    }

    /// The new process says hello, and the old one replies.
    async fn connect(&mut self) {
        let Some(old) = self.old.as_mut().filter(|_| !self.has_connected) else {
            return;
        };
        self.has_connected = true;
        let (peer, maintenance) = old.lifecycle.register_peer(PeerState::Joining).await;
        old.peer = Some(peer);
        self.to_new.push_back(PeerMessage::HelloAcknowledged {
            maintenance,
            endpoints: None,
            id_key: None,
        });
    }

    fn send_command(&mut self, to_new: bool) {
        let (process, messages) = if to_new {
            (&mut self.old, &mut self.to_new)
        } else {
            (&mut self.new, &mut self.to_old)
        };
        let command = process.as_mut().and_then(Process::next_command);
        messages.extend(command);
    }

    async fn deliver_to_new(&mut self) {
        let Some(message) = self.to_new.pop_front() else {
            return;
        };
        if let PeerMessage::HelloAcknowledged { maintenance, .. } = message {
            let mut new = Process::start(Peer::Predecessor, maintenance).await;
            new.peer = Some(new.lifecycle.register_peer(PeerState::Serving).await.0);
            self.new = Some(new);
            return;
        }
        let Some(new) = &mut self.new else { return };
        match new.session.receive(message) {
            Effect::ExecuteCommand { id, command, key } => {
                self.to_old
                    .push_back(new.execute(id, command, key.unwrap()).await);
            }
            Effect::CompleteTakeover => {
                new.start_serving().await;
                self.check().await;
            }
            _ => {}
        }
    }

    async fn deliver_to_old(&mut self) {
        let Some(old) = &mut self.old else { return };
        let Some(message) = self.to_old.pop_front() else {
            return;
        };
        match old.session.receive(message) {
            Effect::ExecuteCommand { id, command, key } => {
                self.to_new
                    .push_back(old.execute(id, command, key.unwrap()).await);
            }
            Effect::YieldToSuccessor => {
                old.lifecycle.peer_serves(old.peer.as_ref().unwrap().id);
                self.to_new
                    .extend(std::iter::from_fn(|| old.next_command()));
                self.to_new.push_back(PeerMessage::TakeoverAcknowledged);
            }
            _ => {}
        }
    }

    fn announce(&mut self) {
        let Some(new) = self.new.as_mut().filter(|_| !self.announced) else {
            return;
        };
        self.to_old.push_back(new.session.announce_takeover());
        self.announced = true;
    }

    /// The old process dies. What it has written to the link still arrives, and its file has all
    /// that it had in effect.
    async fn kill_old(&mut self) {
        if self.new.is_none() {
            return;
        }
        let Some(old) = self.old.take() else { return };
        let stored = old.state().await;
        drop(old);
        while !self.to_new.is_empty() {
            self.deliver_to_new().await;
        }
        let new = self.new.as_mut().unwrap();
        new.peer_exited();
        if !new.is_serving {
            new.lifecycle.adopt(&stored).await;
            new.start_serving().await;
        }
        self.check().await;
    }

    /// The new process dies, and the old one goes on.
    async fn kill_new(&mut self) {
        if self.old.is_none() || self.new.take().is_none() {
            return;
        }
        self.to_new.clear();
        self.to_old.clear();
        self.announced = false;
        self.has_connected = false;
        self.old.as_mut().unwrap().peer_exited();
    }

    async fn step(&mut self, rng: &mut StdRng) {
        if rng.random_range(0..STEPS_PER_DEATH) == 0 {
            match rng.random() {
                true => self.kill_old().await,
                false => self.kill_new().await,
            }
        }
        match rng.random_range(0..8) {
            0 => self.command(false),
            1 => self.command(true),
            2 => self.connect().await,
            3 => self.send_command(true),
            4 => self.send_command(false),
            5 => self.deliver_to_new().await,
            6 => self.deliver_to_old().await,
            _ => self.announce(),
        }
        for _ in 0..TASK_TURNS {
            yield_now().await;
        }
    }

    /// Asserts that each process that serves has every confirmed command in effect.
    async fn check(&self) {
        let confirmed = self.confirmed.lock().unwrap().clone();
        for process in [&self.old, &self.new].into_iter().flatten() {
            if !process.is_serving {
                continue;
            }
            let exclusions = process.state().await.exclusions;
            for name in &confirmed {
                let is_excluded = exclusions.iter().any(|exclusion| exclusion.name == *name);
                assert!(
                    is_excluded,
                    "{name} was confirmed; in effect: {exclusions:?}"
                );
            }
        }
    }
}

/// Guards against a gap between the copy of the state and the changes after it, in any order.
#[tokio::test]
async fn confirmed_commands_are_in_effect_in_any_order() {
    let (mut takeovers, mut confirmed) = (0, 0);
    for seed in 0..SCHEDULES {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut play = Play::start().await;
        for _ in 0..STEPS {
            play.step(&mut rng).await;
            play.check().await;
        }
        takeovers += usize::from(play.new.as_ref().is_some_and(|new| new.is_serving));
        confirmed += play.confirmed.lock().unwrap().len();
    }
    // the schedules reach the states that the test is about
    assert!(
        takeovers > 20 && confirmed > 200,
        "{takeovers}, {confirmed}"
    );
}
