use proptest::prelude::*;

use super::*;

/// A discovery's own time-out: a poll at one that is late fails so long after it was made.
const POLL_TIMEOUT: Span = Span::from_secs(1);
/// A change counts as notified so long after discovery can be reached.
const NOTIFICATION_BOUND: Span = Span::from_secs(6);

fn timer(instances: u32, must_ask_in: u64, draw: f64) -> ListPollTimer {
    let set = Settings {
        endpoints_on_request: true,
        router_count: instances,
        staleness_bound: Span::from_micros(must_ask_in),
        ..Settings::default()
    };
    ListPollTimer::new(&set, draw, Timestamp::ZERO)
}

proptest! {
    /// However many polls have failed, and however discovery fails the next one too once it can be
    /// reached again, the whole list is had within 6 s of that moment, in a fleet of any size.
    #[test]
    fn list_arrives_after_any_failures(
        instances in 1u32..2_000,
        must_ask_in in 500_000u64..60_000_000,
        draws in prop::collection::vec(0.0f64..1.0, 2..60),
        back_in in 0u64..60_000_000,
        last_fails in any::<bool>(),
    ) {
        let (mut timer, mut now, back) = (timer(instances, must_ask_in, draws[0]), Timestamp::ZERO, Timestamp::from_micros(back_in));
        now = timer.next().unwrap_or(now);
        prop_assert!(timer.take_due(now));
        let (mut failed_since, mut turn) = (false, 0);
        while now < back || (last_fails && !failed_since) {
            failed_since |= now >= back;
            timer.poll_failed(draws[turn % draws.len()], now + POLL_TIMEOUT);
            let at = timer.next().expect("a poll is always due after a failed one");
            prop_assert!(at >= now + POLL_TIMEOUT);
            now = at;
            prop_assert!(timer.take_due(now) && !timer.take_due(now), "one poll each time");
            turn += 1;
        }
        timer.poll_succeeded();
        prop_assert!(now - back <= NOTIFICATION_BOUND, "{:?} after it was back", now - back);
    }
}

/// Hundreds of routers whose polls all failed in one moment ask again spread over most of a
/// second, not at once.
#[test]
fn polls_spread_after_failures() {
    let mut polls: Vec<u64> = (0..300u32)
        .map(|k| {
            let draw = f64::from(k * 7919 % 300) / 300.0;
            let mut timer = timer(300, 10_000_000, draw);
            timer.take_due(Timestamp::from_secs(9));
            timer.poll_failed(draw, Timestamp::from_secs(10));
            timer.next().map_or(0, |at| at.as_micros())
        })
        .collect();
    polls.sort_unstable();
    let most = (0..polls.len())
        .map(|k| {
            polls[k..]
                .iter()
                .take_while(|at| **at < polls[k] + 100_000)
                .count()
        })
        .max();
    assert!(
        most.is_some_and(|most| most <= 45),
        "{most:?} of 300 polls within 0.1 s"
    );
}
