use super::*;

const FIELDS: [Field; 4] = [Field::Errors, Field::Served, Field::Util, Field::Other];
const NOW: Timestamp = Timestamp::from_secs(1);

/// A replica's report after these, in a fleet of which a hundred others have reported.
fn recorded(reports: &[Report]) -> (LoadReport, FleetLoadMeans) {
    let (mut replica, mut fleet) = (LoadReport::default(), FleetLoadMeans::default());
    for _ in 0..100 {
        LoadReport::default().record(Some([0.0, 4.0, 0.1, 0.1]), &FIELDS, &mut fleet, NOW);
    }
    for report in reports {
        replica.record(Some(*report), &FIELDS, &mut fleet, NOW);
    }
    (replica, fleet)
}

#[test]
fn long_stays_mean_slow() {
    let slowness = |report| {
        let (replica, fleet) = recorded(&[report]);
        replica.slowness(&fleet, NOW, 1.0)
    };
    // twice the traffic in twice the slots, and next to none
    assert!((slowness([0.0, 8.0, 0.2, 0.1]) - 1.0).abs() < 0.1);
    assert!((slowness([0.0, 0.0, 0.0, 0.0]) - 1.0).abs() < 0.1);
    assert!(slowness([0.0, 1.0, 0.4, 0.1]) > 3.0);
    assert!(slowness([0.0, 4.0, 0.03, 0.1]) < 0.7);
}

#[test]
fn bad_reports_change_nothing() {
    let good = [0.0, 1.0, 0.4, 0.1];
    let before = recorded(&[good]);
    let nan = f32::NAN;
    for bad in [
        [0.0, nan, 0.4, 0.0],
        [0.0, 1.0, -3.0, 0.0],
        [0.0, 1e12, 0.1, 0.0],
        [nan; 4],
    ] {
        let after = recorded(&[good, bad]);
        let figures = |(replica, fleet): &(LoadReport, FleetLoadMeans)| {
            (
                replica.slowness(fleet, NOW, 1.0),
                replica.error_rate,
                fleet.utilisation,
                fleet.throughput,
            )
        };
        assert_eq!(figures(&after), figures(&before), "{bad:?}");
    }
    let (mut replica, mut fleet) = before;
    let later = NOW + Span::from_secs(1);
    replica.record(None, &FIELDS, &mut fleet, later);
    // nor does it make an old report young again
    assert_eq!(
        replica.slowness(&fleet, later, 1.0),
        before.0.slowness(&before.1, later, 1.0)
    );
}

#[test]
fn old_reports_decay() {
    let (replica, fleet) = recorded(&[[0.0, 1.0, 0.4, 0.1]]);
    let later =
        |seconds: u64| replica.slowness(&fleet, NOW + Span::from_micros(seconds * 1_000_000), 1.0);
    assert!(later(1) < later(0) && later(10) < 1.01);
    assert!(!replica.is_recent(NOW + Span::from_micros(2), Span::from_micros(1)));
}

#[test]
fn missing_reports_are_asked_again() {
    let replica = LoadReport {
        requested_at: NOW,
        ..LoadReport::default()
    };
    assert!(
        replica.is_awaited(NOW + Span::from_millis(500))
            && !replica.is_awaited(NOW + Span::from_millis(900))
    );
}
