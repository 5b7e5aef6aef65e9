//! The watcher of an inventory file: an actor that sends the complete list to the core when the
//! core asks for it, and whenever the file has changed. An invalid file is logged, and the last
//! valid list stays in use.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use tokio::sync::mpsc;
use tokio::time::interval;
use tracing::{info, warn};

use crate::core::{CoreMessage, DiscoveryCommand, Endpoint, EndpointsUpdate};
use crate::interface::EndpointListKind;

/// How often the file is checked for changes. One `stat` a check, and an operator's edit counts
/// within half a second.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The core has stopped, so nobody wants the list any more.
#[derive(Debug)]
struct CoreStopped;

/// A version of a file: two that differ show that the file has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FileVersion {
    /// There is no file, or none that can be seen.
    Absent,
    /// The file's time of modification and length.
    Present { modified: SystemTime, bytes: u64 },
}

struct Watcher {
    path: PathBuf,
    localities: Vec<String>,
    core: mpsc::Sender<CoreMessage>,
    /// The version of the file that was loaded last, whether or not it was valid.
    loaded_version: Option<FileVersion>,
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
    let mut watcher = Watcher {
        path,
        localities,
        core,
        loaded_version: None,
        hosts: None,
    };
    let mut check_timer = interval(CHECK_INTERVAL);
    loop {
        let is_requested = tokio::select! {
            _ = check_timer.tick() => false,
            command = commands.recv() => match command {
                Some(command) => requests_list(&command),
                None => return,
            },
        };
        let is_changed = watcher.reload_if_changed();
        if (is_requested || is_changed) && watcher.report().await.is_err() {
            return;
        }
    }
}

/// Whether a command asks for the list. The others are about discovery's service, which is not used
/// beside an inventory.
fn requests_list(command: &DiscoveryCommand) -> bool {
    match command {
        DiscoveryCommand::Watch => true,
        DiscoveryCommand::Refresh
        | DiscoveryCommand::ChangeAddress { .. }
        | DiscoveryCommand::Adopt { .. } => false,
    }
}

impl Watcher {
    /// Loads the file if it has changed; whether there is another valid list since.
    fn reload_if_changed(&mut self) -> bool {
        let version = FileVersion::of(&self.path);
        if self.loaded_version == Some(version) {
            return false;
        }
        self.loaded_version = Some(version);
        let path = self.path.display();
        match super::load(&self.path, &self.localities) {
            Ok(hosts) if self.hosts.as_ref() == Some(&hosts) => false,
            Ok(hosts) => {
                info!("{path}: {} hosts", hosts.len());
                self.hosts = Some(hosts);
                true
            }
            Err(error) => {
                warn!("{path}: {error}; the last valid list stays in use");
                false
            }
        }
    }

    /// Sends the last valid list to the core, or that there is none.
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
