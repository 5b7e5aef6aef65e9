//! The router's command line.
#![forbid(unsafe_code)]

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use stilespan::config::{Config, ConfigError};
use stilespan::router::{self, Plan};
use stilespan::{batch, inventory};

/// A request router for fleets of language-model servers.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Check(Check),
    Version(Version),
}

/// Run the router until SIGTERM.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration (default: the file that GW_CONFIG names)
    #[argh(option)]
    config: Option<PathBuf>,
    /// the batch front's configuration, such as deploy/batch.toml; without it that front is off
    #[argh(option)]
    batch: Option<PathBuf>,
    /// an inventory of hosts (CSV or YAML), in place of discovery
    #[argh(option)]
    inventory: Option<PathBuf>,
}

/// Read the configuration files and say what they hold, or what is wrong with them.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the configuration (default: the file that GW_CONFIG names)
    #[argh(option)]
    config: Option<PathBuf>,
    /// the batch front's configuration
    #[argh(option)]
    batch: Option<PathBuf>,
    /// an inventory of hosts (CSV or YAML)
    #[argh(option)]
    inventory: Option<PathBuf>,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let args: Args = argh::from_env();
    let done = match args.command {
        Command::Version(Version {}) => {
            println!("stilespan {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::Check(check) => {
            plan(check.config, check.batch, check.inventory).and_then(|plan| report(&plan))
        }
        Command::Serve(serve) => plan(serve.config, serve.batch, serve.inventory)
            .and_then(|plan| router::run(plan).map_err(|e| e.to_string())),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("stilespan: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the files that the command line and the environment name.
fn plan(config: Option<PathBuf>, batch: Option<PathBuf>, inventory: Option<PathBuf>) -> Result<Plan, String> {
    let batch = batch.map(|path| batch::Options::load(&path)).transpose().map_err(|e| e.to_string())?;
    let file = Config::file(config);
    let config = match Config::load(file.as_deref()) {
        // the batch front can run by itself, on an inventory
        Err(ConfigError::Missing(_)) if batch.is_some() => Config::standalone(),
        loaded => loaded.map_err(|e| e.to_string())?,
    };
    Ok(Plan { config, batch, inventory, file })
}

/// Says what the files hold.
fn report(plan: &Plan) -> Result<(), String> {
    let Plan { config, batch, inventory, .. } = plan;
    println!(
        "router {:?}: classes {}; zones {}",
        config.name,
        config.classes.join(", "),
        config.localities.join(", ")
    );
    println!("platform's front: {}", config.listen.as_deref().unwrap_or("off"));
    match batch {
        Some(batch) => println!("batch front: {}, spool {}", batch.listen, batch.spool.display()),
        None => println!("batch front: off"),
    }
    let inventory = inventory.as_ref().or(batch.as_ref().and_then(|b| b.inventory.as_ref()));
    match inventory {
        Some(path) => {
            let hosts =
                inventory::load(path, &config.localities).map_err(|e| format!("{}: {e}", path.display()))?;
            println!("inventory {}: {} hosts", path.display(), hosts.len());
            for host in hosts {
                println!(
                    "  {} at {}, zone {}, {:?}",
                    host.name, host.address, host.entry.zone, host.entry.state
                );
            }
        }
        None => println!("discovery: {}", config.discovery.as_deref().unwrap_or("none")),
    }
    Ok(())
}
