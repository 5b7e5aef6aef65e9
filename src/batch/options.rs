//! The configuration of the batch service, `deploy/batch.toml`. The fields have the names of the
//! file's keys.

use std::path::{Path, PathBuf};

use serde::Deserialize;

use crate::config::{ConfigError, read_file};

/// The configuration of the batch service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Options {
    /// The address that clients connect to.
    pub listen: String,
    /// The folder of the files; a relative path lies under `$TMPDIR`.
    pub spool: PathBuf,
    /// A file that lists the model servers, in place of discovery; a relative path lies beside the
    /// configuration.
    pub inventory: Option<PathBuf>,
    /// The class of the lines' requests.
    #[serde(default = "default_class")]
    pub class: String,
    /// The endpoints that a batch may name.
    #[serde(default = "default_endpoints")]
    pub endpoints: Vec<String>,
    /// The most lines in flight.
    #[serde(default = "default_window")]
    pub window: usize,
    /// The limits.
    #[serde(default)]
    pub limits: Limits,
}

/// The limits of the batch service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The most MiB of a file.
    pub file_mb: u64,
    /// The most MiB of all files, with the result files.
    pub spool_mb: u64,
    /// The most files.
    pub files: usize,
    /// The most lines of a file.
    pub lines: u64,
    /// The most KiB of a line; the platform's bodies hold 256.
    pub line_kb: usize,
    /// The most batches that are remembered.
    pub batches: usize,
    /// The longest completion window, in seconds.
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

fn default_class() -> String {
    "batch-mark".into()
}

fn default_endpoints() -> Vec<String> {
    vec!["/v1/chat/completions".into()]
}

fn default_window() -> usize {
    16
}

impl Options {
    /// Reads the configuration's file.
    pub fn load(path: &Path) -> Result<Options, ConfigError> {
        let malformed = |e: toml::de::Error| ConfigError::malformed(path, e.to_string());
        let mut options: Options = toml::from_str(&read_file(path)?).map_err(malformed)?;
        if options.spool.is_relative() {
            options.spool = std::env::temp_dir().join(&options.spool);
        }
        if let Some(inventory) = options.inventory.take_if(|path| path.is_relative()) {
            let folder = path.parent().unwrap_or(Path::new(""));
            options.inventory = Some(folder.join(inventory));
        }
        Ok(options)
    }
}
