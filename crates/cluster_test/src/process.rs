//! A real process of the router program, with its configuration and log in its own folder.

use std::ffi::OsString;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::error::ClusterError;
use crate::injection::Injection;

/// Maximum time until a started process is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two health checks of a process that isn't ready yet.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The port of all routers, below the range from which the system assigns free ports.
const PORT: u16 = 9_000;
/// Distance between the first addresses of two test processes with successive process ids; a prime
/// number.
const ADDRESSES_PER_TEST: u32 = 4_099;
/// Environment variables that would override the configuration; they are not inherited.
const OVERRIDING_VARIABLES: [&str; 7] = [
    "GW_CONFIG",
    "GW_LISTEN",
    "GW_DISCOVERY",
    "GW_NAME",
    "GW_ADMIN",
    "GW_FD",
    "RUST_LOG",
];

/// A running router process, which is killed on drop.
pub struct RouterProcess {
    /// The address that clients connect to.
    pub listen: SocketAddr,
    program: PathBuf,
    folder: PathBuf,
    environment: Vec<(&'static str, OsString)>,
    child: Child,
}

impl RouterProcess {
    /// Starts the program with its files in this folder and waits until it is ready. Replaces the
    /// listening address in the configuration.
    pub async fn start(
        program: &Path,
        folder: &Path,
        config: &Value,
    ) -> Result<RouterProcess, ClusterError> {
        RouterProcess::start_with_faults(None, program, folder, config).await
    }

    /// Starts the program like [`RouterProcess::start`], with injected failures of system calls.
    pub async fn start_with_faults(
        injection: Option<&Injection>,
        program: &Path,
        folder: &Path,
        config: &Value,
    ) -> Result<RouterProcess, ClusterError> {
        std::fs::create_dir_all(folder)?;
        let listen = unused_address();
        let mut config = config.clone();
        config["listen"] = json!(listen.to_string());
        std::fs::write(folder.join("config.json"), config.to_string())?;
        let environment =
            injection.map_or_else(Vec::new, |injection| injection.environment().into());
        let child = spawn(program, folder, &environment)?;
        let process = RouterProcess {
            listen,
            program: program.into(),
            folder: folder.into(),
            environment,
            child,
        };
        process.wait_until_ready().await?;
        Ok(process)
    }

    /// Kills the process and starts a new one with the same configuration and address. Doesn't wait
    /// until the new process is ready.
    pub fn restart(&mut self) -> Result<(), ClusterError> {
        self.kill();
        self.child = spawn(&self.program, &self.folder, &self.environment)?;
        Ok(())
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The log since the first start, including that of processes before a restart.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Kills the process (SIGKILL) and waits until it has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process (SIGSTOP).
    pub fn suspend(&self) -> Result<(), ClusterError> {
        self.signal(Signal::STOP)
    }

    /// Resumes the process (SIGCONT).
    pub fn resume(&self) -> Result<(), ClusterError> {
        self.signal(Signal::CONT)
    }

    /// Asks the process to shut down (SIGTERM). Doesn't wait until it has exited.
    pub fn terminate(&self) -> Result<(), ClusterError> {
        self.signal(Signal::TERM)
    }

    /// Asks the process to reload its configuration (SIGHUP).
    pub fn reload(&self) -> Result<(), ClusterError> {
        self.signal(Signal::HUP)
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    fn signal(&self, signal: Signal) -> Result<(), ClusterError> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or(ClusterError::ProcessExited)?;
        kill_process(pid, signal).map_err(|error| ClusterError::Io(error.into()))
    }

    /// Waits until the process answers its health check.
    pub async fn wait_until_ready(&self) -> Result<(), ClusterError> {
        let start = Instant::now();
        let url = format!("http://{}/_health", self.listen);
        while start.elapsed() < READY_TIMEOUT {
            let response = reqwest::get(&url).await;
            if response.is_ok_and(|response| response.status() == 200) {
                return Ok(());
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        Err(ClusterError::NotReady(self.log()))
    }
}

/// A loopback address that no other process uses. A free port assigned by the system could be taken
/// before the process listens on it. Therefore the port is below the range of assigned ports, and
/// the address is derived from the test's process id and a counter.
fn unused_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT
        .fetch_add(1, Ordering::Relaxed)
        .wrapping_add(std::process::id().wrapping_mul(ADDRESSES_PER_TEST));
    let [_, a, b, c] = number.to_be_bytes();
    SocketAddr::from(([127, a % 250 + 2, b, c], PORT))
}

fn spawn(
    program: &Path,
    folder: &Path,
    environment: &[(&'static str, OsString)],
) -> Result<Child, ClusterError> {
    let log = File::options()
        .create(true)
        .append(true)
        .open(folder.join("log"))?;
    let mut command = Command::new(program);
    command
        .arg("serve")
        .arg("--config")
        .arg(folder.join("config.json"));
    for name in OVERRIDING_VARIABLES {
        command.env_remove(name);
    }
    command.envs(environment.iter().cloned());
    command
        .env("TMPDIR", folder)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log);
    Ok(command.spawn()?)
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
