//! Runs the router as a child process, with a temporary folder for its files.

use std::io::{BufRead, BufReader, Lines};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};

use crate::DemoError;
use crate::fleet::Fleet;

/// A running router. Dropping it kills the process and removes its folder, also if the demo fails.
pub struct RouterProcess {
    child: Child,
    folder: PathBuf,
    /// The address that serves the platform's protocol.
    pub platform_address: String,
    /// The address that serves the public chat and batch APIs.
    pub public_address: String,
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl RouterProcess {
    /// Starts a router for a fleet, and waits until both front ends have logged their addresses.
    pub fn start(program: &str, fleet: &Fleet) -> Result<RouterProcess, DemoError> {
        let folder = std::env::temp_dir().join(format!("stilespan-demo-{}", std::process::id()));
        write_files(&folder, fleet)?;
        let mut child = spawn(program, &folder)?;
        let log = child.stderr.take();
        let mut router = RouterProcess {
            child,
            folder,
            platform_address: String::new(),
            public_address: String::new(),
        };
        let mut lines =
            BufReader::new(log.ok_or("the router's standard error is not captured")?).lines();
        router.read_addresses(&mut lines)?;
        // keep reading, so that a full pipe never blocks the router's log
        std::thread::spawn(move || lines.for_each(drop));
        Ok(router)
    }

    fn read_addresses(&mut self, log: &mut Lines<BufReader<ChildStderr>>) -> Result<(), DemoError> {
        while self.platform_address.is_empty() || self.public_address.is_empty() {
            let line = log
                .next()
                .ok_or("the router exited before it logged its addresses")??;
            if let Some((_, address)) = line.split_once("serving on ") {
                self.platform_address = address.trim().to_string();
            }
            if let Some((_, address)) = line.split_once("batch front on ") {
                self.public_address = address.trim().to_string();
            }
        }
        Ok(())
    }

    /// Requests a graceful shutdown by SIGTERM and waits until the router exits. Returns whether it
    /// exited successfully.
    pub fn shut_down(&mut self) -> Result<bool, DemoError> {
        let kill = Command::new("kill")
            .args(["-TERM", &self.child.id().to_string()])
            .status()?;
        let status = self.child.wait()?;
        println!("--- SIGTERM: the router answered all accepted requests and exited with {status}");
        Ok(kill.success() && status.success())
    }
}

/// Writes the inventory and the batch front's configuration.
fn write_files(folder: &Path, fleet: &Fleet) -> Result<(), DemoError> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join("hosts.csv"), fleet.inventory())?;
    let batch = format!(
        "listen = \"127.0.0.1:0\"\nspool = {:?}\ninventory = \"hosts.csv\"\n",
        folder.join("spool")
    );
    std::fs::write(folder.join("batch.toml"), batch)?;
    Ok(())
}

fn spawn(program: &str, folder: &Path) -> Result<Child, DemoError> {
    let child = Command::new(program)
        .args(["serve", "--config", "examples/config.json"])
        .args(["--edge", "examples/edge.toml"])
        .arg("--batch")
        .arg(folder.join("batch.toml"))
        .env("GW_LISTEN", "127.0.0.1:0")
        .env_remove("GW_CONFIG")
        .env_remove("GW_DISCOVERY")
        .stderr(Stdio::piped())
        .spawn()?;
    Ok(child)
}
