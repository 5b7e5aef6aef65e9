//! The platform's part: starts a router by `run` of the deploy file, asks whether it is ready, sends
//! signals, replaces the process, and ends everything.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::case::{Case, process_ended, process_started, wait_until};
use crate::client::{Reply, call};

/// The settings of a small deployment, like those of the first site.
pub const SETTINGS: &str = r#"{
 "n-instances": 1, "me": 0, "zone": 0, "period": 0.002, "discovery": "ask", "family": "llm",
 "localities": ["cleveland", "toledo", "erie"], "kinds": ["fast-card", "mid-card", "old-card"],
 "classes": [
  {"name": "hint", "objective": 0.4, "deadline": 1.5, "effect": "read_like", "group": "all", "repeat-window": 5.0, "late-worth": 0.0, "streaming": true, "credit": 3.0},
  {"name": "batch-mark", "objective": 3.0, "deadline": 15.0, "effect": "read_like", "group": "all", "repeat-window": 5.0, "late-worth": 0.0, "streaming": true, "credit": 1.0}],
 "specifics": {"aim-us-per-1000-prompt-tokens": [60000.0, 30000.0], "token-aim": [0.06, 0.05], "resume": true},
 "guarantees": {"answer-slack": 0.008, "drain-grace": 0.5, "fall": 1.5, "fall-multiple": 4.0, "must-ask-in": 10.0, "start-capacity": 0.3, "warm-after": 8.9},
 "limits": {"max-attempts": 3, "cancel": true, "probes": false, "second-copies": false, "retry-after": false, "max-retry-after": 2.0, "conn-idle": 30.0, "connect-timeout": 0.25, "max-open": 20000, "max-streams": 1, "peers": false},
 "prices": {"cross-zone": 0.1, "handshake": 0.02, "waste": 0.3, "probe": 0.0},
 "telemetry": {"how": "none", "names": []}, "tenants": [], "weights": "nominal", "value-by": "work"}"#;

/// A private folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(name: &str) -> Result<Folder, String> {
        let path = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The platform of one router.
pub struct Platform {
    pub case: Case,
    pub folder: Folder,
    /// Where clients connect; the platform holds this socket.
    pub listener: TcpListener,
    pub address: SocketAddr,
    pub discovery: Option<SocketAddr>,
    /// The list in the configuration, as JSON.
    pub known: Option<String>,
    /// The limits on memory in MB and on descriptors.
    pub limits: (u32, u32),
    run: String,
    started: u32,
}

/// What else a router is started with.
#[derive(Default)]
pub struct Launch {
    /// Arguments behind `run`.
    pub arguments: String,
    /// Whether the router inherits the clients' socket (`GW_FD`).
    pub inherit: bool,
}

/// A router's process.
pub struct Router {
    case: Case,
    child: Child,
    pub name: String,
    pub admin: SocketAddr,
    log: PathBuf,
    is_ended: bool,
}

/// A free address for a router to listen on. It is released before the router binds it, so it is at
/// a loopback address of this run alone: on 127.0.0.1 an outgoing connection of any process could
/// take the port meanwhile.
pub fn free_address() -> Result<SocketAddr, String> {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let own = Ipv4Addr::new(127, 64 | (high & 63), middle, low.clamp(1, 254));
    let listener = TcpListener::bind((own, 0)).map_err(|e| e.to_string())?;
    listener.local_addr().map_err(|e| e.to_string())
}

