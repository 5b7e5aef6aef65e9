use rstest::rstest;

use super::attempt::{done, kept};
use super::probe::load_report;

#[test]
fn the_kept_tokens_stand_in_the_last_events() {
    let tail = b"data: {\"choices\":[{\"delta\":{\"content\":\"cached_tokens\"}}]}\n\n\
        data: {\"choices\":[],\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\ndata: [DONE]\n\n";
    assert_eq!(kept(tail), Some(4096));
    assert_eq!(kept(b"data: [DONE]\n\n"), None);
}

#[test]
fn a_load_report_is_put_in_the_settings_order() {
    let names = ["utilization", "errors_per_s"].map(String::from);
    // as the settings name them, and by the shorter names
    for text in ["TEXT errors_per_s=3, utilization=0.5, other=1", "TEXT eps=3, util=0.5, other=1"] {
        let report = load_report(text, &names).unwrap();
        assert_eq!(report[..2], [0.5, 3.0]);
        assert!(report[2].is_nan());
    }
}

#[rstest]
#[case::whole("data: {}\n\ndata: [DONE]\n\n", true)]
#[case::returns("data: {}\r\n\r\ndata: [DONE]\r\n\r\n", true)]
#[case::a_comment_after_it("data: [DONE]\n\n: Endpoint-Load-Metrics: TEXT util=0.6", true)]
#[case::half("data: {}\n\ndata: [DO", false)]
#[case::no_blank_line("data: [DONE]\n", false)]
#[case::an_event_after_it("data: [DONE]\n\ndata: {\"choices\"", false)]
#[case::none("data: {}\n\n", false)]
fn a_stream_is_done_with_its_last_event(#[case] tail: &str, #[case] is: bool) {
    assert_eq!(done(tail.as_bytes()), is);
}
