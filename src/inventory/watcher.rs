//! Watches an inventory file. The watcher is an actor that sends the complete list to the core when
//! the core requests it and whenever the file has changed. If the file is invalid, the watcher logs
//! the error and keeps the last valid list.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime};

use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};
use tracing::{info, warn};

use crate::core::{CoreMessage, DiscoveryCommand, Endpoint, EndpointsUpdate};
use crate::interface::EndpointListKind;
use crate::log_limit::LogLimit;
use crate::storage::{BackgroundReader, ReadAbandoned};

use super::InventoryError;

/// The interval between checks of the file for changes. A check costs one `stat`, and an operator's
/// edit takes effect within half a second.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The maximum duration of a check before it is abandoned.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// The core has stopped, so the list can no longer be sent.
#[derive(Debug)]
struct CoreStopped;

/// The version of a file. The file has changed if its version differs from the last one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FileVersion {
    /// The file does not exist or its metadata cannot be read.
    Absent,
    /// The modification time and the length of the file.
    Present { modified: SystemTime, bytes: u64 },
}

/// A version of the file that has not been loaded before, and the result of loading it.
struct LoadedFile {
    version: FileVersion,
    hosts: Result<Vec<Endpoint>, InventoryError>,
}

/// Checks the file for changes in a task separate from the watcher, so a read that hangs does not
/// delay the watcher's answers to the core.
struct FileChecker {
    path: PathBuf,
    localities: Vec<String>,
    reader: BackgroundReader,
    log: LogLimit,
}

struct Watcher {
    path: PathBuf,
    core: mpsc::Sender<CoreMessage>,
    /// The last valid list.
    hosts: Option<Vec<Endpoint>>,
}

/// Runs the watcher until the core stops. `localities` are the configured zone names, in the order
/// of their numbers.
pub async fn run(
    path: PathBuf,
    localities: Vec<String>,
    mut commands: mpsc::Receiver<DiscoveryCommand>,
    core: mpsc::Sender<CoreMessage>,
) {
    let checker = FileChecker {
        path: path.clone(),
        localities,
        reader: BackgroundReader::default(),
        log: LogLimit::new(),
    };
    let mut watcher = Watcher {
        path,
        core,
        hosts: None,
    };
    let (loads_sender, mut loads) = mpsc::channel(1);
    tokio::spawn(checker.run(loads_sender));
    // A request that arrives before the first read of the file is answered after that read.
    let mut is_first_read = true;
    let mut is_requested = false;
    loop {
        let is_changed = tokio::select! {
            loaded = loads.recv() => {
                is_first_read = false;
                loaded.flatten().is_some_and(|loaded| watcher.apply(loaded))
            }
            command = commands.recv() => match command {
                Some(command) => {
                    is_requested |= requests_list(&command);
                    false
                }
                None => return,
            },
        };
        if is_changed || (is_requested && !is_first_read) {
            is_requested = false;
            if watcher.report().await.is_err() {
                return;
            }
        }
    }
}

/// Whether a command requests the list. The other commands concern the discovery service, which is
/// not used together with an inventory.
fn requests_list(command: &DiscoveryCommand) -> bool {
    match command {
        DiscoveryCommand::Watch => true,
        DiscoveryCommand::Refresh | DiscoveryCommand::ChangeAddress { .. } => false,
    }
}

impl FileChecker {
    /// Sends each new version of the file, and `None` for each abandoned read, until the watcher
    /// ends.
    async fn run(self, loads: mpsc::Sender<Option<LoadedFile>>) {
        let mut loaded_version = None;
        let mut timer = interval(CHECK_INTERVAL);
        timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            timer.tick().await;
            let result = match self.read_if_changed(loaded_version).await {
                Ok(None) => continue,
                Ok(Some(loaded)) => {
                    loaded_version = Some(loaded.version);
                    Some(loaded)
                }
                Err(abandoned) => {
                    self.log_abandoned(&abandoned);
                    None
                }
            };
            if loads.send(result).await.is_err() {
                return;
            }
        }
    }

    /// Reads the file on a separate thread if it has changed.
    async fn read_if_changed(
        &self,
        loaded_version: Option<FileVersion>,
    ) -> Result<Option<LoadedFile>, ReadAbandoned> {
        let (path, localities) = (self.path.clone(), self.localities.clone());
        let read = move || {
            let version = FileVersion::of(&path);
            (loaded_version != Some(version)).then(|| LoadedFile {
                version,
                hosts: super::load(&path, &localities),
            })
        };
        self.reader.read(READ_TIMEOUT, read).await
    }

    fn log_abandoned(&self, abandoned: &ReadAbandoned) {
        if let Some(omitted) = self.log.admit(Instant::now()) {
            let path = self.path.display();
            warn!("{path}: {abandoned}; keeping the last valid list{omitted}");
        }
    }
}

impl Watcher {
    /// Stores the list of a file that was read. Returns whether the valid list has changed.
    fn apply(&mut self, loaded: LoadedFile) -> bool {
        let path = self.path.display();
        match loaded.hosts {
            Ok(hosts) if self.hosts.as_ref() == Some(&hosts) => false,
            Ok(hosts) => {
                info!("{path}: loaded a list of {} hosts", hosts.len());
                self.hosts = Some(hosts);
                true
            }
            Err(error) => {
                warn!("{path}: {error}; keeping the last valid list");
                false
            }
        }
    }

    /// Sends the last valid list to the core, or an error if there is none.
    async fn report(&self) -> Result<(), CoreStopped> {
        let kind = match self.hosts {
            Some(_) => EndpointListKind::Complete,
            None => EndpointListKind::Error,
        };
        let update = EndpointsUpdate {
            kind,
            endpoints: self.hosts.clone().unwrap_or_default(),
        };
        self.core
            .send(CoreMessage::EndpointsUpdated(update))
            .await
            .map_err(|_| CoreStopped)
    }
}

impl FileVersion {
    fn of(path: &Path) -> FileVersion {
        let Ok(metadata) = std::fs::metadata(path) else {
            return FileVersion::Absent;
        };
        match metadata.modified() {
            Ok(modified) => FileVersion::Present {
                modified,
                bytes: metadata.len(),
            },
            Err(_) => FileVersion::Absent,
        }
    }
}
