//! One process replaces another under load: two processes of the built program on one inherited
//! listening socket.

#[path = "../common/mod.rs"]
mod common;

use std::fs;
use std::io::{BufRead, BufReader, Read};
use std::os::fd::OwnedFd;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc;
use std::time::Duration;

use common::folder::Folder;
use common::peers::*;
use rstest::rstest;
use tokio::time::{Instant, sleep, timeout};

/// The platform's side: the clients' listening socket that every process inherits, and the router's
/// folder.
struct Platform {
    listener: std::net::TcpListener,
    folder: Folder,
    config: String,
}

/// A running process; killed if its test fails.
struct Process {
    child: Child,
    admin: String,
    log: mpsc::Receiver<String>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Platform {
    fn new(config: String) -> Platform {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        Platform {
            listener,
            folder: Folder::new(),
            config,
        }
    }

    fn clients(&self) -> String {
        self.listener.local_addr().unwrap().to_string()
    }

    /// The program with the socket as descriptor 7 and nothing of use as 8, by way of the shell.
    fn command(&self, socket: OwnedFd, fd: &str) -> Command {
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
    async fn start(&self) -> Process {
        let socket = self.listener.try_clone().unwrap();
        let mut child = self.command(socket.into(), "7").spawn().unwrap();
        let log = BufReader::new(child.stderr.take().unwrap());
        let (to, lines) = mpsc::channel();
        std::thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                let _ = to.send(line);
            }
        });
        let mut process = Process {
            child,
            admin: String::new(),
            log: lines,
        };
        process.admin = process
            .says("operators' address ")
            .await
            .rsplit(' ')
            .next()
            .unwrap()
            .to_string();
        process
    }

    async fn healthy(&self) -> bool {
        let got = Client::new(&self.clients())
            .await
            .call(b"GET /_health HTTP/1.1\r\n\r\n")
            .await;
        got.head.status == 200
    }
}

impl Process {
    /// Waits for a line of the log.
    async fn says(&self, what: &str) -> String {
        let start = Instant::now();
        loop {
            match self.log.try_recv() {
                Ok(line) if line.contains(what) => return line,
                Ok(_) => {}
                Err(_) => {
                    assert!(
                        start.elapsed() < Duration::from_secs(20),
                        "not in 20 s: {what}"
                    );
                    sleep(Duration::from_millis(5)).await;
                }
            }
        }
    }

    async fn call(&self, method: &str, target: &str) -> u16 {
        let text = format!("{method} {target} HTTP/1.1\r\n\r\n");
        Client::new(&self.admin)
            .await
            .call(text.as_bytes())
            .await
            .head
            .status
    }

    async fn ready(&self) {
        let start = Instant::now();
        while self.call("GET", "/ready").await != 200 {
            assert!(start.elapsed() < Duration::from_secs(20), "never ready");
            sleep(Duration::from_millis(10)).await;
        }
    }

    fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(
            Command::new("sh")
                .args(["-c", &kill])
                .status()
                .unwrap()
                .success()
        );
    }

    /// Waits for its end; its exit code.
    async fn ended(mut self) -> Option<i32> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(start.elapsed() < Duration::from_secs(20), "it goes on");
            sleep(Duration::from_millis(10)).await;
        }
    }
}

async fn two_servers() -> (Peer, Peer, String) {
    let (a, b) = (
        peer(|_, _, _| answer("a")).await,
        peer(|_, _, _| answer("b")).await,
    );
    let text = config_text(
        &[
            ("s-a", &a.address, "SERVING"),
            ("s-b", &b.address, "SERVING"),
        ],
        None,
    );
    (a, b, text)
}

#[tokio::test]
async fn a_new_process_takes_over_under_load_and_no_request_ends_at_the_door() {
    let (_, _, config) = two_servers().await;
    let platform = Platform::new(config);
    let old = platform.start().await;
    old.ready().await;
    let (stop, served) = (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default());
    let load: Vec<_> = (0..4)
        .map(|_| {
            let (at, stop, served) = (platform.clients(), stop.clone(), served.clone());
            tokio::spawn(async move {
                while !stop.load(Ordering::SeqCst) {
                    // a connection for each request: the door is what is tried
                    assert!(ask(&at, "batch-mark", 10_000).await.whole);
                    served.fetch_add(1, Ordering::SeqCst);
                }
            })
        })
        .collect();
    let new = platform.start().await;
    new.ready().await;
    old.says("the successor process has taken over").await;
    let before = served.load(Ordering::SeqCst);
    old.signal("TERM");
    assert_eq!(old.ended().await, Some(0));
    until("the new one serves", || {
        served.load(Ordering::SeqCst) > before + 50
    })
    .await;
    stop.store(true, Ordering::SeqCst);
    for client in load {
        client.await.unwrap();
    }
}

