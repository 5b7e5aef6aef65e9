//! The platform's side of a router: its configuration, its start by the deploy file's command, its
//! memory, signals and end.

use std::fs::{self, File};
use std::net::TcpListener;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::case::Case;
use crate::http;

/// How long a router may take until it is ready (the pages allow 30 s).
const START_LIMIT: Duration = Duration::from_secs(30);

/// A running router.
pub struct Router {
    pub id: u32,
    /// The address for the platform's clients.
    pub clients: String,
    /// The operators' address.
    pub admin: String,
    child: Mutex<Child>,
    case: Case,
}

/// A free loopback address.
pub fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address").to_string()
}

/// The command of the deploy file that starts a router.
fn run_command(root: &Path) -> Option<String> {
    let deploy = fs::read_to_string(root.join("deploy/balancer.toml")).ok()?;
    let line = deploy
        .lines()
        .find_map(|line| line.strip_prefix("run = \""))?;
    Some(line[..line.rfind('"')?].to_string())
}

impl Router {
    /// Starts a router as the platform does, with the project's example configuration on free
    /// addresses and these further options, and waits until it is ready.
    pub fn start(case: &Case, options: &str) -> Router {
        let (clients, admin) = (free_address(), free_address());
        let Ok(config) = fs::read_to_string(case.root.join("examples/config.json")) else {
            case.give_up("there is no examples/config.json");
        };
        let config = config
            .replace("127.0.0.1:9000", &clients)
            .replace("127.0.0.1:9090", &admin);
        let config = case.write("config.json", &config);
        let Some(run) = run_command(&case.root) else {
            case.give_up("the deploy file has no command `run`");
        };
        let run = format!("{run} {options}");
        let tmpdir = case.file("router-tmp");
        let log = File::create(case.file("router.log"));
        let (Ok(log), Ok(())) = (log, fs::create_dir_all(&tmpdir)) else {
            case.give_up("no folder for the router");
        };
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run])
            .current_dir(&case.root)
            .env("GW_CONFIG", config)
            .env("GW_NAME", "n1")
            .env("GW_LISTEN", &clients)
            .env("GW_ADMIN", &admin)
            .env("TMPDIR", tmpdir)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        crate::process::end_with_parent(&mut command);
        let child = command.spawn().unwrap_or_else(|error| case.give_up(error));
        case.note(format!("platform: started {run} as process {}", child.id()));
        case.started_process(child.id());
        let router = Router {
            id: child.id(),
            clients,
            admin,
            child: Mutex::new(child),
            case: case.clone(),
        };
        router.wait_until_ready();
        router
    }

    fn wait_until_ready(&self) {
        let start = Instant::now();
        let health = "GET /_health HTTP/1.1\r\n";
        loop {
            let answer = http::call(&self.clients, Duration::from_secs(1), health, b"");
            if answer.is_ok_and(|answer| answer.status == 200) {
                return;
            }
            if start.elapsed() > START_LIMIT || self.has_ended() {
                self.case
                    .give_up(format!("the router is not ready; its log: {}", self.log()));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&self) -> bool {
        let ended = matches!(self.child.lock().unwrap().try_wait(), Ok(Some(_)));
        if ended {
            self.case.ended_process(self.id);
        }
        ended
    }

    /// The end of the router's log.
    pub fn log(&self) -> String {
        let text = fs::read_to_string(self.case.file("router.log")).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(20)..].join("\n")
    }

    /// The memory that the process holds, in KiB, without files that it has mapped.
    pub fn memory_kib(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id)).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"))?;
        line.trim().split(' ').next()?.parse().ok()
    }

    /// The limit on the memory, in KiB, from the configuration.
    pub fn memory_limit_kib(&self) -> u64 {
        let config = fs::read_to_string(self.case.file("config.json")).unwrap_or_default();
        let megabytes = crate::json::number(&config, "memory_mb");
        megabytes.unwrap_or_else(|| self.case.give_up("no memory_mb")) << 10
    }

    /// Kills the process.
    pub fn kill(&self) {
        crate::process::kill_process(self.id);
        self.case.note("platform: killed the router");
    }
}
