//! Case 6: a process that took a list over from its predecessor hands an older one on.

use std::thread::sleep;
use std::time::{Duration, Instant};

use stand_ins_2::case::wait_until;
use stand_ins_2::{Case, Discovery, Launch, Load, Member, ModelServer, Phase, Platform, Verdict};

/// Model servers.
const SERVERS: usize = 5;
/// How long after the new process's first call has failed the first model server begins to drain.
const DRAIN_AFTER_CALL: Duration = Duration::from_millis(60);
/// News counts as told 2 s after the yes; then the rule's grace, its 50 ms, and a little more.
const TOLD_AFTER_YES: Duration = Duration::from_millis(2700);
/// For how long requests are watched after that, at the longest: a server that turns a request away
/// is left alone for some seconds.
const WATCHED: Duration = Duration::from_secs(45);

fn main() {
    Case::open().run(run);
}

fn run(case: &Case) -> Result<Verdict, String> {
    let mut servers = Vec::new();
    let mut members = Vec::new();
    for number in 0..SERVERS {
        let id = format!("s-{number:08x}");
        let server = ModelServer::start(case, &id, "127.0.0.1:0", 10)?;
        members.push(Member {
            id,
            address: server.address,
            phase: Phase::Serving,
            cell: number as u32 / 4,
        });
        servers.push(server);
    }
    let discovery = Discovery::start(case, members)?;
    let mut platform = Platform::new(case, "stale-list")?;
    platform.discovery = Some(discovery.address);
    platform.known = Some(discovery.list());
    let launch = Launch {
        inherit: true,
        ..Launch::default()
    };
    let mut first = platform.start(&launch)?;
    first.wait_ready(Duration::from_secs(10))?;
    let load = Load::start_with_long(case, platform.address, 28, 6, Duration::from_millis(5));
    if !wait_until(Duration::from_secs(10), || discovery.watches() > 0) {
        return Err("the router does not watch".into());
    }
    sleep(Duration::from_secs(1));

    // the first replacement, while discovery is crowded: the new process's first call is turned away.
    // The old process still streams long answers then.
    if case.trouble {
        discovery.turn_away_new_callers(1);
    }
    let mut second = platform.start(&launch)?;
    second.wait_ready(Duration::from_secs(6))?;
    first.signal("TERM");
    if case.trouble {
        if !wait_until(Duration::from_secs(3), || {
            discovery.turned_away_at().is_some()
        }) {
            return Err("the new process made no call".into());
        }
        sleep(DRAIN_AFTER_CALL);
    } else {
        sleep(Duration::from_secs(1));
    }
    servers[0].set_draining();
    discovery.set_phase(&servers[0].name, Phase::Draining);
    first.wait_end(Duration::from_millis(3700));
    sleep(Duration::from_secs(3));
    // the roll goes on
    servers[1].set_draining();
    let last_change = discovery.set_phase(&servers[1].name, Phase::Draining);
    sleep(Duration::from_secs(2));

    // the second replacement
    let mut third = platform.start(&launch)?;
    let yes = third.wait_ready(Duration::from_secs(6))?;
    second.signal("TERM");
    second.wait_end(Duration::from_millis(3700));
    let told = yes + TOLD_AFTER_YES;
    sleep(told.saturating_duration_since(Instant::now()));
    let seen_late = || {
        servers[..2]
            .iter()
            .any(|s| !s.seen_between(told, Instant::now()).is_empty())
    };
    wait_until(WATCHED, seen_late);
    let end = Instant::now();
    let mut late = 0;
    for server in &servers[..2] {
        let seen = server.seen_between(told, end);
        case.say(&format!(
            "server {} drains; requests that came to it over {TOLD_AFTER_YES:?} after the last yes: {}",
            server.name,
            seen.len()
        ));
        late += seen.len();
    }
    case.note(&format!(
        "the last change was {:?} ahead of the yes",
        yes - last_change
    ));
    let answers = load.end();
    case.say(&format!("clients' answers by status: {answers:?}"));
    third.signal("TERM");
    third.wait_end(Duration::from_millis(3700));
    Ok(if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
