//! Case 7: the inventory file is caught half-written.

use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use stand_ins_2::router::replace_file;
use stand_ins_2::{Case, Launch, Load, ModelServer, Platform, Verdict};

/// How long the tool takes between the two parts of the file.
const PAUSE: Duration = Duration::from_millis(1200);
/// The hosts of the inventory, and the bystander: a server at an address that no version of the
/// inventory names.
const HOSTS: [(&str, &str); 3] = [
    ("card-1", "127.0.0.11"),
    ("card-2", "127.0.0.12"),
    ("card-3", "127.0.0.131"),
];
const BYSTANDER: (&str, &str) = ("bystander", "127.0.0.13");

fn main() {
    Case::open().run(run);
}

/// Starts servers at these hosts, all on one free port.
fn servers_on_one_port(
    case: &Case,
    hosts: &[(&str, &str)],
) -> Result<(u16, Vec<ModelServer>), String> {
    let mut problem = String::new();
    for _ in 0..20 {
        let mut port = 0;
        let mut started = Vec::new();
        for (name, host) in hosts {
            match ModelServer::start(case, name, &format!("{host}:{port}"), 3) {
                Ok(server) => {
                    port = server.address.port();
                    started.push(server);
                }
                Err(error) => problem = error,
            }
        }
        if started.len() == hosts.len() {
            return Ok((port, started));
        }
    }
    Err(problem)
}

fn run(case: &Case) -> Result<Verdict, String> {
    let hosts: Vec<_> = HOSTS.into_iter().chain([BYSTANDER]).collect();
    let (port, servers) = servers_on_one_port(case, &hosts)?;
    let bystander = &servers[HOSTS.len()];
    let row = |(name, host): (&str, &str)| format!("{name},cleveland,{port},{host}\n");
    let header = "name,zone,port,address\n";
    let before = header.to_string() + &row(HOSTS[0]) + &row(HOSTS[1]);
    let after = before.clone() + &row(HOSTS[2]);

    let mut platform = Platform::new(case, "half-written-inventory")?;
    let path = platform.path("fleet.csv");
    replace_file(&path, &before)?;
    let launch = Launch {
        arguments: format!("--inventory {}", path.display()),
        ..Launch::default()
    };
    let mut router = platform.start(&launch)?;
    router.wait_ready(Duration::from_secs(10))?;
    let load = Load::start(case, platform.address, 8, Duration::from_millis(10));
    sleep(Duration::from_secs(2));
    for round in 1..=3 {
        case.note(&format!(
            "tool: writes the file with {} (round {round})",
            HOSTS[2].0
        ));
        if case.trouble {
            // the cut is two bytes ahead of the end: within the last row's address
            write_in_two_parts(&path, &after, after.len() - 2)?;
        } else {
            replace_file(&path, &after)?;
            sleep(PAUSE);
        }
        case.note("tool: the file is whole");
        sleep(Duration::from_secs(2));
        replace_file(&path, &before)?;
        case.note("tool: the file is the first one again");
        sleep(Duration::from_secs(2));
    }
    let answers = load.end();
    case.say(&format!("clients' answers by status: {answers:?}"));
    for server in &servers {
        case.say(&format!(
            "server {} at {}: {} requests",
            server.name,
            server.address,
            server.seen().len()
        ));
    }
    router.signal("TERM");
    router.wait_end(Duration::from_millis(3700));
    let foreign = bystander.seen();
    if let Some(first) = foreign.first() {
        case.note(&format!(
            "the first request at the bystander: {} {}",
            first.id, first.body
        ));
    }
    Ok(if foreign.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

/// Writes a file in place, in two parts with a pause between them.
fn write_in_two_parts(path: &Path, text: &str, cut: usize) -> Result<(), String> {
    let write = || -> std::io::Result<()> {
        let mut file = OpenOptions::new().write(true).truncate(true).open(path)?;
        file.write_all(&text.as_bytes()[..cut])?;
        let paused = Instant::now();
        sleep(PAUSE.saturating_sub(paused.elapsed()));
        file.write_all(&text.as_bytes()[cut..])
    };
    write().map_err(|e| format!("{}: {e}", path.display()))
}
