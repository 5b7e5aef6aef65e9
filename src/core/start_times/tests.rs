mod first_lists;
mod fleet;
mod joins;

use super::*;

const SECOND: u64 = 1_000_000;
const HOUR: u64 = 3_600 * SECOND;
/// When the process started, on its own clock.
const BEGIN: u64 = 400_000 * HOUR;

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_micros(BEGIN + seconds * SECOND)
}

fn entry(id: u64, started: Timestamp) -> ReplicaEntry {
    ReplicaEntry {
        replica: ReplicaId(id),
        started_at: started,
        ..ReplicaEntry::default()
    }
}

/// The corrected starts of some entries.
fn corrected(
    starts: &mut StartTimes,
    kind: EndpointListKind,
    entries: &[(u64, Timestamp)],
    now: Timestamp,
) -> Vec<Timestamp> {
    let mut entries: Vec<ReplicaEntry> = entries
        .iter()
        .map(|&(id, started)| entry(id, started))
        .collect();
    starts.correct(kind, entries.iter_mut(), now);
    entries.iter().map(|entry| entry.started_at).collect()
}

/// Start times after a complete list of three servers that are fully warmed up.
fn warmed_up() -> StartTimes {
    let mut starts = StartTimes::default();
    let list = [
        (1, Timestamp::ZERO),
        (2, Timestamp::from_micros(BEGIN - 9 * HOUR)),
        (3, Timestamp::from_micros(BEGIN - 8 * HOUR)),
    ];
    assert_eq!(
        corrected(&mut starts, EndpointListKind::Complete, &list, at(0)),
        list.map(|l| l.1)
    );
    starts
}
