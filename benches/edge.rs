//! The edge under load, as ratios in one run: `cargo bench --bench edge`. Results:
//! docs/measurements/edge.md. Loopback only, bounded in requests and time.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;
use standins::{ModelServer, Spec, Tally};
use stilespan::identity;
use stilespan::net::http::{Buffer, read_response};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

struct Router(Child, PathBuf, String);

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        let _ = std::fs::remove_dir_all(&self.1);
    }
}

const NODES: [&str; 5] = ["d", "d/a", "d/b", "d/a/c", "d/a/c/p"];

fn key(node: &str) -> String {
    identity::format_key(&node.replace('/', "_"), &[3; 32])
}

/// Starts the router with budgets at nodes of these depths, and a share of so many requests a
/// second for its schools.
fn router(servers: &[ModelServer], depths: &[usize], share: Option<f64>) -> Router {
    static NEXT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    let n = NEXT.fetch_add(1, Ordering::SeqCst);
    let folder = std::env::temp_dir().join(format!("stilespan-bench-{}-{n}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut edge = String::from("keys = \"keys.toml\"\n");
    if let Some(share) = share {
        edge.push_str(&format!(
            "[fairness]\nrequests_per_s = {share:.1}\nover_share_worth = 0.1\n"
        ));
    }
    edge.push_str(
        "[[model]]\nname = \"hint\"\nwindow = 4000\nmax_answer = 100\nclass = \"hint\"\n",
    );
    let mut keys = String::new();
    for node in NODES {
        edge.push_str(&format!("[[node]]\npath = \"{node}\"\n"));
        if depths.contains(&node.split('/').count()) {
            edge.push_str("budgets = [{ per = \"day\", tokens = 1_000_000_000 }]\n");
        }
        let text = key(node);
        let (id, secret) = identity::split_key(&text).unwrap();
        let hash = identity::format_hash(&identity::hash_secret(secret));
        keys.push_str(&format!(
            "[[key]]\nid = \"{id}\"\nnode = \"{node}\"\nhash = \"{hash}\"\n"
        ));
    }
    let rows: String = servers
        .iter()
        .enumerate()
        .map(|(k, s)| format!("s{k},{}\n", s.address))
        .collect();
    let batch = format!(
        "listen = \"127.0.0.1:0\"\nspool = {:?}\ninventory = \"hosts.csv\"\n",
        folder.join("spool")
    );
    for (name, text) in [
        ("edge.toml", edge),
        ("keys.toml", keys),
        ("hosts.csv", format!("name,address\n{rows}")),
        ("batch.toml", batch),
    ] {
        std::fs::write(folder.join(name), text).unwrap();
    }
    let mut child = Command::new(env!("CARGO_BIN_EXE_stilespan"))
        .args(["serve", "--batch"])
        .arg(folder.join("batch.toml"))
        .arg("--edge")
        .arg(folder.join("edge.toml"))
        .env_remove("GW_CONFIG")
        .env("RUST_LOG", "info")
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let at = lines
        .find_map(|l| {
            l.unwrap()
                .split_once("batch front on ")
                .map(|(_, at)| at.to_string())
        })
        .unwrap();
    std::thread::spawn(move || lines.for_each(drop));
    std::thread::sleep(Duration::from_millis(400));
    Router(child, folder, at)
}

async fn ask(stream: &mut TcpStream, buffer: &mut Buffer, text: &str) -> u16 {
    stream.write_all(text.as_bytes()).await.unwrap();
    read_response(buffer, stream, 1 << 20)
        .await
        .unwrap()
        .0
        .status
}

fn chat(node: &str) -> String {
    let body = json!({"model": "hint", "max_tokens": 10, "messages": [{"role": "user", "content": "x".repeat(200)}]});
    let body = body.to_string();
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer {}\r\nContent-Length: {}\r\n\r\n{body}",
        key(node),
        body.len()
    )
}

/// So many connections ask so often each; times of those served, sorted, in ms, how many were not,
/// and the whole time.
async fn load(
    at: &str,
    node: &str,
    connections: usize,
    each: usize,
    pause: Duration,
) -> (Vec<f64>, usize, f64) {
    let begun = Instant::now();
    let text = chat(node);
    let one = || async {
        let (mut times, mut declined) = (Vec::new(), 0);
        let mut stream = TcpStream::connect(at).await.unwrap();
        let _ = stream.set_nodelay(true);
        let mut buffer = Buffer::default();
        for _ in 0..each {
            let start = Instant::now();
            match ask(&mut stream, &mut buffer, &text).await {
                200 => times.push(start.elapsed().as_secs_f64() * 1e3),
                _ => declined += 1,
            }
            tokio::time::sleep(pause).await;
        }
        (times, declined)
    };
    let all = futures_util::future::join_all((0..connections).map(|_| one())).await;
    let mut times: Vec<f64> = all.iter().flat_map(|a| a.0.iter().copied()).collect();
    times.sort_by(f64::total_cmp);
    (
        times,
        all.iter().map(|a| a.1).sum(),
        begun.elapsed().as_secs_f64(),
    )
}

