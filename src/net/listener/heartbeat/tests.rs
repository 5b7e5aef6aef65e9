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

#[test]
fn bytes_after_series_of_stalls_date_from_first() {
    let start = Instant::now();
    let heartbeat = Heartbeat::new(start);
    let between_stalls = start + 330 * MILLISECOND;
    heartbeat.beat(between_stalls);
    heartbeat.beat(between_stalls + 20 * MILLISECOND);
    let resumed = between_stalls + 230 * MILLISECOND;
    assert_eq!(heartbeat.earliest_arrival(resumed), start);
}

#[test]
fn bytes_after_second_stall_date_from_its_start_once_first_is_over() {
    let start = Instant::now();
    let heartbeat = Heartbeat::new(start);
    let first_end = start + 330 * MILLISECOND;
    heartbeat.beat(first_end);
    let last_beat = first_end + INTERVAL;
    heartbeat.beat(last_beat);
    let resumed = last_beat + 230 * MILLISECOND;
    assert_eq!(heartbeat.earliest_arrival(resumed), last_beat);
}
