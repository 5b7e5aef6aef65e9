//! Faults drawn at random, one after the other and some at once: of model servers, of links between
//! a router and its servers, and of the routers' processes.

use std::time::Duration;

use cluster_test::{ClusterError, Link, LinkFault, RouterProcess};
use fake_servers::{Fault, ModelServer};
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::time::{Instant, sleep};

/// Time between two faults, and how long one lasts, in milliseconds.
const INTERVAL_MS: std::ops::Range<u64> = 300..1200;
const LENGTH_MS: std::ops::Range<u64> = 500..3000;
/// How long a router is stopped, in milliseconds.
const STOP_MS: std::ops::Range<u64> = 50..600;
/// The most servers at fault at the same time, and the most that one router can't reach: a third.
const MAX_FAULTY_SERVERS: usize = 3;
/// By how much a server is slower after a restart, and for how long.
const COLD_SLOWDOWN: u32 = 3;
const WARM_UP: Duration = Duration::from_secs(2);

/// What faults are injected into.
pub struct Faults {
    pub servers: Vec<ModelServer>,
    /// By the indexes of the router and of the server.
    pub links: Vec<Vec<Link>>,
    pub processes: Vec<RouterProcess>,
    pub rng: StdRng,
    pub until: Instant,
}

/// A fault that ends at some time.
struct Active {
    ends: Instant,
    target: Target,
}

enum Target {
    Server(usize),
    Links { router: usize, servers: Vec<usize> },
}

impl Faults {
    /// Injects faults until the clients stop.
    pub async fn inject(&mut self) -> Result<(), ClusterError> {
        let mut active: Vec<Active> = Vec::new();
        while Instant::now() < self.until {
            let pause = self.rng.random_range(INTERVAL_MS);
            sleep(Duration::from_millis(pause)).await;
            let now = Instant::now();
            for ended in active.extract_if(.., |fault| fault.ends <= now) {
                self.end(&ended.target);
            }
            let length = Duration::from_millis(self.rng.random_range(LENGTH_MS));
            let ends = now + length;
            match self.rng.random_range(0..10) {
                0..5 if active.len() < MAX_FAULTY_SERVERS => {
                    let target = Target::Server(self.fail_server());
                    active.push(Active { ends, target });
                }
                5..8 if active.len() < MAX_FAULTY_SERVERS => {
                    let target = self.fail_links();
                    active.push(Active { ends, target });
                }
                8 => self.stop_router().await?,
                9 => self.restart_router().await?,
                _ => {}
            }
        }
        Ok(())
    }

    /// Makes a server fail: its index.
    fn fail_server(&mut self) -> usize {
        let server = self.rng.random_range(0..self.servers.len());
        let fault = match self.rng.random_range(0..4) {
            0 => Fault::Hang,
            1 => Fault::Overloaded,
            2 => Fault::InternalError,
            _ => Fault::Down,
        };
        self.servers[server].set_fault(fault);
        server
    }

    /// Makes links of a router fail, to one server or to a third of them.
    fn fail_links(&mut self) -> Target {
        let router = self.rng.random_range(0..self.links.len());
        let first = self.rng.random_range(0..self.servers.len());
        let count = if self.rng.random() {
            1
        } else {
            MAX_FAULTY_SERVERS
        };
        let fault = match self.rng.random_range(0..4) {
            0 => LinkFault::Stall,
            1 => LinkFault::Disconnect,
            2 => LinkFault::Delay(150),
            _ => LinkFault::DisconnectPercent(20),
        };
        let servers: Vec<usize> = (first..first + count)
            .map(|server| server % self.servers.len())
            .collect();
        for &server in &servers {
            self.links[router][server].set_fault(Some(fault));
        }
        Target::Links { router, servers }
    }

    /// Ends a fault. A server comes back with nothing cached, and slow for a while.
    fn end(&self, target: &Target) {
        match target {
            Target::Server(server) => self.servers[*server].start_cold(COLD_SLOWDOWN, WARM_UP),
            Target::Links { router, servers } => {
                for &server in servers {
                    self.links[*router][server].set_fault(None);
                }
            }
        }
    }

    async fn stop_router(&mut self) -> Result<(), ClusterError> {
        let router = self.rng.random_range(0..self.processes.len());
        let length = self.rng.random_range(STOP_MS);
        self.processes[router].suspend()?;
        sleep(Duration::from_millis(length)).await;
        self.processes[router].resume()
    }

    async fn restart_router(&mut self) -> Result<(), ClusterError> {
        let router = self.rng.random_range(0..self.processes.len());
        self.processes[router].restart()?;
        self.processes[router].wait_until_ready().await
    }
}
