use super::*;
use rstest::rstest;

#[test]
fn body_is_measured_and_rewritten() {
    let body = json!({"model": "mark", "max_completion_tokens": 900, "temperature": 0.5, "messages": [
        {"role": "system", "content": "be kind"},
        {"role": "user", "content": [{"type": "text", "text": "why?"}, {"type": "text", "text": " how?"}]}]});
    let chat = ChatBody::parse(body.to_string().as_bytes()).unwrap();
    assert_eq!(
        (chat.prompt_tokens, chat.max_output_tokens, chat.stream),
        (4, Some(900), false)
    );
    assert_eq!(chat.shared_prefix.map(|prefix| prefix.tokens), Some(2));
    let forwarded = chat.forwarded_body("marker-large", 500);
    let forwarded: Value = serde_json::from_slice(&forwarded).unwrap();
    assert_eq!(
        (
            &forwarded["model"],
            &forwarded["max_tokens"],
            &forwarded["temperature"]
        ),
        (&json!("marker-large"), &json!(500), &json!(0.5))
    );
    assert_eq!(
        (&forwarded["stream"], forwarded.get("max_completion_tokens")),
        (&json!(true), None)
    );
}

#[rstest]
#[case::no_json("{", None)]
#[case::a_list("[]", None)]
#[case::no_model(r#"{"messages":[{"role":"user","content":"x"}]}"#, Some("model"))]
#[case::no_messages(r#"{"model":"m","messages":[]}"#, Some("messages"))]
#[case::no_role(r#"{"model":"m","messages":[{}]}"#, Some("messages"))]
#[case::two_answers(r#"{"model":"m","n":2,"messages":[{"role":"user"}]}"#, Some("n"))]
#[case::below_zero(
    r#"{"model":"m","max_tokens":-1,"messages":[{"role":"user"}]}"#,
    Some("max_tokens")
)]
#[case::too_many(
    r#"{"model":"m","max_tokens":9223372036854775808,"messages":[{"role":"user"}]}"#,
    Some("max_tokens")
)]
#[case::no_flag(
    r#"{"model":"m","stream":"yes","messages":[{"role":"user"}]}"#,
    Some("stream")
)]
fn error_names_the_parameter(#[case] body: &str, #[case] param: Option<&str>) {
    let error = ChatBody::parse(body.as_bytes()).unwrap_err();
    assert_eq!((error.status, error.param), (400, param));
}
