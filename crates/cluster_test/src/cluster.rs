//! A running cluster: the router processes, their fake peers, and the links between them.

use std::net::SocketAddr;
use std::path::Path;

use fake_servers::{ModelServer, RequestLog, ServerOptions};

use crate::discovery::{self, Discovery};
use crate::error::ClusterError;
use crate::link::Link;
use crate::process::RouterProcess;
use crate::router_config::router_config;
use crate::scenario::{Action, LinkFault, Scenario, ScheduledStep};

/// Everything that runs during a scenario. When the cluster is dropped, its processes end first.
pub(crate) struct Cluster {
    pub(crate) processes: Vec<RouterProcess>,
    pub(crate) discovery: Discovery,
    /// The attempts that reached the model servers.
    pub(crate) request_log: RequestLog,
    links: Links,
    _servers: Vec<ModelServer>,
}

/// The links of a cluster, indexed by router.
struct Links {
    to_discovery: Vec<Link>,
    /// Indexed by router, then by server.
    to_servers: Vec<Vec<Link>>,
    from_clients: Vec<Link>,
}

/// Opens links, each with its own seed.
struct LinkFactory {
    last_seed: u64,
}

impl LinkFactory {
    async fn open(&mut self, destination: SocketAddr) -> std::io::Result<Link> {
        self.last_seed = self.last_seed.wrapping_add(1);
        Link::open(destination, self.last_seed).await
    }

    /// Opens a link from each router to each server.
    async fn open_to_servers(
        &mut self,
        routers: usize,
        servers: &[ModelServer],
    ) -> std::io::Result<Vec<Vec<Link>>> {
        let mut by_router = Vec::new();
        for _ in 0..routers {
            let mut links = Vec::new();
            for server in servers {
                let address = server.address.parse().map_err(std::io::Error::other)?;
                links.push(self.open(address).await?);
            }
            by_router.push(links);
        }
        Ok(by_router)
    }
}

impl Cluster {
    /// Starts all parts of a scenario and waits until the routers are ready. Their files are
    /// written to `folder`; the seed determines the random disconnects of the links.
    pub(crate) async fn start(
        scenario: &Scenario,
        seed: u64,
        program: &Path,
        folder: &Path,
    ) -> Result<Cluster, ClusterError> {
        let request_log = RequestLog::default();
        let servers = start_servers(scenario.servers, &request_log).await?;
        let mut factory = LinkFactory { last_seed: seed };
        let to_servers = factory.open_to_servers(scenario.routers, &servers).await?;
        let servers_by_router: Vec<Vec<SocketAddr>> = to_servers
            .iter()
            .map(|links| links.iter().map(|link| link.address).collect())
            .collect();
        let discovery = Discovery::start(servers_by_router.clone()).await?;
        let mut processes = Vec::new();
        let mut to_discovery = Vec::new();
        let mut from_clients = Vec::new();
        for (router, servers) in servers_by_router.iter().enumerate() {
            let discovery_link = factory.open(discovery.addresses[router]).await?;
            let config = router_config(scenario.routers, router, discovery_link.address, servers);
            let folder = folder.join(format!("n{router}"));
            let process = RouterProcess::start(program, &folder, &config).await?;
            from_clients.push(factory.open(process.listen).await?);
            to_discovery.push(discovery_link);
            processes.push(process);
        }
        Ok(Cluster {
            processes,
            discovery,
            request_log,
            links: Links {
                to_discovery,
                to_servers,
                from_clients,
            },
            _servers: servers,
        })
    }

    /// The address that clients use for a router: the address of the link to it.
    pub(crate) fn client_address(&self, router: usize) -> SocketAddr {
        self.links.from_clients[router].address
    }

    /// Applies a step of the schedule: starts or ends an action.
    pub(crate) fn apply_step(&mut self, step: ScheduledStep) -> Result<(), ClusterError> {
        let router = step.target.router;
        let server = step.target.server;
        let link_fault = |fault: LinkFault| step.is_start.then_some(fault);
        match step.action {
            Action::DiscoveryLink(fault) => {
                self.links.to_discovery[router].set_fault(link_fault(fault));
            }
            Action::ServerLink(fault) => {
                self.links.to_servers[router][server].set_fault(link_fault(fault));
            }
            Action::ClientLink(fault) => {
                self.links.from_clients[router].set_fault(link_fault(fault));
            }
            Action::SuspendRouter if step.is_start => self.processes[router].suspend()?,
            Action::SuspendRouter => self.processes[router].resume()?,
            Action::KillRouter if step.is_start => self.processes[router].kill(),
            Action::KillRouter => self.processes[router].restart()?,
            Action::DrainServer => self.discovery.drain(server),
        }
        Ok(())
    }
}

async fn start_servers(
    count: usize,
    request_log: &RequestLog,
) -> std::io::Result<Vec<ModelServer>> {
    let mut servers = Vec::new();
    for server in 0..count {
        let options = ServerOptions {
            name: discovery::server_name(server),
            lists_models: false,
            ..ServerOptions::default()
        };
        servers.push(ModelServer::start(options, request_log.clone()).await?);
    }
    Ok(servers)
}
