//! The batch front: files in, batches of `batch-mark` RPCs through the core, one result file out.
//! Its HTTP API follows the public OpenAI-style Files and Batches API, with resumable uploads for
//! poor links.

pub mod front;
pub mod jobs;
pub mod line;
pub mod live;
pub mod store;
pub mod window;

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use tokio::net::TcpListener;

use crate::config::{Config, ConfigError, read_file};
use crate::core::CoreHandle;
use crate::error::RunError;
use crate::net::listener::{self, ListenerContext};

/// The batch front's own configuration, `deploy/batch.toml`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Options {
    /// Where its clients connect.
    pub listen: String,
    /// The folder for files; a path that is not absolute lies under `$TMPDIR`.
    pub spool: PathBuf,
    /// An inventory of hosts, in place of discovery.
    pub inventory: Option<PathBuf>,
    /// The class of the lines' RPCs.
    #[serde(default = "class")]
    pub class: String,
    /// The endpoints that a batch may name.
    #[serde(default = "endpoints")]
    pub endpoints: Vec<String>,
    /// Lines in flight at the most.
    #[serde(default = "window")]
    pub window: usize,
    /// Limits.
    #[serde(default)]
    pub limits: Limits,
}

/// The batch front's limits.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// A file's size.
    pub file_mb: u64,
    /// The size of all files, results too.
    pub spool_mb: u64,
    /// Files.
    pub files: usize,
    /// Lines of a file.
    pub lines: u64,
    /// A line's size; the platform's bodies hold 256 KiB.
    pub line_kb: usize,
    /// Batches that are remembered.
    pub batches: usize,
    /// Seconds that a batch may ask for to be completed.
    pub window_s: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            file_mb: 100,
            spool_mb: 1024,
            files: 256,
            lines: 50_000,
            line_kb: 256,
            batches: 128,
            window_s: 7 * 86_400,
        }
    }
}

fn class() -> String {
    "batch-mark".into()
}

fn endpoints() -> Vec<String> {
    vec!["/v1/chat/completions".into()]
}

fn window() -> usize {
    16
}

impl Options {
    /// Reads the file.
    pub fn load(path: &Path) -> Result<Options, ConfigError> {
        let malformed = |e: toml::de::Error| ConfigError::malformed(path, e.to_string());
        let mut options: Options = toml::from_str(&read_file(path)?).map_err(malformed)?;
        if options.spool.is_relative() {
            options.spool = std::env::temp_dir().join(&options.spool);
        }
        if let Some(inventory) = options.inventory.take_if(|i| i.is_relative()) {
            options.inventory = Some(path.parent().unwrap_or(Path::new("")).join(inventory));
        }
        Ok(options)
    }
}

/// The batch front, listening and ready to serve.
pub struct Ready {
    listener: TcpListener,
    front: Arc<front::Front>,
    context: ListenerContext,
    jobs: jobs::Jobs,
}

/// Opens the spool and the listening address.
pub async fn open(
    options: Options,
    config: &Config,
    core: CoreHandle,
    context: ListenerContext,
    live: Option<live::Live>,
) -> Result<Ready, RunError> {
    let class = config.classes.iter().position(|c| *c == options.class);
    let class = class.ok_or(ConfigError::Missing(
        "the batch front's class (among the settings' classes)",
    ))?;
    let listen = &options.listen;
    let listener = TcpListener::bind(listen)
        .await
        .map_err(|e| RunError::listen(listen, e))?;
    let limits = &options.limits;
    let limits = store::Limits {
        file: limits.file_mb << 20,
        spool: limits.spool_mb << 20,
        files: limits.files,
    };
    let opened = store::Store::open(&options.spool, limits);
    let store = opened.map_err(|e| RunError::spool(&options.spool, e))?;
    let run = jobs::Options {
        class: class as u32,
        class_name: options.class.clone(),
        patience: Duration::from(config.settings.classes[class].deadline),
        max_lines: options.limits.lines,
        max_line: options.limits.line_kb << 10,
        max_batches: options.limits.batches.max(1),
    };
    let window = window::Window::new(options.window, core.clone());
    let jobs = jobs::Jobs::new(
        core,
        store.clone(),
        window,
        run,
        context.shutting_down.clone(),
        live.clone(),
    );
    let longest = Duration::from_secs(options.limits.window_s);
    let front = Arc::new(front::Front::new(
        store,
        jobs.clone(),
        options.endpoints,
        longest,
        live,
    ));
    Ok(Ready {
        listener,
        front,
        context,
        jobs,
    })
}

impl Ready {
    /// Where it listens.
    pub fn address(&self) -> std::io::Result<std::net::SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until the program's end, with every line's outcome written.
    pub async fn serve(self) {
        let handle = listener::handler(self.front, front::run);
        listener::serve(self.context, front::CLIENT_TIMEOUTS, self.listener, handle).await;
        self.jobs.settle().await;
    }
}
