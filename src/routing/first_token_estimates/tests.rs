use super::*;

#[test]
fn a_need_follows_what_was_measured_and_fades() {
    let mut estimates = FirstTokenEstimates::new(Dur(400_000));
    assert_eq!(estimates.estimate(0, 100, Time(0)), Dur(400_000));
    for k in 0..200 {
        let prompt = 100 + 10 * (k % 50);
        estimates.record(
            0,
            prompt,
            Dur(50_000 + 100 * u64::from(prompt)),
            Time(u64::from(k) * 1000),
        );
    }
    let at = Time(200_000);
    let (short, long) = (
        estimates.estimate(0, 100, at).secs(),
        estimates.estimate(0, 600, at).secs(),
    );
    assert!(
        (0.055..0.09).contains(&short) && (0.105..0.14).contains(&long),
        "{short} {long}"
    );
    // the other model is none of its business, and an old measure fades
    assert_eq!(estimates.estimate(1, 100, at), Dur(400_000));
    assert!(estimates.estimate(0, 600, Time(60_000_000)).secs() < long / 10.0);
}

#[test]
fn what_never_comes_raises_the_need() {
    let mut estimates = FirstTokenEstimates::new(Dur(100_000));
    for k in 0..40 {
        estimates.record_unanswered(0, 100, Dur(900_000), Time(k * 1000));
    }
    assert!(estimates.estimate(0, 100, Time(40_000)) >= Dur(800_000));
    // a wait shorter than the need tells nothing
    let before = estimates.estimate(0, 100, Time(40_000));
    estimates.record_unanswered(0, 100, Dur(10_000), Time(40_000));
    assert_eq!(estimates.estimate(0, 100, Time(40_000)), before);
}
