use super::*;

#[test]
fn stream_cut_anywhere_gives_same_completion() {
    let stream = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"sehr \"},\"finish_reason\":null}]}\n\n\
        : a comment\n\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"gut\u{2713}\"},\"finish_reason\":\"stop\"}]}\n\n\
        data: {\"choices\":[],\"usage\":{\"total_tokens\":7}}\n\ndata: [DONE]\n\n";
    for cut in 0..stream.len() {
        let mut builder = CompletionBuilder::default();
        builder.add(&stream.as_bytes()[..cut]);
        builder.add(&stream.as_bytes()[cut..]);
        let defaults = CompletionDefaults {
            trace_id: "t",
            created_at: 5,
            model: &json!("mark"),
        };
        let body = builder.finish(defaults).unwrap();
        assert_eq!(body["model"], "mark");
        assert_eq!(body["choices"][0]["message"]["content"], "sehr gut\u{2713}");
        assert_eq!(
            (
                body["choices"][0]["finish_reason"].as_str(),
                &body["usage"]["total_tokens"]
            ),
            (Some("stop"), &json!(7))
        );
    }
}
