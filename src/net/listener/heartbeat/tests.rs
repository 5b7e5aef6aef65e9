use rstest::rstest;

use super::*;

const MILLISECOND: Duration = Duration::from_millis(1);

#[test]
fn bytes_between_beats_just_arrived() {
    let start = Instant::now();
    let heartbeat = Heartbeat::new(start);
    for beat in 1..20 {
        heartbeat.beat(start + beat * INTERVAL);
        let read = start + beat * INTERVAL + 30 * MILLISECOND;
        assert_eq!(heartbeat.earliest_arrival(read), read);
    }
}

#[test]
fn bytes_after_stall_date_from_start() {
    let start = Instant::now();
    let heartbeat = Heartbeat::new(start);
    let resumed = start + 700 * MILLISECOND;
    // before the first beat after the stall, and after it
    assert_eq!(heartbeat.earliest_arrival(resumed), start);
    heartbeat.beat(resumed + MILLISECOND);
    assert_eq!(
        heartbeat.earliest_arrival(resumed + 20 * MILLISECOND),
        start
    );
    heartbeat.beat(resumed + 40 * MILLISECOND);
    assert_eq!(
        heartbeat.earliest_arrival(resumed + 45 * MILLISECOND),
        start
    );
    let later = resumed + 90 * MILLISECOND;
    assert_eq!(heartbeat.earliest_arrival(later), later);
}

#[rstest]
#[case::first_stall_still_recent(20 * MILLISECOND, Duration::ZERO)]
#[case::first_stall_over(INTERVAL, 380 * MILLISECOND)]
fn bytes_after_series_of_stalls_date_from_first_recent_stall(
    #[case] pause: Duration,
    #[case] expected: Duration,
) {
    let start = Instant::now();
    let heartbeat = Heartbeat::new(start);
    let first_end = start + 330 * MILLISECOND;
    heartbeat.beat(first_end);
    heartbeat.beat(first_end + pause);
    let resumed = first_end + pause + 230 * MILLISECOND;
    assert_eq!(heartbeat.earliest_arrival(resumed), start + expected);
}