#[tokio::test]
async fn orders_hold_in_both_processes_and_over_the_upgrade() {
    let (a, _, config) = two_servers().await;
    let platform = Platform::new(config);
    let old = platform.start().await;
    old.ready().await;
    assert_eq!(
        old.call("POST", "/model-servers/disable?name=s-a").await,
        200
    );
    // a configuration read anew changes no order
    old.signal("HUP");
    old.says("SIGHUP").await;
    let new = platform.start().await;
    new.ready().await;
    // in the overlap each honours what is asked of the other
    assert_eq!(old.call("POST", "/drain").await, 200);
    for _ in 0..20 {
        assert!(!platform.healthy().await);
    }
    assert_eq!(new.call("POST", "/undrain").await, 200);
    for _ in 0..20 {
        assert!(platform.healthy().await);
    }
    assert_eq!(
        new.call("POST", "/model-servers/disable?name=s-b").await,
        200
    );
    assert_eq!(
        ask(&platform.clients(), "hint", 1000).await.head.status,
        503
    );
    assert_eq!(
        old.call("POST", "/model-servers/enable?name=s-b").await,
        200
    );
    old.signal("TERM");
    assert_eq!(old.ended().await, Some(0));
    for _ in 0..10 {
        ask(&platform.clients(), "hint", 1000).await;
    }
    assert_eq!(a.requests(), 0);
    // killed before it hands anything over: the file has it, drain included
    assert_eq!(new.call("POST", "/drain").await, 200);
    new.signal("KILL");
    new.ended().await;
    let third = platform.start().await;
    third.ready().await;
    assert!(!platform.healthy().await);
    assert_eq!(third.call("POST", "/undrain").await, 200);
    assert!(platform.healthy().await);
    for _ in 0..10 {
        ask(&platform.clients(), "hint", 1000).await;
    }
    assert_eq!(a.requests(), 0);
    assert_eq!(
        third.call("POST", "/model-servers/enable?name=s-a").await,
        200
    );
    timeout(Duration::from_secs(10), async {
        while a.requests() == 0 {
            ask(&platform.clients(), "hint", 1000).await;
        }
    })
    .await
    .expect("used again");
}

#[tokio::test]
async fn the_list_goes_over_with_what_the_old_process_was_told() {
    let (a, b, config) = two_servers().await;
    let hosts = [
        ("s-a", a.address.as_str(), "DRAINING"),
        ("s-b", b.address.as_str(), "SERVING"),
    ];
    let told = list(5, true, &hosts).to_string();
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{told}",
        told.len()
    );
    let discovery = peer(move |n, _, _| {
        if n == 0 {
            vec![Step::Write(text.clone())]
        } else {
            vec![Step::Hang]
        }
    })
    .await;
    let mut config: serde_json::Value = serde_json::from_str(&config).unwrap();
    config["discovery"] = discovery.address.clone().into();
    config["settings"]["discovery"] = "ask".into();
    let platform = Platform::new(config.to_string());
    let old = platform.start().await;
    old.ready().await;
    until("the watch goes on", || discovery.requests() == 2).await;
    // discovery is silent from now on: what the new process knows it has from the old one
    let new = platform.start().await;
    new.ready().await;
    until("the new process watches", || discovery.requests() == 3).await;
    assert!(
        discovery.seen.lock().unwrap()[2]
            .0
            .target
            .contains("after=5&")
    );
    old.signal("KILL");
    old.ended().await;
    let before = a.requests();
    for _ in 0..20 {
        assert!(ask(&platform.clients(), "hint", 1000).await.whole);
    }
    assert_eq!(a.requests(), before);
}

#[tokio::test]
async fn a_successor_that_dies_or_is_never_ready_leaves_the_old_process_whole() {
    let (_, _, config) = two_servers().await;
    let platform = Platform::new(config);
    let old = platform.start().await;
    old.ready().await;
    let first = platform.start().await;
    first.ready().await;
    first.signal("KILL");
    first.ended().await;
    old.says("has exited; this process goes on serving").await;
    // one that hangs before it says anything
    let silent = tokio::net::UnixStream::connect(platform.folder.path("stilespan.sock"))
        .await
        .unwrap();
    assert!(ask(&platform.clients(), "hint", 1000).await.whole);
    // two at once: the second meets whichever can serve by then
    let (second, third) = (platform.start().await, platform.start().await);
    second.ready().await;
    third.ready().await;
    drop(silent);
    assert_eq!(
        third.call("POST", "/model-servers/disable?name=s-a").await,
        200
    );
    for process in [old, second] {
        process.signal("TERM");
        assert_eq!(process.ended().await, Some(0));
    }
    assert!(ask(&platform.clients(), "hint", 1000).await.whole);
    third.signal("TERM");
    assert_eq!(third.ended().await, Some(0));
}