fn part(times: &[f64], part: f64) -> f64 {
    times
        .get(((times.len() as f64 * part) as usize).min(times.len().saturating_sub(1)))
        .copied()
        .unwrap_or(f64::NAN)
}

/// Asks until it is told to stop, each time a little later.
async fn until(
    stop: &AtomicBool,
    at: &str,
    text: impl Fn(usize) -> String,
    connections: usize,
    pause: Duration,
) -> usize {
    let one = |c: usize| {
        let text = &text;
        async move {
            let mut stream = TcpStream::connect(at).await.unwrap();
            let mut buffer = Buffer::default();
            let mut n = 0;
            while !stop.load(Ordering::Relaxed) && n < 200_000 {
                ask(&mut stream, &mut buffer, &text(c * 1_000_000 + n)).await;
                n += 1;
                if !pause.is_zero() {
                    tokio::time::sleep(pause).await;
                }
            }
            n
        }
    };
    futures_util::future::join_all((0..connections).map(one))
        .await
        .iter()
        .sum()
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let spec = |slots, first| Spec {
        models: vec!["hint".into()],
        slots,
        first,
        ..Spec::default()
    };
    let mut quick = Vec::new();
    for _ in 0..4 {
        quick.push(
            ModelServer::start(spec(256, Duration::ZERO), Tally::default())
                .await
                .unwrap(),
        );
    }
    println!(
        "| budget levels | requests a second, beside none | p99, beside none |\n| --- | --- | --- |"
    );
    let mut sums = [(0.0, 0.0); 3];
    let ways: [&[usize]; 3] = [&[], &[3], &[1, 2, 3, 4]];
    for _ in 0..3 {
        for (depths, sum) in ways.iter().zip(&mut sums) {
            let router = router(&quick, depths, None);
            load(&router.2, "d/a/c/p", 16, 30, Duration::ZERO).await;
            let (times, declined, took) = load(&router.2, "d/a/c/p", 16, 150, Duration::ZERO).await;
            assert!(declined * 20 < times.len(), "{declined} declined");
            (sum.0, sum.1) = (
                sum.0 + times.len() as f64 / took,
                sum.1 + part(&times, 0.99),
            );
        }
    }
    for (depths, sum) in ways.iter().zip(&sums) {
        println!(
            "| {} | {:.2} | {:.2} |",
            depths.len(),
            sum.0 / sums[0].0,
            sum.1 / sums[0].1
        );
    }

    println!(
        "\n| beside live requests | p50 ms | p99 ms | not served |\n| --- | --- | --- | --- |"
    );
    let router_ = router(&quick, &[3], None);
    for flood in [false, true] {
        let stop = AtomicBool::new(false);
        let wrong = |k: usize| {
            format!("GET /v1/models HTTP/1.1\r\nAuthorization: Bearer sk-k{k}-wrong{k}\r\n\r\n")
        };
        let connections = if flood { 16 } else { 0 };
        let begun = Instant::now();
        let live = async {
            let got = load(&router_.2, "d/a/c", 4, 300, Duration::from_millis(5)).await;
            stop.store(true, Ordering::Relaxed);
            got
        };
        let ((times, declined, _), n) = tokio::join!(
            live,
            until(&stop, &router_.2, wrong, connections, Duration::ZERO)
        );
        let rate = n as f64 / begun.elapsed().as_secs_f64();
        println!(
            "| {rate:.0} wrong keys a second | {:.1} | {:.1} | {declined} |",
            part(&times, 0.5),
            part(&times, 0.99)
        );
    }
    drop(router_);

    println!(
        "\n| school a asks 40 a second, b | shares | a: p50 ms | a: p99 ms | a: not served of 240 |\n| --- | --- | --- | --- | --- |"
    );
    let narrow = [
        ModelServer::start(spec(6, Duration::from_millis(40)), Tally::default())
            .await
            .unwrap(),
    ];
    for (flood, share) in [(false, None), (true, None), (true, Some(120.0))] {
        let router = router(&narrow, &[3], share);
        let stop = AtomicBool::new(false);
        let live = async {
            let got = load(&router.2, "d/a/c", 4, 60, Duration::from_millis(60)).await;
            stop.store(true, Ordering::Relaxed);
            got
        };
        let text = |_| chat("d/b");
        let connections = if flood { 60 } else { 0 };
        let ((times, declined, _), _) = tokio::join!(
            live,
            until(
                &stop,
                &router.2,
                text,
                connections,
                Duration::from_millis(20)
            )
        );
        let what = if flood {
            "all that 60 connections can"
        } else {
            "nothing"
        };
        let shares = if share.is_some() { "on" } else { "off" };
        println!(
            "| {what} | {shares} | {:.0} | {:.0} | {declined} |",
            part(&times, 0.5),
            part(&times, 0.99)
        );
    }
}
