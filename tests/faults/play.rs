//! A play: routers as processes, their peers, and what a seed does to them.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{JoinHandle, spawn};
use std::time::{Duration, Instant};

use cluster_test::discovery::Discovery;
use cluster_test::injection::Injection;
use cluster_test::{ClusterError, RouterProcess, router_config};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use tokio::time::sleep;

use super::clients::Client;
use super::failing_calls::draw_rules;
use super::record::{Attempt, AttemptEnd, Delivery, Outage, OutageKind, Record};
use super::servers::Server;

/// Clients ask for so long.
const LENGTH: Duration = Duration::from_secs(5);
/// Clients of a router.
const CLIENTS: usize = 8;
/// A process that was told to end is killed after this.
const GRACE: Duration = Duration::from_millis(3700);

/// Takes in what the peers see.
pub struct Recorder {
    start: Instant,
    record: Mutex<Record>,
    watches: Mutex<Vec<JoinHandle<()>>>,
}

fn held<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Recorder {
    fn new() -> Recorder {
        Recorder {
            start: Instant::now(),
            record: Mutex::default(),
            watches: Mutex::default(),
        }
    }

    /// An instant on the play's clock.
    pub fn at(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.start)
    }

    pub fn deliver(&self, delivery: Delivery) {
        held(&self.record).deliveries.push(delivery);
    }

    /// Records an attempt that begins; its place.
    pub fn begin(&self, attempt: Attempt) -> usize {
        let mut record = held(&self.record);
        record.attempts.push(attempt);
        record.attempts.len() - 1
    }

    pub fn end(&self, attempt: usize, end: AttemptEnd, at: Instant) {
        let attempt = &mut held(&self.record).attempts[attempt];
        (attempt.end, attempt.over) = (end, self.at(at));
    }

    /// Takes in a thread that still has something to record.
    pub fn watch(&self, thread: JoinHandle<()>) {
        held(&self.watches).push(thread);
    }

    fn outage(&self, router: usize, kind: OutageKind, from: Instant) {
        let outage = Outage {
            router,
            kind,
            from: self.at(from),
            until: self.at(Instant::now()),
        };
        held(&self.record).outages.push(outage);
    }
}

/// What is done to a router's process.
#[derive(Clone, Copy, Debug)]
enum Act {
    Stop(Duration),
    Kill,
    End,
}

/// How the system calls of the routers go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCalls {
    Sound,
    /// Some fail, as the seed has it.
    Failing,
}

/// What came of a play.
pub struct Played {
    pub record: Record,
    /// System calls that were made to fail.
    pub failed_calls: u64,
}

/// Plays a seed with processes of this program.
pub async fn play(seed: u64, program: &Path, calls: SystemCalls) -> Result<Played, ClusterError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let folder = tempfile::tempdir()?;
    let (recorder, over) = (Arc::new(Recorder::new()), Arc::new(AtomicBool::new(false)));
    let servers: Vec<Server> = (0..4)
        .map(|n| Server::start(seed * 100 + n, recorder.clone(), over.clone()))
        .collect();
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    let routers = rng.random_range(3..=6);
    let discovery = Discovery::start(vec![addresses.clone(); routers]).await?;
    let rules = draw_rules(seed);
    let (mut processes, mut injections) = (Vec::new(), Vec::new());
    for router in 0..routers {
        let mut config = router_config(routers, router, discovery.addresses[router], &addresses);
        // some have hardly any descriptors or memory
        if rng.random_bool(0.3) {
            config["limits"] = json!({"cores": 1.0, "memory_mb": 1, "sockets": 56});
        }
        let folder = folder.path().join(router.to_string());
        let injection = match calls {
            SystemCalls::Sound => None,
            SystemCalls::Failing => Some(Injection::new(&folder, seed, &rules)?),
        };
        processes.push(
            RouterProcess::start_with_faults(injection.as_ref(), program, &folder, &config).await?,
        );
        injections.extend(injection);
    }
    let until = Instant::now() + LENGTH;
    let mut clients = Vec::new();
    for (router, process) in processes.iter().enumerate() {
        for number in 0..CLIENTS {
            let client = Client {
                router,
                number,
                address: process.listen,
                recorder: recorder.clone(),
                until,
            };
            let seed = rng.random();
            clients.push(spawn(move || client.run(seed)));
        }
    }
    let acts = processes.into_iter().enumerate().map(|(router, process)| {
        let rng = StdRng::seed_from_u64(rng.random());
        trouble(router, process, rng, until, recorder.clone())
    });
    let processes = futures_util::future::try_join_all(acts).await?;
    while clients.iter().any(|client| !client.is_finished()) {
        sleep(Duration::from_millis(20)).await;
    }
    let watches = std::mem::take(&mut *held(&recorder.watches));
    for thread in watches {
        while !thread.is_finished() {
            sleep(Duration::from_millis(20)).await;
        }
    }
    over.store(true, Ordering::Relaxed);
    drop((processes, discovery));
    for server in servers {
        server.join();
    }
    let mut failed_calls = 0;
    for injection in injections {
        failed_calls += injection
            .counts()?
            .iter()
            .map(|(_, count)| count)
            .sum::<u64>();
    }
    let record = held(&recorder.record).clone();
    Ok(Played {
        record,
        failed_calls,
    })
}

/// Does to one router what its draws say, until the clients' time is over.
async fn trouble(
    router: usize,
    mut process: RouterProcess,
    mut rng: StdRng,
    until: Instant,
    recorder: Arc<Recorder>,
) -> Result<RouterProcess, ClusterError> {
    loop {
        sleep(Duration::from_millis(rng.random_range(300..1500))).await;
        if Instant::now() >= until {
            return Ok(process);
        }
        let act = match rng.random_range(0..10) {
            0..6 => Act::Stop(Duration::from_millis(rng.random_range(50..900))),
            6..7 => Act::Kill,
            _ => Act::End,
        };
        let from = Instant::now();
        match act {
            Act::Stop(long) => {
                process.suspend()?;
                sleep(long).await;
                process.resume()?;
                recorder.outage(router, OutageKind::Stopped, from);
            }
            Act::Kill => {
                process.restart()?;
                process.wait_until_ready().await?;
                recorder.outage(router, OutageKind::Killed, from);
            }
            Act::End => {
                process.terminate()?;
                while !process.has_exited() && from.elapsed() < GRACE {
                    sleep(Duration::from_millis(5)).await;
                }
                let late = Instant::now();
                process.restart()?;
                process.wait_until_ready().await?;
                if late - from >= GRACE {
                    recorder.outage(router, OutageKind::Killed, late);
                }
            }
        }
    }
}
