//! Processes of the built program on one inherited listening socket, as the platform starts them.

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

/// The platform's side: the clients' listening socket that every process inherits, and the router's
/// folder.
pub struct Platform {
    listener: std::net::TcpListener,
    pub folder: Folder,
    config: String,
}

/// A running process; killed if its test fails.
pub struct Process {
    child: Running,
    /// Where operators call it.
    admin: String,
    log: mpsc::Receiver<String>,
}

impl Platform {
    pub fn new(config: String) -> Platform {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        Platform {
            listener,
            folder: Folder::new(),
            config,
        }
    }

    /// Where clients call the router.
    pub fn clients_address(&self) -> String {
        self.listener.local_addr().unwrap().to_string()
    }

    /// The program with the socket as descriptor 7 and `/dev/null` as 8; a shell arranges them.
    pub fn command(&self, socket: OwnedFd, fd: &str) -> Command {
        let file = self.folder.path("config.json");
        fs::write(&file, &self.config).unwrap();
        let mut command = Command::new("sh");
        command.args([
            "-c",
            "exec 7<&0 8</dev/null; exec \"$@\"",
            "sh",
            env!("CARGO_BIN_EXE_stilespan"),
        ]);
        command
            .args(["serve", "--config"])
            .arg(file)
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

    /// Starts a process and waits until operators can call it.
    pub async fn start(&self) -> Process {
        let socket = self.listener.try_clone().unwrap();
        let mut child = self.command(socket.into(), "7").spawn().unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (sender, log) = mpsc::channel();
        std::thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                let _ = sender.send(line);
            }
        });
        let mut process = Process {
            child: Running(child),
            admin: String::new(),
            log,
        };
        process.admin = process
            .wait_for_log("operators' address ")
            .await
            .rsplit(' ')
            .next()
            .unwrap()
            .to_string();
        process
    }

    /// Whether the router tells its clients that it is healthy.
    pub async fn is_healthy(&self) -> bool {
        health_status(&self.clients_address()).await == 200
    }
}

impl Process {
    /// Waits for a line of the log that contains this text.
    pub async fn wait_for_log(&self, text: &str) -> String {
        let start = Instant::now();
        loop {
            match self.log.try_recv() {
                Ok(line) if line.contains(text) => return line,
                Ok(_) => {}
                Err(_) => {
                    assert!(
                        start.elapsed() < Duration::from_secs(20),
                        "not in 20 s: {text}"
                    );
                    sleep(Duration::from_millis(5)).await;
                }
            }
        }
    }

    /// Calls the operators' address; the status of the answer.
    pub async fn admin_call(&self, method: &str, target: &str) -> u16 {
        let text = format!("{method} {target} HTTP/1.1\r\n\r\n");
        call_once(&self.admin, text.as_bytes()).await.head.status
    }

    /// Posts a command to the operators' address; the status of the answer.
    pub async fn post(&self, target: &str) -> u16 {
        self.admin_call("POST", target).await
    }

    /// Waits until it says that it is ready.
    pub async fn wait_until_ready(&self) {
        let start = Instant::now();
        while self.admin_call("GET", "/ready").await != 200 {
            assert!(start.elapsed() < Duration::from_secs(20), "never ready");
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

    /// Waits for its end; its exit code.
    pub async fn wait_for_exit(mut self) -> Option<i32> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.0.try_wait().unwrap() {
                return status.code();
            }
            assert!(start.elapsed() < Duration::from_secs(20), "it still runs");
            sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Two model servers, `s-a` and `s-b`, and the configuration of a router in front of them.
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
