//! Case 10: an operator takes a model server out while the router's process is being replaced.

use std::net::{Ipv4Addr, SocketAddr};
use std::thread::sleep;
use std::time::{Duration, Instant};

use stand_ins_2::{Case, Discovery, Launch, Load, Member, ModelServer, Phase, Platform, Verdict};

/// Model servers in service.
const SERVING: usize = 40;
/// All model servers: the largest fleet that the page names. The others drain.
const FLEET: usize = 3200;
/// How often the process is replaced.
const REPLACEMENTS: usize = 4;
/// For how long the new process gets no processor; the page allows for 0.15 s.
const HELD_UP: Duration = Duration::from_millis(120);
/// The rule's grace (`drain-grace`), its 50 ms, and as much again for a slow machine.
const GRACE: Duration = Duration::from_millis(1100);
/// For how long requests are watched after that.
const WATCHED: Duration = Duration::from_secs(4);

fn main() {
    Case::open().run(run);
}

fn run(case: &Case) -> Result<Verdict, String> {
    let mut servers = Vec::new();
    let mut members = Vec::new();
    for number in 0..FLEET {
        let id = format!("s-{number:08x}");
        let (address, phase) = if number < SERVING {
            let server = ModelServer::start(case, &id, "127.0.0.1:0", 3)?;
            let address = server.address;
            servers.push(server);
            (address, Phase::Serving)
        } else {
            let [high, low] = (number as u16).to_be_bytes();
            let host = Ipv4Addr::new(127, 9, high, low);
            (SocketAddr::from((host, 9000)), Phase::Draining)
        };
        members.push(Member {
            id,
            address,
            phase,
            cell: number as u32 / 4,
        });
    }
    let discovery = Discovery::start(case, members)?;
    let mut platform = Platform::new(case, "ban-in-replacement")?;
    platform.discovery = Some(discovery.address);
    platform.known = Some(discovery.list());
    let launch = Launch {
        inherit: true,
        ..Launch::default()
    };
    let mut old = platform.start(&launch)?;
    old.wait_ready(Duration::from_secs(10))?;
    let load = Load::start(case, platform.address, 6, Duration::from_millis(10));
    sleep(Duration::from_secs(3));
    let mut confirmed = 0;
    let mut broken = 0;
    for server in servers.iter().take(REPLACEMENTS) {
        let disable = format!("/model-servers/disable?name={}", server.name);
        let mut banned_at = None;
        if !case.trouble && old.operate("POST", &disable)?.status == 200 {
            banned_at = Some(Instant::now());
        }
        let mut new = platform.start(&launch)?;
        if case.trouble {
            let connected = "a successor process has connected";
            if !old.wait_for_log(connected, Duration::from_secs(6)) {
                return Err("the new process has not connected to the old one".into());
            }
            new.signal("STOP");
            let stopped_at = Instant::now();
            if old.operate("POST", &disable)?.status == 200 {
                banned_at = Some(Instant::now());
            }
            sleep(HELD_UP.saturating_sub(stopped_at.elapsed()));
            new.signal("CONT");
        }
        new.wait_ready(Duration::from_secs(6))?;
        old.signal("TERM");
        old.wait_end(Duration::from_millis(3700));
        if let Some(banned_at) = banned_at {
            confirmed += 1;
            sleep(GRACE + WATCHED);
            let late = server.seen_between(banned_at + GRACE, Instant::now());
            case.say(&format!(
                "server {} was taken out (200); requests that came to it over {:?} later: {}",
                server.name,
                GRACE,
                late.len()
            ));
            broken += usize::from(!late.is_empty());
        } else {
            case.say(&format!(
                "server {} was not taken out: the call was not a yes",
                server.name
            ));
        }
        new.operate(
            "POST",
            &format!("/model-servers/enable?name={}", server.name),
        )?;
        sleep(Duration::from_millis(300));
        old = new;
    }
    let answers = load.end();
    case.say(&format!("clients' answers by status: {answers:?}"));
    old.signal("TERM");
    old.wait_end(Duration::from_millis(3700));
    if confirmed == 0 {
        return Err("no call was a yes".into());
    }
    Ok(if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
