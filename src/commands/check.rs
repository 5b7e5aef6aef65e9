//! `stilespan check`: reads the configuration files and prints the configuration that a router
//! would use.

use std::path::Path;

use super::CommandError;
use crate::batch;
use crate::config::Config;
use crate::edge::config::EdgeConfig;
use crate::inventory;
use crate::router::RouterOptions;
use crate::routing::ModelNumbers;

/// Prints a summary of the configuration files, or returns the first error in them.
pub fn check(options: &RouterOptions) -> Result<(), CommandError> {
    let config = &options.config;
    print_config(config);
    print_batch(options.batch.as_ref());
    print_edge(options.edge.as_deref(), config)?;
    let batch_inventory = options.batch.as_ref().and_then(|b| b.inventory.as_ref());
    match options.inventory.as_ref().or(batch_inventory) {
        Some(path) => print_inventory(path, config)?,
        None => println!("discovery: {}", address_or(&config.discovery, "none")),
    }
    Ok(())
}

fn print_config(config: &Config) {
    println!(
        "router {:?}: classes {}; zones {}",
        config.name,
        config.classes.join(", "),
        config.localities.join(", ")
    );
    println!("platform's front: {}", address_or(&config.listen, "off"));
    println!("operators' address: {}", address_or(&config.admin, "off"));
}

fn address_or<'a>(address: &'a Option<String>, absent: &'a str) -> &'a str {
    address.as_deref().unwrap_or(absent)
}

fn print_batch(batch: Option<&batch::Options>) {
    match batch {
        Some(batch) => println!(
            "batch front: {}, spool {}",
            batch.listen,
            batch.spool.display()
        ),
        None => println!("batch front: off"),
    }
}

fn print_edge(path: Option<&Path>, config: &Config) -> Result<(), CommandError> {
    match path {
        Some(path) => {
            let edge_config =
                EdgeConfig::load(path, &config.classes, &mut ModelNumbers::default())?;
            println!("edge {}: {}", path.display(), edge_config.summary());
        }
        None => println!("edge: off"),
    }
    Ok(())
}

fn print_inventory(path: &Path, config: &Config) -> Result<(), CommandError> {
    let hosts =
        inventory::load(path, &config.localities).map_err(|source| CommandError::Inventory {
            path: path.to_path_buf(),
            source,
        })?;
    println!("inventory {}: {} hosts", path.display(), hosts.len());
    for host in hosts {
        println!(
            "  {} at {}, zone {}, {:?}",
            host.name, host.address, host.entry.zone, host.entry.state
        );
    }
    Ok(())
}
