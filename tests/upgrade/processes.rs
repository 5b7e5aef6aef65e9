//! Starts processes of the compiled program with an inherited listening socket, as the platform
//! does.

use std::fs;
use std::io::{BufRead, BufReader};
use std::os::fd::OwnedFd;
use std::process::{Command, Stdio};
use std::sync::mpsc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::common::folder::Folder;
use crate::common::peers::*;
use crate::common::process::{Running, signal};

const CONFIG_FILE: &str = "config.json";

/// What the platform provides to each process: the clients' listening socket and the router's
/// folder.
pub struct Platform {
    listener: std::net::TcpListener,
    pub folder: Folder,
}

/// A running process. It is killed if the test fails.
pub struct Process {
    child: Running,
    /// The operators' address of the process.
    admin: String,
    log: mpsc::Receiver<String>,
}

impl Platform {
    pub fn new(config: String) -> Platform {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let folder = Folder::new();
        fs::write(folder.path(CONFIG_FILE), config).unwrap();
        Platform { listener, folder }
    }

    /// The address at which clients connect to the router.
    pub fn clients_address(&self) -> String {
        self.listener.local_addr().unwrap().to_string()
    }

    /// The command that runs the program through a shell, with `socket` as descriptor 7 and
    /// `/dev/null` as descriptor 8. `fd` is the descriptor number passed to the program.
    pub fn command(&self, socket: OwnedFd, fd: &str) -> Command {
        let mut command = Command::new("sh");
        command.args([
            "-c",
            "exec 7<&0 8</dev/null; exec \"$@\"",
            "sh",
            env!("CARGO_BIN_EXE_stilespan"),
        ]);
        command
            .args(["serve", "--config"])
            .arg(self.folder.path(CONFIG_FILE))
            .stdin(Stdio::from(socket))
            .stderr(Stdio::piped());
        command
            .env_remove("GW_CONFIG")
            .env_remove("RUST_LOG")
            .env("GW_FD", fd);
        command
            .env("GW_ADMIN", "127.0.0.1:0")
            .env("TMPDIR", self.folder.path(""));
        command
    }

    /// Starts a process and waits until it listens at its operators' address.
    pub async fn start(&self) -> Process {
        self.start_without_waiting().wait_until_listening().await
    }

    /// Starts a process.
    pub fn start_without_waiting(&self) -> Process {
        let socket = self.listener.try_clone().unwrap();
        let mut child = self.command(socket.into(), "7").spawn().unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (sender, log) = mpsc::channel();
        std::thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                let _ = sender.send(line);
            }
        });
        Process {
            child: Running(child),
            admin: String::new(),
            log,
        }
    }

    /// Whether the router reports itself healthy at the clients' address.
    pub async fn is_healthy(&self) -> bool {
        health_status(&self.clients_address()).await == 200
    }
}

impl Process {
    /// Waits until the process listens at its operators' address.
    pub async fn wait_until_listening(mut self) -> Process {
        let line = self.wait_for_log("operators' address ").await;
        self.admin = line.rsplit(' ').next().unwrap().to_string();
        self
    }

    /// Waits for a log line that contains `text` and returns the line.
    pub async fn wait_for_log(&self, text: &str) -> String {
        let start = Instant::now();
        loop {
            match self.log.try_recv() {
                Ok(line) if line.contains(text) => return line,
                Ok(_) => {}
                Err(_) => {
                    assert!(
                        start.elapsed() < Duration::from_secs(20),
                        "not logged within 20 s: {text}"
                    );
                    sleep(Duration::from_millis(5)).await;
                }
            }
        }
    }

    /// Sends a request to the operators' address and returns the status of the response.
    pub async fn admin_call(&self, method: &str, target: &str) -> u16 {
        let text = format!("{method} {target} HTTP/1.1\r\n\r\n");
        call_once(&self.admin, text.as_bytes()).await.head.status
    }

    /// Posts a command to the operators' address and returns the status of the response.
    pub async fn post(&self, target: &str) -> u16 {
        self.admin_call("POST", target).await
    }

    /// Waits until the process reports that it is ready.
    pub async fn wait_until_ready(&self) {
        let start = Instant::now();
        while self.admin_call("GET", "/ready").await != 200 {
            assert!(
                start.elapsed() < Duration::from_secs(20),
                "the process did not become ready"
            );
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.0.id()
    }

    /// Sends a signal, named without `SIG`.
    pub fn signal(&self, name: &str) {
        signal(name, &self.child);
    }

    /// Waits until the process exits and returns its exit code.
    pub async fn wait_for_exit(mut self) -> Option<i32> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.0.try_wait().unwrap() {
                return status.code();
            }
            assert!(
                start.elapsed() < Duration::from_secs(20),
                "the process is still running"
            );
            sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Starts two model servers, `s-a` and `s-b`. Returns them with a router configuration for both.
pub async fn start_two_servers() -> (Peer, Peer, String) {
    let (a, b) = answering_pair().await;
    let text = config_text(
        &[
            ("s-a", &a.address, "SERVING"),
            ("s-b", &b.address, "SERVING"),
        ],
        None,
    );
    (a, b, text)
}
