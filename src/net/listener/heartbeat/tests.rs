use super::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn what_is_read_while_beats_come_has_just_arrived() {
    let start = Instant::now();
    let heartbeat = Heartbeat::new(start);
    for beat in 1..20 {
        heartbeat.beat(start + beat * INTERVAL);
        let read = start + beat * INTERVAL + 30 * MS;
        assert_eq!(heartbeat.earliest_arrival(read), read);
    }
}

#[test]
fn what_is_read_right_after_a_stall_may_have_come_at_its_beginning() {
    let start = Instant::now();
    let heartbeat = Heartbeat::new(start);
    let woke = start + 700 * MS;
    // ahead of the first beat after it, and behind
    assert_eq!(heartbeat.earliest_arrival(woke), start);
    heartbeat.beat(woke + MS);
    assert_eq!(heartbeat.earliest_arrival(woke + 20 * MS), start);
    heartbeat.beat(woke + 40 * MS);
    assert_eq!(heartbeat.earliest_arrival(woke + 45 * MS), start);
    let later = woke + 90 * MS;
    assert_eq!(heartbeat.earliest_arrival(later), later);
}