impl Platform {
    pub fn new(case: &Case, name: &str) -> Result<Platform, String> {
        let deploy = fs::read_to_string(case.root.join("deploy/balancer.toml"));
        let deploy = deploy.map_err(|e| format!("deploy/balancer.toml: {e}"))?;
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \""));
        let run = run.and_then(|run| run.strip_suffix('"'));
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(|e| e.to_string())?;
        Ok(Platform {
            case: case.clone(),
            folder: Folder::create(name)?,
            address: listener.local_addr().map_err(|e| e.to_string())?,
            listener,
            discovery: None,
            known: None,
            limits: (192, 1024),
            run: run.ok_or("deploy/balancer.toml names no run")?.to_string(),
            started: 0,
        })
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.0.join(name)
    }

    /// Starts a process of the router.
    pub fn start(&mut self, launch: &Launch) -> Result<Router, String> {
        self.started += 1;
        let name = format!("process {}", self.started);
        let admin = free_address()?;
        // a router without the platform's socket gets an address of its own
        let listen = if launch.inherit {
            self.address
        } else {
            free_address()?
        };
        self.address = listen;
        let config = self.path(&format!("config-{}.json", self.started));
        let mut fields = format!(
            "\"name\":\"n1\",\"listen\":\"{listen}\",\"admin\":\"{admin}\",\"seed\":\"8c1f30d27a5be96{}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"settings\":{SETTINGS}",
            self.started % 10,
            self.limits.0,
            self.limits.1
        );
        if let Some(discovery) = self.discovery {
            fields += &format!(",\"discovery\":\"{discovery}\"");
        }
        if let Some(known) = &self.known {
            fields += &format!(",\"known\":{known}");
        }
        fs::write(&config, format!("{{{fields}}}")).map_err(|e| e.to_string())?;
        let log = self.path(&format!("log-{}", self.started));
        let log_file = fs::File::create(&log).map_err(|e| e.to_string())?;
        let mut command = Command::new("/bin/sh");
        // the platform hands the socket over as descriptor 7
        let script = if launch.inherit {
            format!("exec 7<&0 </dev/null; {} {}", self.run, launch.arguments)
        } else {
            format!("{} {}", self.run, launch.arguments)
        };
        command
            .arg("-c")
            .arg(script)
            .current_dir(&self.case.root)
            .env("TMPDIR", &self.folder.0)
            .env("GW_NAME", "n1")
            .env("GW_CONFIG", &config)
            .env("GW_LISTEN", listen.to_string())
            .env("GW_ADMIN", admin.to_string())
            .env("RUST_LOG", "stilespan=info")
            .stdout(log_file.try_clone().map_err(|e| e.to_string())?)
            .stderr(log_file)
            .stdin(Stdio::null());
        if let Some(discovery) = self.discovery {
            command.env("GW_DISCOVERY", discovery.to_string());
        }
        if launch.inherit {
            let socket = self.listener.try_clone().map_err(|e| e.to_string())?;
            command
                .stdin(Stdio::from(OwnedFd::from(socket)))
                .env("GW_FD", "7");
        }
        let child = command.spawn().map_err(|e| format!("run: {e}"))?;
        process_started(child.id());
        self.case.note(&format!(
            "platform: {name} of the router is started, pid {}",
            child.id()
        ));
        Ok(Router {
            case: self.case.clone(),
            child,
            name,
            admin,
            log,
            is_ended: false,
        })
    }
}

impl Router {
    /// Sends a signal to the process that this case started.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(pid)
            .status();
        self.case
            .note(&format!("platform: {} gets SIG{signal}", self.name));
    }

    /// A call at the operators' address.
    pub fn operate(&self, method: &str, target: &str) -> Result<Reply, String> {
        let asked = Instant::now();
        let reply = call(self.admin, method, target, "", b"");
        if target != "/ready" {
            let text = match &reply {
                Ok(reply) => format!("{} {}", reply.status, reply.text.trim()),
                Err(error) => error.clone(),
            };
            let millis = asked.elapsed().as_millis();
            self.case.note(&format!(
                "operator: {}: {method} {target}: {text} ({millis} ms)",
                self.name
            ));
        }
        reply
    }

    /// Waits until the process says that it is ready.
    pub fn wait_ready(&mut self, limit: Duration) -> Result<Instant, String> {
        let mut ended = false;
        let is_ready = wait_until(limit, || {
            ended = matches!(self.child.try_wait(), Ok(Some(_)));
            ended
                || self
                    .operate("GET", "/ready")
                    .is_ok_and(|reply| reply.status == 200)
        });
        if ended || !is_ready {
            let log = self.log();
            return Err(format!("{} is not ready; its log: {log}", self.name));
        }
        self.case.note(&format!("platform: {} says yes", self.name));
        Ok(Instant::now())
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// The process's anonymous memory, in KiB.
    pub fn anonymous_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    /// Waits until the log holds a text.
    pub fn wait_for_log(&self, text: &str, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.log().contains(text) {
                return true;
            }
            std::thread::sleep(Duration::from_micros(200));
        }
        false
    }

    /// Waits for the end after SIGTERM; kills the process at the platform's time.
    pub fn wait_end(&mut self, limit: Duration) -> bool {
        let ended = wait_until(limit, || matches!(self.child.try_wait(), Ok(Some(_))));
        if !ended {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
        self.is_ended = true;
        process_ended(self.child.id());
        let how = if ended { "has ended" } else { "gets SIGKILL" };
        self.case.note(&format!("platform: {} {how}", self.name));
        ended
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        if !self.is_ended {
            let _ = self.child.kill();
            let _ = self.child.wait();
            process_ended(self.child.id());
        }
        for line in self.log().lines() {
            self.case.note(&format!("log of {}: {line}", self.name));
        }
    }
}

/// Writes a file as a tool does that replaces it whole: a new file, renamed.
pub fn replace_file(path: &Path, text: &str) -> Result<(), String> {
    let new = path.with_extension("new");
    let written = fs::write(&new, text).and_then(|()| fs::rename(&new, path));
    written.map_err(|e| format!("{}: {e}", path.display()))
}
