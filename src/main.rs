//! The router's command line.
#![forbid(unsafe_code)]
#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used))]

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use stilespan::commands::{self, CommandError, ConfigFiles};
use stilespan::logs::{self, LogFormat};
use stilespan::router::{self, InheritedListener, RouterOptions};

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
    Key(Key),
    Budgets(Budgets),
    Version(Version),
}

/// Run the router until SIGTERM.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration (default: the file that GW_CONFIG names)
    #[argh(option)]
    config: Option<PathBuf>,
    /// the batch front's configuration, such as deploy/batch.toml; without it the batch front is
    /// off
    #[argh(option)]
    batch: Option<PathBuf>,
    /// the edge's configuration file, such as deploy/edge.toml: models, budgets and keys; requires
    /// --batch; without this file the edge is off
    #[argh(option)]
    edge: Option<PathBuf>,
    /// an inventory of hosts (CSV or YAML), used instead of discovery
    #[argh(option)]
    inventory: Option<PathBuf>,
    /// the log's format: text (the default) or json
    #[argh(option, default = "LogFormat::Text")]
    log: LogFormat,
}

/// Read the configuration files and print a summary of them, or the first error.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the configuration (default: the file that GW_CONFIG names)
    #[argh(option)]
    config: Option<PathBuf>,
    /// the batch front's configuration
    #[argh(option)]
    batch: Option<PathBuf>,
    /// the edge's configuration file
    #[argh(option)]
    edge: Option<PathBuf>,
    /// an inventory of hosts (CSV or YAML)
    #[argh(option)]
    inventory: Option<PathBuf>,
}

/// Generate a key for a node, or hash an existing key.
#[derive(FromArgs)]
#[argh(subcommand, name = "key")]
struct Key {
    #[argh(subcommand)]
    command: KeyCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum KeyCommand {
    New(KeyNew),
    Hash(KeyHash),
}

/// Generate a key and print it with its entry for the keys file, which contains only its hash.
#[derive(FromArgs)]
#[argh(subcommand, name = "new")]
struct KeyNew {
    /// the key's id: 1 to 32 letters, digits and _
    #[argh(positional)]
    id: String,
    /// the path of the key's node, such as district/school/class
    #[argh(positional)]
    node: String,
}

/// Read a key from standard input and print its entry for the keys file.
#[derive(FromArgs)]
#[argh(subcommand, name = "hash")]
struct KeyHash {}

/// Print a key's budgets from a running router. The key is read from STILESPAN_KEY.
#[derive(FromArgs)]
#[argh(subcommand, name = "budgets")]
struct Budgets {
    /// the address of the router's public API, such as 127.0.0.1:9080
    #[argh(option)]
    at: String,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

impl Serve {
    /// Runs the router. `listener` is the listening socket for clients if the platform passes one.
    fn run(self, listener: Option<InheritedSocket>) -> Result<(), CommandError> {
        let files = ConfigFiles {
            config: self.config,
            batch: self.batch,
            edge: self.edge,
            inventory: self.inventory,
        };
        let options = files.load()?;
        let listener = listener
            .transpose()
            .map_err(CommandError::InheritedListener)?;
        router::run(RouterOptions {
            inherited: listener.map(with_folder),
            ..options
        })?;
        Ok(())
    }
}

impl Check {
    fn run(self) -> Result<(), CommandError> {
        let files = ConfigFiles {
            config: self.config,
            batch: self.batch,
            edge: self.edge,
            inventory: self.inventory,
        };
        commands::check(&files.load()?)
    }
}

/// The listening socket whose file descriptor is in `GW_FD`, or the reason why it can't be used.
type InheritedSocket = Result<std::net::TcpListener, inherited_listener::ListenerError>;

fn main() -> ExitCode {
    // must run before any descriptor is opened: if the descriptor in GW_FD isn't open, a new one
    // could get its number
    let listener = env_variable("GW_FD").map(|number| inherited_listener::take(&number));
    let args: Args = argh::from_env();
    let log_format = match &args.command {
        Command::Serve(serve) => serve.log,
        _ => LogFormat::Text,
    };
    let log = logs::start(log_format, std::env::var("RUST_LOG").ok().as_deref());
    match run(args.command, listener) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log.print(&format!("stilespan: {error}"));
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command, listener: Option<InheritedSocket>) -> Result<(), CommandError> {
    match command {
        Command::Serve(serve) => serve.run(listener),
        Command::Check(check) => check.run(),
        Command::Key(Key {
            command: KeyCommand::New(new),
        }) => commands::new_key(&new.id, &new.node),
        Command::Key(Key {
            command: KeyCommand::Hash(KeyHash {}),
        }) => commands::hash_key(),
        Command::Budgets(budgets) => commands::budgets(&budgets.at),
        Command::Version(Version {}) => {
            println!("stilespan {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

/// Adds the router's folder, the value of `TMPDIR`, to the inherited socket.
fn with_folder(listener: std::net::TcpListener) -> InheritedListener {
    let folder = std::env::var_os("TMPDIR")
        .filter(|folder| !folder.is_empty())
        .map(PathBuf::from);
    InheritedListener { listener, folder }
}

/// Returns the value of an environment variable if it is set and not empty.
fn env_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}
