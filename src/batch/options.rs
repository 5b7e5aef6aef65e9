//! The configuration of the batch service (`deploy/batch.toml`). The fields have the names of the
//! keys in the file.

use std::path::{Path, PathBuf};

use serde::Deserialize;

use crate::config::{ConfigError, read_file};

/// The configuration of the batch service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Options {
    /// The address that clients connect to.
    pub listen: String,
    /// The folder in which files are stored. A relative path is resolved against `$TMPDIR`.
    pub spool: PathBuf,
    /// A file that lists the model servers and replaces discovery. A relative path is resolved
    /// against the folder of the configuration file.
    pub inventory: Option<PathBuf>,
    /// The request class of batch lines.
    #[serde(default = "default_class")]
    pub class: String,
    /// The values that a batch may have as its `endpoint`.
    #[serde(default = "default_endpoints")]
    pub endpoints: Vec<String>,
    /// The maximum number of lines in flight.
    #[serde(default = "default_window")]
    pub window: usize,
    /// The limits on files and batches.
    #[serde(default)]
    pub limits: Limits,
}

/// The limits of the batch service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum size of a file, in MiB.
    pub file_mb: u64,
    /// The maximum total size of all files including result files, in MiB.
    pub spool_mb: u64,
    /// The maximum number of files.
    pub files: usize,
    /// The maximum number of lines in a file.
    pub lines: u64,
    /// The maximum size of a line, in KiB. The platform limits request bodies to 256 KiB.
    pub line_kb: usize,
    /// The maximum number of batches kept in memory.
    pub batches: usize,
    /// The maximum completion window, in seconds.
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
    /// Reads the configuration file.
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
