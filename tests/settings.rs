//! Settings of another customer: any figure may be zero, below it, huge, of another kind or
//! missing. The configuration is refused with its file's name, or the router runs by it; nothing
//! panics (overflow is checked in tests).

mod common;

use std::path::Path;

use common::peers::config_text;
use common::{arrival, ended, entry, first, list};
use rstest::rstest;
use serde_json::{Value, json};
use stilespan::Balancer;
use stilespan::config::Config;
use stilespan::interface::{Arrival, EndpointListKind, Event, Outcome, Span, Timestamp};

/// The places of all values in a JSON value that hold no others.
fn leaves(value: &Value, at: String, all: &mut Vec<String>) {
    match value {
        Value::Object(map) => map
            .iter()
            .for_each(|(k, v)| leaves(v, format!("{at}/{k}"), all)),
        Value::Array(list) if !list.is_empty() => {
            list.iter()
                .enumerate()
                .for_each(|(k, v)| leaves(v, format!("{at}/{k}"), all));
        }
        _ => all.push(at),
    }
}

/// Serves a few requests by the settings, with the module alone.
fn serve(config: &Config) {
    let start = Timestamp::from_secs(1_700_000_000);
    let mut balancer = Balancer::new(config.settings.clone(), 7, start);
    let mut now = start;
    let classes = config.settings.classes.len() as u32;
    let steps: Vec<Vec<Event>> = vec![
        vec![list(
            EndpointListKind::Persisted,
            (0..3).map(entry).collect(),
        )],
        (0..9)
            .map(|n| {
                let class = n % (classes + 1);
                let valid_until = Timestamp::from_micros(start.as_micros() + 2_000_000);
                Event::RequestReceived(Arrival {
                    class,
                    expires_at: valid_until,
                    prompt_tokens: n * 100_000,
                    ..arrival(n)
                })
            })
            .collect(),
        (0..9)
            .map(|n| {
                if n % 2 == 0 {
                    first(n, 0, 30_000)
                } else {
                    ended(n, 0, Outcome::ConnectionReset, false)
                }
            })
            .collect(),
        vec![
            list(EndpointListKind::Error, Vec::new()),
            list(EndpointListKind::Partial, vec![entry(7)]),
        ],
        (0..9)
            .map(|n| ended(n, 0, Outcome::Completed, true))
            .collect(),
        Vec::new(),
    ];
    for events in steps {
        let mut actions = Vec::new();
        now = now + Span::from_millis(40);
        balancer.step(now, &events, &mut actions);
        assert!(actions.len() < 1000, "{} actions", actions.len());
    }
}

#[rstest]
#[case::zero(json!(0))]
#[case::below_zero(json!(-1))]
#[case::huge(json!(1e300))]
#[case::very_large(json!(u64::MAX))]
#[case::tiny(json!(1e-300))]
#[case::text(json!("1"))]
#[case::nothing(Value::Null)]
#[case::list(json!([]))]
#[case::truth(json!(true))]
fn no_setting_makes_the_router_panic(#[case] odd: Value) {
    let text = config_text(&[("s-a", "127.0.0.1:1", "SERVING")], Some("127.0.0.1:2"));
    let whole: Value = serde_json::from_str(&text).unwrap();
    let mut all = Vec::new();
    leaves(&whole, String::new(), &mut all);
    assert!(all.len() > 40);
    let mut served = 0;
    for at in all {
        let mut odd_one = whole.clone();
        *odd_one.pointer_mut(&at).unwrap() = odd.clone();
        match Config::parse(Path::new("odd.json"), &odd_one.to_string()) {
            Ok(config) => {
                served += 1;
                serve(&config);
            }
            Err(e) => assert!(e.to_string().starts_with("odd.json: "), "{at}: {e}"),
        }
    }
    assert!(served > 0);
}

/// Every part of the settings may be missing.
#[test]
fn no_missing_setting_makes_the_router_panic() {
    let text = config_text(&[("s-a", "127.0.0.1:1", "SERVING")], Some("127.0.0.1:2"));
    let whole: Value = serde_json::from_str(&text).unwrap();
    let mut all = Vec::new();
    leaves(&whole, String::new(), &mut all);
    for at in all {
        // the value itself, and all that holds it
        let mut path = at.as_str();
        while let Some((above, key)) = path.rsplit_once('/') {
            let mut odd_one = whole.clone();
            match odd_one.pointer_mut(above) {
                Some(Value::Object(map)) => drop(map.remove(key)),
                Some(Value::Array(list)) => drop(list.remove(key.parse().unwrap())),
                _ => {}
            }
            if let Ok(config) = Config::parse(Path::new("odd.json"), &odd_one.to_string()) {
                serve(&config);
            }
            path = above;
        }
    }
}
