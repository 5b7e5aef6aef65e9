//! Servers that join a known list: which of the stated start times are believed.

use super::*;

#[test]
fn join_hour_ahead_starts_now() {
    let mut starts = warmed_up();
    let stated = at(3_598);
    assert_eq!(
        corrected(
            &mut starts,
            EndpointListKind::Partial,
            &[(4, stated)],
            at(5)
        ),
        [at(5)]
    );
    // its age counts from there on, also in a complete list
    assert_eq!(
        corrected(
            &mut starts,
            EndpointListKind::Partial,
            &[(4, stated)],
            at(30)
        ),
        [at(5)]
    );
    assert_eq!(
        corrected(
            &mut starts,
            EndpointListKind::Complete,
            &[(4, stated)],
            at(60)
        ),
        [at(5)]
    );
}

#[test]
fn join_hour_behind_starts_now() {
    let mut starts = warmed_up();
    let stated = Timestamp::from_micros(BEGIN - HOUR);
    assert_eq!(
        corrected(
            &mut starts,
            EndpointListKind::Partial,
            &[(4, stated)],
            at(5)
        ),
        [at(5)]
    );
    assert_eq!(
        corrected(
            &mut starts,
            EndpointListKind::Partial,
            &[(4, stated)],
            at(30)
        ),
        [at(5)]
    );
}

#[test]
fn restart_at_same_name_is_join() {
    let mut starts = warmed_up();
    let again = Timestamp::from_micros(BEGIN - HOUR);
    assert_eq!(
        corrected(&mut starts, EndpointListKind::Partial, &[(2, again)], at(5)),
        [at(5)]
    );
    let once_more = Timestamp::from_micros(BEGIN - HOUR + 60 * SECOND);
    assert_eq!(
        corrected(
            &mut starts,
            EndpointListKind::Partial,
            &[(2, once_more)],
            at(65)
        ),
        [at(65)]
    );
}

#[test]
fn returning_server_keeps_its_start() {
    let mut starts = warmed_up();
    let mut terminated = ReplicaEntry {
        state: EndpointState::Removed,
        ..entry(2, Timestamp::from_micros(BEGIN - 9 * HOUR))
    };
    starts.correct(
        EndpointListKind::Partial,
        std::iter::once(&mut terminated),
        at(5),
    );
    // the third leaves by a complete list that doesn't name it
    corrected(
        &mut starts,
        EndpointListKind::Complete,
        &[(1, Timestamp::ZERO)],
        at(10),
    );
    let returning = [
        (2, Timestamp::from_micros(BEGIN - 9 * HOUR)),
        (3, Timestamp::from_micros(BEGIN - 8 * HOUR)),
    ];
    assert_eq!(
        corrected(&mut starts, EndpointListKind::Partial, &returning, at(60)),
        returning.map(|b| b.1)
    );
}

#[test]
fn joins_after_failed_calls_stay() {
    let mut starts = warmed_up();
    corrected(&mut starts, EndpointListKind::Partial, &[], at(100));
    corrected(&mut starts, EndpointListKind::Error, &[], at(105));
    let joined = [(4, at(120))];
    assert_eq!(
        corrected(&mut starts, EndpointListKind::Complete, &joined, at(300)),
        [at(120)]
    );
    // discovery itself may still be behind
    assert_eq!(
        corrected(
            &mut starts,
            EndpointListKind::Partial,
            &[(5, at(299))],
            at(325)
        ),
        [at(299)]
    );
    // once it has caught up, so old a start can't be right
    corrected(&mut starts, EndpointListKind::Partial, &[], at(331));
    assert_eq!(
        corrected(
            &mut starts,
            EndpointListKind::Partial,
            &[(6, at(319))],
            at(340)
        ),
        [at(340)]
    );
}

/// An update that repeats known entries, as changes of their models do, does not come from
/// discovery.
#[test]
fn repeated_entries_bound_nothing() {
    let mut starts = warmed_up();
    assert_eq!(
        corrected(
            &mut starts,
            EndpointListKind::Partial,
            &[(1, Timestamp::ZERO)],
            at(100)
        ),
        [Timestamp::ZERO]
    );
    assert_eq!(
        corrected(
            &mut starts,
            EndpointListKind::Partial,
            &[(4, at(50))],
            at(101)
        ),
        [at(50)]
    );
}

/// A change that only removes servers shows that the list is up to date.
#[test]
fn removal_bounds_later_joins() {
    let mut starts = warmed_up();
    let mut terminated = ReplicaEntry {
        state: EndpointState::Removed,
        ..entry(2, Timestamp::from_micros(BEGIN - 9 * HOUR))
    };
    starts.correct(
        EndpointListKind::Partial,
        std::iter::once(&mut terminated),
        at(100),
    );
    assert_eq!(
        corrected(
            &mut starts,
            EndpointListKind::Partial,
            &[(4, at(50))],
            at(101)
        ),
        [at(101)]
    );
}