/// Both processes together stay within the limit, beside a crowd that takes all that it can get,
/// and the one left has the whole again.
#[tokio::test]
async fn two_processes_hold_no_more_descriptors_than_one_may() {
    const LIMIT: usize = 96;
    let (_, _, config) = two_servers().await;
    let mut config: serde_json::Value = serde_json::from_str(&config).unwrap();
    config["limits"]["sockets"] = LIMIT.into();
    let platform = Platform::new(config.to_string());
    let held = |process: &Process| {
        std::fs::read_dir(format!("/proc/{}/fd", process.child.id()))
            .map_or(0, |entries| entries.count())
    };
    let old = platform.start().await;
    old.ready().await;
    let mut crowd = Vec::new();
    for _ in 0..60 {
        crowd.push(Client::new(&platform.clients()).await);
    }
    let alone = held(&old);
    let new = platform.start().await;
    let mut most = 0;
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(1500) {
        crowd.push(Client::new(&platform.clients()).await);
        most = most.max(held(&old) + held(&new));
        sleep(Duration::from_millis(5)).await;
    }
    new.ready().await;
    assert!(most <= LIMIT, "{most} descriptors");
    assert!(ask(&platform.clients(), "hint", 1000).await.whole);
    old.signal("TERM");
    assert_eq!(old.ended().await, Some(0));
    // the share comes back whole: as many silent clients are held as before
    let start = Instant::now();
    while held(&new) + 4 < alone {
        assert!(
            start.elapsed() < Duration::from_secs(10),
            "{} of {alone}",
            held(&new)
        );
        crowd.push(Client::new(&platform.clients()).await);
        sleep(Duration::from_millis(5)).await;
    }
}

#[rstest]
#[case::cut_short("{\"version\":1,\"ord")]
#[case::another_version("{\"version\":99,\"orders\":{}}")]
#[tokio::test]
async fn a_file_that_cannot_be_read_is_named_and_passed_over(#[case] text: &str) {
    let (_, _, config) = two_servers().await;
    let platform = Platform::new(config);
    fs::write(platform.folder.path("stilespan.orders"), text).unwrap();
    // and a socket that nobody listens on any more
    drop(std::os::unix::net::UnixListener::bind(platform.folder.path("stilespan.sock")).unwrap());
    let process = platform.start().await;
    process.ready().await;
    assert!(ask(&platform.clients(), "hint", 1000).await.whole);
    assert_eq!(
        process
            .call("POST", "/model-servers/disable?name=s-a")
            .await,
        200
    );
    let kept = fs::read_to_string(platform.folder.path("stilespan.orders")).unwrap();
    assert!(kept.contains("s-a"), "{kept}");
}

#[tokio::test]
async fn an_order_that_cannot_be_kept_gets_a_no() {
    let (_, _, config) = two_servers().await;
    let platform = Platform::new(config);
    // a folder stands where the file has to
    fs::create_dir_all(platform.folder.path("stilespan.orders/x")).unwrap();
    let process = platform.start().await;
    process.ready().await;
    assert_eq!(
        process
            .call("POST", "/model-servers/disable?name=s-a")
            .await,
        503
    );
    assert!(ask(&platform.clients(), "hint", 1000).await.whole);
}

#[rstest]
#[case::no_number("seven", "no number")]
#[case::standard("1", "no number")]
#[case::closed("9", "not open")]
#[case::no_socket("8", "no socket")]
#[case::not_listening("7", "no listening")]
fn a_bad_descriptor_ends_the_start_with_a_plain_message(#[case] fd: &str, #[case] says: &str) {
    let platform = Platform::new(config_text(&[], None));
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut child = platform.command(socket.into(), fd).spawn().unwrap();
    let mut told = String::new();
    child
        .stderr
        .take()
        .unwrap()
        .read_to_string(&mut told)
        .unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(1), "{told}");
    assert!(
        told.starts_with("stilespan: GW_FD: ") && told.contains(says),
        "{told}"
    );
}
