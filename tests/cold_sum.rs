//! Servers in slow start, and the calls that all processes together send them.
//!
//! The rule allows a server N calls in its window, N being the settings' multiple of what it can do
//! then, and for chance 2 x root of N + 2 more (under 30 calls 3 x root of N + 3). Each call is
//! drawn on its own, so the calls in a window are a sum of independent draws. This test holds both
//! ends of that: the mean is at most 0.6 of N, and no window of any play is over the bound. With a
//! mean of 0.6 N a window is over the bound three times in a million at the most, for every N (the
//! tail of a Poisson sum). A margin twice as wide fails by its mean.

mod common;

use common::fleet::*;
use common::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use stilespan::interface::*;

/// Servers that run, and servers that have just started.
const WARM: u64 = 30;
const COLD: u64 = 10;
/// How long a play lasts, in seconds.
const LENGTH: f64 = 3.0;
/// Plays of a case.
const PLAYS: u64 = 4;
/// The time in which first tokens are wanted.
const AIM: Span = Span::from_secs(20);
/// The longest prompt, in tokens.
const LONGEST: f64 = 20_000.0;

/// How requests come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Traffic {
    /// Each process has as many as any.
    Even,
    /// A tenth of the processes has seven in ten.
    Uneven,
    /// Even, and few prompts hold most of the work (Pareto, exponent 1.2).
    HeavyTailed,
}

impl Traffic {
    /// The process at which the next request comes, and its prompt's length.
    fn draw(self, rng: &mut StdRng, processes: u32) -> (usize, u32) {
        let few = (processes / 10).max(1);
        let among = if self == Traffic::Uneven && rng.random_bool(0.7) {
            few
        } else {
            processes
        };
        let tail = 100.0 * (1.0 - rng.random::<f64>()).powf(-1.0 / 1.2);
        let prompt = if self == Traffic::HeavyTailed {
            tail.min(LONGEST) as u32
        } else {
            500
        };
        (rng.random_range(0..among) as usize, prompt)
    }
}

/// How servers start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ramp {
    /// At three tenths, and warm in 9 s: the rule allows more than a server's part of the calls.
    Usual,
    /// At a tenth, and warm in a minute: the rule allows less than that, so the margin decides.
    Long,
}

impl Ramp {
    fn settings(self, instances: u32) -> Settings {
        let mut set = Settings {
            router_count: instances,
            ..rules()
        };
        // long enough for a first token of the slowest server: nothing but the draws keeps calls
        // off it
        set.classes[0].first_token_objective = AIM;
        match self {
            Ramp::Usual => set,
            Ramp::Long => Settings {
                slow_start_floor: 0.1,
                slow_start_duration: Span::from_secs(60),
                ..set
            },
        }
    }

    /// Requests a second, so many that a play tells the mean.
    fn rate(self) -> u64 {
        match self {
            Ramp::Usual => 100,
            Ramp::Long => 400,
        }
    }
}

/// Calls that the rule allows a server in a window, chance aside, at this part of a warm one's
/// capacity; `due` is a warm one's part of the calls a second.
fn allowed(set: &Settings, due: f64, capacity: f64) -> f64 {
    set.overload_factor * capacity * due * set.overload_window.as_secs_f64()
}

/// What the rule puts down to chance.
fn chance(calls: f64) -> f64 {
    if calls < 30.0 {
        3.0 * calls.sqrt() + 3.0
    } else {
        2.0 * calls.sqrt() + 2.0
    }
}

/// What a server in slow start can do so long after its start, as a part of the whole: a straight
/// line.
fn capacity(set: &Settings, since: f64) -> f64 {
    set.slow_start_floor
        + (1.0 - set.slow_start_floor) * since / set.slow_start_duration.as_secs_f64()
}

/// The windows in which a server in slow start got more calls than it may, each with what it got
/// and what it may.
fn over(set: &Settings, due: f64, sent: &[(Timestamp, usize, u64)]) -> Vec<(usize, f64)> {
    let calls_in = |at: Timestamp, to: u64| {
        sent.iter()
            .filter(|call| call.2 == to && call.0 >= at && call.0 - at <= set.overload_window)
            .count()
    };
    let windows = sent.iter().map(|&(at, _, to)| {
        let may = allowed(set, due, capacity(set, (at - START).as_secs_f64()));
        (calls_in(at, to), may + chance(may))
    });
    windows.filter(|(got, may)| *got as f64 > *may).collect()
}

/// A play: the calls to servers in slow start.
fn play(set: &Settings, traffic: Traffic, rate: u64, seed: u64) -> Vec<(Timestamp, usize, u64)> {
    let entries: Vec<ReplicaEntry> = (0..WARM + COLD)
        .map(|k| {
            if k < WARM {
                entry(k)
            } else {
                ReplicaEntry {
                    started_at: START,
                    ..entry(k)
                }
            }
        })
        .collect();
    let mut fleet = Fleet::seeded(set, &entries, seed * 1000);
    let mut rng = StdRng::seed_from_u64(seed);
    for n in 0..(LENGTH * rate as f64) as u64 {
        let now = START + Span::from_micros(1_000_000 * n / rate);
        let (process, prompt) = traffic.draw(&mut rng, set.router_count);
        fleet.settle(now);
        fleet.next += 1;
        let ask = Arrival {
            expires_at: now + AIM,
            prompt_tokens: prompt,
            ..arrival(fleet.next)
        };
        fleet.act(process, now, vec![Event::RequestReceived(ask)]);
        if n % (rate / 20) == 0 {
            (0..fleet.gateways.len())
                .for_each(|k| fleet.act(k, now, vec![Event::TimerFired { timer_id: 0 }]));
        }
    }
    fleet.sent.retain(|call| call.2 >= WARM);
    fleet.sent
}

#[rstest]
fn the_sum_of_all_processes_keeps_the_rule_of_a_server_in_slow_start(
    #[values(1, 3, 20, 30, 100, 300)] processes: u32,
    #[values(Traffic::Even, Traffic::Uneven, Traffic::HeavyTailed)] traffic: Traffic,
    #[values(Ramp::Usual, Ramp::Long)] ramp: Ramp,
    #[values(1, 4)] busy: u64,
) {
    let set = ramp.settings(processes);
    let rate = busy * ramp.rate();
    let due = rate as f64 / (WARM + COLD) as f64;
    let in_all = COLD as f64 * allowed(&set, due, capacity(&set, LENGTH / 2.0)) * LENGTH
        / set.overload_window.as_secs_f64();
    let mut calls = 0;
    for seed in 1..=PLAYS {
        let sent = play(&set, traffic, rate, seed);
        assert_eq!(
            over(&set, due, &sent),
            [],
            "calls in a window, and how many it may have"
        );
        calls += sent.len();
    }
    let mean = calls as f64 / (in_all * PLAYS as f64);
    assert!(
        (0.2..=0.6).contains(&mean),
        "{calls} calls, {mean:.2} of what the rule allows on the mean"
    );
}
