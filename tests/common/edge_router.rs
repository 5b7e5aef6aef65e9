//! A router with the edge: its options, and an inventory of fake model servers.

use fake_servers::ModelServer;
use stilespan::config::Config;
use stilespan::router::RouterOptions;

use super::folder::Folder;
use super::router::{batch_options, router_options};

/// The options of a router with the batch service and the edge. `edge.toml` and `hosts.csv` are in
/// the folder, which gets the spool.
pub fn edge_router_options(folder: &Folder) -> RouterOptions {
    RouterOptions {
        batch: Some(batch_options(&folder.path("spool"))),
        edge: Some(folder.path("edge.toml")),
        inventory: Some(folder.path("hosts.csv")),
        ..router_options(Config::standalone())
    }
}

/// The inventory of these servers, in CSV. Their names are `s0`, `s1` and so on.
pub fn inventory_csv(servers: &[ModelServer]) -> String {
    let rows: String = servers
        .iter()
        .enumerate()
        .map(|(k, server)| format!("s{k},{}\n", server.address))
        .collect();
    format!("name,address\n{rows}")
}
