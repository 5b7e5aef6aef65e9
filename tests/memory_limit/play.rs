//! Plays slow clients beside ordinary ones on a router process with given limits.
#![allow(dead_code)]

use std::process::Command;
use std::time::Duration;

use futures_util::future::join_all;
use serde_json::Value;
use stilespan::memory::MIN_MEMORY_MIB;
use tokio::time::timeout;

use crate::common::memory_peak::MemoryPeak;
use crate::common::platform::config_text;
use crate::common::process::{Running, Scratch, program, serve_command};
use crate::ordinary_clients::{Answers, CLIENTS as ORDINARY_CLIENTS, ordinary_clients};
use crate::slow_clients::SlowClient;
use crate::slow_servers::{bind_server, serve};

/// Limits of a router, and clients that fill them.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    memory_mib: u64,
    descriptors: u64,
    slow_clients: usize,
}

impl Limits {
    /// Nearly as many slow clients as the descriptors allow, so that ordinary clients still find room.
    pub const USUAL: Limits = Limits {
        memory_mib: 64,
        descriptors: 1024,
        slow_clients: 470,
    };

    /// Clients hold a third of the descriptors, ordinary ones included.
    pub const fn with_a_third(memory_mib: u64, descriptors: u64) -> Limits {
        Limits {
            memory_mib,
            descriptors,
            slow_clients: descriptors as usize / 3 - ORDINARY_CLIENTS,
        }
    }

    pub const LEAST_MEMORY: Limits = Limits::with_a_third(MIN_MEMORY_MIB as u64, 1024);

    /// Other limits on memory may be tried by hand.
    fn overridden(self) -> Limits {
        let limit = std::env::var("MEMORY_MIB").ok();
        limit.map_or(self, |limit| Limits {
            memory_mib: limit.parse().unwrap(),
            ..self
        })
    }
}

const PLAY_TIME: Duration = Duration::from_secs(6);
/// Servers outlive the play.
const SERVER_TIME: Duration = Duration::from_secs(20);

fn router_program() -> Command {
    let mut command = std::env::var_os("MEMORY_PROGRAM").map_or_else(program, Command::new);
    command.env_remove("GW_CONFIG").env("RUST_LOG", "error");
    command.arg("serve");
    command
}

/// Starts a router with two servers; returns its process and address.
async fn start_router(
    servers: &[String; 2],
    limits: Limits,
    scratch_name: &str,
) -> (Running, String) {
    let hosts = [
        ("s-a", servers[0].as_str(), "SERVING"),
        ("s-b", servers[1].as_str(), "SERVING"),
    ];
    let mut config: Value = serde_json::from_str(&config_text(&hosts, None)).unwrap();
    config["limits"]["memory_mb"] = limits.memory_mib.into();
    config["limits"]["sockets"] = limits.descriptors.into();
    let file = Scratch::new(scratch_name, &config.to_string());
    let mut command = router_program();
    command.env("RUST_LOG", "info");
    let (process, address, log) = serve_command(command, &file).await;
    // the log has to be read, or the process would find it full
    std::thread::spawn(move || std::io::copy(&mut { log }, &mut std::io::sink()));
    (process, address)
}

/// Runs a future in a thread of its own, so that the load does not delay the ordinary clients.
fn spawn_thread(future: impl Future<Output = ()> + Send + 'static) {
    std::thread::spawn(move || {
        let mut runtime = tokio::runtime::Builder::new_current_thread();
        runtime.enable_all().build().unwrap().block_on(future);
    });
}

async fn start_servers() -> [String; 2] {
    let (address_sender, mut addresses) = tokio::sync::mpsc::channel(2);
    for _ in 0..2 {
        let address_sender = address_sender.clone();
        spawn_thread(async move {
            let listener = bind_server();
            let address = listener.local_addr().unwrap().to_string();
            address_sender.send(address).await.unwrap();
            let _ = timeout(SERVER_TIME, serve(listener)).await;
        });
    }
    let mut next = async || addresses.recv().await.unwrap();
    [next().await, next().await]
}

/// Plays hundreds of slow clients, which take turns through the given kinds, beside ordinary ones.
pub async fn play(name: &str, limits: Limits, kinds: &'static [SlowClient]) -> Answers {
    let limits = limits.overridden();
    let servers = start_servers().await;
    let scratch_name = format!("memory-{name}-{}-{}", limits.memory_mib, limits.descriptors);
    let (mut process, address) = start_router(&servers, limits, &scratch_name).await;
    let memory = MemoryPeak::watch(process.0.id());
    let slow_address = address.clone();
    spawn_thread(async move {
        let slow =
            (0..limits.slow_clients).map(|number| kinds[number % kinds.len()].run(&slow_address));
        let _ = timeout(PLAY_TIME, join_all(slow)).await;
    });
    let ordinary = ordinary_clients(&address, PLAY_TIME).await;
    let ended = process.0.try_wait().unwrap();
    assert!(ended.is_none(), "the router ended: {ended:?}");
    let (peak, limit) = (memory.mib(), limits.memory_mib);
    println!("{name}: {peak} MiB of {limit} at most; {ordinary:?}");
    assert!(peak < limit, "{peak} MiB of {limit}");
    ordinary
}
