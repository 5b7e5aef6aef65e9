//! Case 9: the id of an open request comes again at the other process of a replacement.

use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use stand_ins_2::case::wait_until;
use stand_ins_2::client::{LONG_ANSWER_TOKENS, ask_as};
use stand_ins_2::{Case, Discovery, Launch, Load, Member, ModelServer, Phase, Platform, Verdict};

/// Model servers.
const SERVERS: usize = 6;
/// Requests that are open across the replacement.
const OPEN: usize = 5;

fn main() {
    Case::open().run(run);
}

fn run(case: &Case) -> Result<Verdict, String> {
    let mut servers = Vec::new();
    let mut members = Vec::new();
    for number in 0..SERVERS {
        let id = format!("s-{number:08x}");
        let server = ModelServer::start(case, &id, "127.0.0.1:0", 5)?;
        members.push(Member {
            id,
            address: server.address,
            phase: Phase::Serving,
            cell: number as u32 / 4,
        });
        servers.push(server);
    }
    let discovery = Discovery::start(case, members)?;
    let mut platform = Platform::new(case, "id-at-the-other-process")?;
    platform.discovery = Some(discovery.address);
    platform.known = Some(discovery.list());
    let launch = Launch {
        inherit: true,
        ..Launch::default()
    };
    let mut old = platform.start(&launch)?;
    old.wait_ready(Duration::from_secs(10))?;
    let load = Load::start(case, platform.address, 4, Duration::from_millis(10));
    sleep(Duration::from_secs(2));

    let mut broken = 0;
    for round in 1..=3 {
        let ids: Vec<String> = (0..OPEN).map(|k| format!("open-{round}-{k}")).collect();
        let address = platform.address;
        // teachers, whose answers take 2.5 s
        let teachers: Vec<_> = ids
            .iter()
            .map(|id| {
                let (case, id) = (case.clone(), id.clone());
                thread::spawn(move || ask_as(&case, address, &id, "batch-mark", LONG_ANSWER_TOKENS))
            })
            .collect();
        let seen = |id: &str| -> Vec<Instant> {
            let all = servers.iter().flat_map(ModelServer::seen);
            let mut at: Vec<Instant> = all.filter(|s| s.id == id).map(|s| s.at).collect();
            at.sort();
            at
        };
        if !wait_until(Duration::from_secs(2), || {
            ids.iter().all(|id| !seen(id).is_empty())
        }) {
            return Err("not all requests have reached a model server".into());
        }
        if case.trouble {
            let mut new = platform.start(&launch)?;
            new.wait_ready(Duration::from_secs(6))?;
            old.signal("TERM");
            sleep(Duration::from_millis(100));
            let previous = std::mem::replace(&mut old, new);
            broken += copies(case, &ids, address);
            finish(previous);
        } else {
            broken += copies(case, &ids, address);
        }
        for teacher in teachers {
            let _ = teacher.join();
        }
        for id in &ids {
            let at = seen(id);
            if at.len() > 1 {
                let apart = at[at.len() - 1] - at[0];
                case.say(&format!(
                    "request {id} ran {} times, {apart:?} apart",
                    at.len()
                ));
            }
        }
    }
    let answers = load.end();
    case.say(&format!("clients' answers by status: {answers:?}"));
    case.say(&format!(
        "copies of open requests that were served (200): {broken} of {}",
        3 * OPEN
    ));
    old.signal("TERM");
    old.wait_end(Duration::from_millis(3700));
    Ok(if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// A bad client sends the ids of others' open requests; returns how many were served.
fn copies(case: &Case, ids: &[String], address: std::net::SocketAddr) -> usize {
    let served = ids.iter().filter(|id| {
        case.note(&format!("bad client: sends {id}, which is open"));
        ask_as(case, address, id, "hint", 40) == 200
    });
    served.count()
}

fn finish(mut router: stand_ins_2::Router) {
    router.wait_end(Duration::from_millis(3700));
}
