//! The run of one seed: router processes, model servers that cache prompts, links with faults
//! between routers and servers, and clients.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cluster_test::discovery::{Discovery, server_name};
use cluster_test::{ClusterError, Link, RouterProcess, router_config};
use fake_servers::{ModelServer, RequestLog, ServerOptions};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use tokio::time::Instant;

use super::faults::Faults;
use super::sessions::{Session, SessionClient};

/// Classes in the settings of the routers.
pub const CLASSES: [&str; 2] = ["hint", "batch-mark"];
/// Number of tokens of an answer.
pub const MAX_OUTPUT_TOKENS: u64 = 10;

const ROUTERS: usize = 3;
const SERVERS: usize = 9;
/// Number of clients of all routers together. They use about half of the servers' capacity.
const CLIENTS: usize = 36;
/// Time for which clients send requests.
const SENDING_TIME: Duration = Duration::from_secs(14);
/// Number of requests that a model server executes concurrently.
const SLOTS: usize = 8;
/// Time that a model server needs to prefill one token.
const PREFILL_TIME_PER_TOKEN: Duration = Duration::from_micros(400);
/// Time between two output tokens of a model server.
const TOKEN_INTERVAL: Duration = Duration::from_millis(40);

/// Numbers of requests that were not served.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnservedCount {
    total: usize,
    with_available_server: usize,
}

/// The result of a run.
pub struct SeedRun {
    pub sessions: Vec<Session>,
    /// Numbers of requests that were not served, by class and reason, as the routers logged them.
    pub unserved: BTreeMap<String, UnservedCount>,
}

/// Runs a seed with router processes of this program.
pub async fn run_seed(seed: u64, program: &Path) -> Result<SeedRun, ClusterError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let folder = tempfile::tempdir()?;
    let servers = start_servers().await?;
    let mut links = Vec::new();
    for _ in 0..ROUTERS {
        links.push(open_links(&servers, &mut rng).await?);
    }
    let addresses: Vec<Vec<SocketAddr>> = links
        .iter()
        .map(|links| links.iter().map(|link| link.address).collect())
        .collect();
    let discovery = Discovery::start(addresses.clone()).await?;
    let mut processes = Vec::new();
    for (router, servers) in addresses.iter().enumerate() {
        let mut config = router_config(ROUTERS, router, discovery.addresses[router], servers);
        set_classes(&mut config);
        let folder = folder.path().join(router.to_string());
        processes.push(RouterProcess::start(program, &folder, &config).await?);
    }
    let until = Instant::now() + SENDING_TIME;
    let routers: Vec<SocketAddr> = processes.iter().map(|process| process.listen).collect();
    let clients = (0..CLIENTS).map(|_| {
        let client = SessionClient {
            routers: routers.clone(),
            until,
            rng: StdRng::seed_from_u64(rng.random()),
        };
        client.run()
    });
    let clients = futures_util::future::join_all(clients.collect::<Vec<_>>());
    let mut faults = Faults {
        servers,
        links,
        processes,
        rng,
        until,
    };
    let (sessions, injected) = tokio::join!(clients, faults.inject());
    injected?;
    let logs = faults.processes.iter().map(RouterProcess::log);
    Ok(SeedRun {
        sessions: sessions.into_iter().flatten().collect(),
        unserved: count_unserved(logs),
    })
}

async fn start_servers() -> std::io::Result<Vec<ModelServer>> {
    let request_log = RequestLog::default();
    let mut servers = Vec::new();
    for server in 0..SERVERS {
        let options = ServerOptions {
            name: server_name(server),
            max_concurrent_requests: SLOTS,
            prefill_time_per_token: PREFILL_TIME_PER_TOKEN,
            token_interval: TOKEN_INTERVAL,
            answer_tokens: MAX_OUTPUT_TOKENS,
            lists_models: false,
            ..ServerOptions::default()
        };
        servers.push(ModelServer::start(options, request_log.clone()).await?);
    }
    Ok(servers)
}

/// Opens the links of a router to all servers.
async fn open_links(servers: &[ModelServer], rng: &mut StdRng) -> Result<Vec<Link>, ClusterError> {
    let mut links = Vec::new();
    for server in servers {
        let address = server.address.parse().map_err(std::io::Error::other)?;
        links.push(Link::open(address, rng.random()).await?);
    }
    Ok(links)
}

/// Configures two classes with the same objective and different weights.
fn set_classes(config: &mut Value) {
    let class = |name: &str, weight: f64| {
        json!({"name": name, "objective": 0.7, "deadline": 3.0, "effect": "read_like",
            "streaming": true, "credit": weight, "late-worth": 0.0})
    };
    let settings = &mut config["settings"];
    settings["classes"] = json!([class(CLASSES[0], 3.0), class(CLASSES[1], 1.0)]);
    settings["specifics"]["aim-us-per-1000-prompt-tokens"] = json!([130_000.0, 130_000.0]);
    settings["specifics"]["token-aim"] = json!([0.08, 0.08]);
}

/// Counts the unserved requests in the routers' logs, which name for each class and reason how many there
/// were, and how many of them beside an available server.
fn count_unserved(logs: impl Iterator<Item = String>) -> BTreeMap<String, UnservedCount> {
    let mut counts: BTreeMap<String, UnservedCount> = BTreeMap::new();
    for log in logs {
        let summaries = log.lines().filter_map(|line| {
            let (_, summary) = line.split_once("requests not served: ")?;
            summary.split_once(';')
        });
        for entry in summaries.flat_map(|(summary, _)| summary.split(", ")) {
            let words: Vec<&str> = entry.split([' ', '(']).collect();
            let [class, reason, total, _, with_available_server, ..] = words[..] else {
                continue;
            };
            let count = counts.entry(format!("{class} {reason}")).or_default();
            count.total += total.parse().unwrap_or(0);
            count.with_available_server += with_available_server.parse().unwrap_or(0);
        }
    }
    counts
}
