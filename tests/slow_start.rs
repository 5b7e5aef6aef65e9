//! Slow start with many gateways, each of which decides on its own: what warming replicas get from
//! all of them together.

mod common;

use common::fleet::*;
use common::*;
use rstest::rstest;
use stilespan::interface::*;

fn warming(replica: u64) -> ReplicaEntry {
    entry(replica).with_started_at(START)
}

/// A hundred gateways with a request a second each: a warming replica gets its part of them at
/// once, though that is far less than one request of any single gateway, and though no gateway has
/// sent anything before. It gets no more than the rule allows: three tenths of a warm one's part,
/// and twice the margin.
#[test]
fn warming_replicas_get_their_part() {
    let mut entries: Vec<ReplicaEntry> = (0..30).map(entry).collect();
    entries.extend((30..40).map(warming));
    let mut fleet = Fleet::new(&slow_start_settings(), &entries);
    for _ in 0..3 {
        fleet.round(Span::from_secs(1));
    }
    // 100 requests a second over 40 replicas: a warm one's part is 2.5 a second, which is within
    // its capacity
    let to_warming = fleet.sent.iter().filter(|s| s.replica >= 30).count();
    assert!(
        to_warming >= 20,
        "{to_warming} of {} sends to ten warming replicas in 3 s",
        fleet.sent.len()
    );
    let rule = 4.0 * 0.5 * 2.5 * 1.5;
    let max = fleet.max_sends(Span::from_millis(1_500), |to| to >= 30);
    assert!(
        (max as f64) <= rule,
        "{max} sends to one warming replica in its window, {rule} allowed"
    );
}

/// While one process of a gateway replaces another, both are configured with one gateway and share
/// its clients: a warming replica gets no more from the two than from the one, and its rule holds
/// for their sum.
#[test]
fn two_processes_send_as_one_gateway() {
    let mut entries: Vec<ReplicaEntry> = (0..30).map(entry).collect();
    entries.extend((30..40).map(warming));
    let set = Settings {
        router_count: 1,
        ..slow_start_settings()
    };
    let sent_with = |processes: u64, seeds: u64| {
        let mut fleet = Fleet::new(&set, &entries);
        fleet.gateways.clear();
        for seed in seeds..seeds + processes {
            let gateway = Gateway::seeded(set.clone(), seed, entries.clone());
            fleet.gateways.push(gateway);
        }
        // a hundred requests a second in all, for three seconds
        for _ in 0..300 / processes {
            fleet.round(Span::from_micros(10_000 * processes));
        }
        let to_warming = fleet.sent.iter().filter(|s| s.replica >= 30).count();
        (
            to_warming,
            fleet.max_sends(Span::from_millis(1_500), |to| to >= 30),
        )
    };
    // over many draws, as chance makes a single one differ by a third. About half of the budget at
    // the initial capacity is sent; the complete budget and its tolerance for chance are never
    // exceeded
    let budget = 4.0 * 0.3 * 2.5 * 1.5;
    let sent = |processes| {
        let draws = (0..40).map(|n| sent_with(processes, 10 * n));
        draws.fold((0, 0, 0), |(sum, max, exceeded), (n, m)| {
            (
                sum + n,
                max.max(m),
                exceeded + usize::from(m as f64 > 4.0 * 0.5 * 2.5 * 1.5),
            )
        })
    };
    let (one, two) = (sent(1), sent(2));
    assert!(one.0 >= 40 * 20, "{one:?}");
    assert!(two.0 as f64 <= 1.2 * one.0 as f64, "{one:?} {two:?}");
    assert!(
        two.1 as f64 <= budget + 2.0 * f64::sqrt(budget) + 2.0 && two.2 <= 10,
        "{one:?} {two:?}"
    );
}

/// A fleet that is warming up completely, and one with a single warm replica, with gateways that
/// have sent nothing: together they stay within the rule, and each request is sent or rejected, at
/// once where there is no warm replica to wait for.
#[rstest]
#[case::all_warming(0)]
#[case::one_warm(1)]
fn warming_fleet_gets_no_burst(#[case] warm: u64) {
    let entries: Vec<ReplicaEntry> = (0..10)
        .map(|k| if k < warm { entry(k) } else { warming(k) })
        .collect();
    let mut fleet = Fleet::new(&slow_start_settings(), &entries);
    // each gateway has a request within a tenth of a second
    fleet.round(Span::from_millis(100));
    let rule = 4.0 * 0.3 * 10.0;
    let max = fleet.max_sends(Span::from_millis(1_500), |to| to >= warm);
    assert!(
        (max as f64) <= rule,
        "{max} sends to one warming replica, {rule} allowed"
    );
    assert!(fleet.sent.len() >= 30, "{} sends", fleet.sent.len());
    if warm == 0 {
        // a request without a slow-start slot is answered at once, not at its deadline
        assert_eq!(fleet.sent.len() + fleet.rejected, GATEWAYS as usize);
    }
    for _ in 0..4 {
        for k in 0..fleet.gateways.len() {
            let now = fleet.gateways[k].now + Span::from_millis(500);
            fleet.step(k, now, vec![Event::TimerFired { timer_id: 0 }]);
        }
    }
    assert_eq!(fleet.sent.len() + fleet.rejected, GATEWAYS as usize);
}
