//! Tests the summary of unserved requests.

use super::*;

#[test]
fn summary_names_class_and_reason() {
    let start = Instant::now();
    let mut summary = UnservedSummary::new(&["hint".into(), "batch".into()]);
    assert_eq!(summary.take_due(start), None);
    let unserved = |class, reason, available_servers| UnservedRequest {
        class,
        reason,
        available_servers,
    };
    summary.record(unserved(0, UnservedReason::Shed, 3));
    summary.record(unserved(0, UnservedReason::Shed, 0));
    summary.record(unserved(1, UnservedReason::NoTimeLeft, 0));
    summary.record(unserved(9, UnservedReason::Shed, 0));
    let text = "hint shed 2 (1 beside available servers), batch no_time_left 1 (0 beside available servers)";
    assert_eq!(summary.take_due(start).as_deref(), Some(text));
    summary.record(unserved(1, UnservedReason::Shed, 0));
    assert_eq!(summary.take_due(start), None);
    let later = start + SUMMARY_INTERVAL;
    let text = "batch shed 1 (0 beside available servers)";
    assert_eq!(summary.take_due(later).as_deref(), Some(text));
    assert_eq!(summary.take_due(later + SUMMARY_INTERVAL), None);
}
