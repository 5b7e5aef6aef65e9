//! A demonstration of the router: `make demo` starts two fake model servers and the router with
//! all front ends, requests streamed answers, runs a class set as a batch, exceeds a budget, prints
//! that budget, and shuts everything down.
//!
//! The demo uses loopback addresses only, and a temporary folder that it removes at the end.
#![forbid(unsafe_code)]

mod api_client;
mod class_set;
mod fleet;
mod router_process;

use std::process::Command;

use serde_json::{Value, json};

use api_client::ApiClient;
use fleet::Fleet;
use router_process::RouterProcess;

/// The key whose hash is in examples/keys.toml. It is for this demo only.
const KEY: &str = "sk-demo-bGFrZXMtbm9ydGgtN2ItZXhhbXBsZS1rZXktMDAwMDA";
/// The headers of the platform's protocol.
const PLATFORM_HEADERS: &str = "X-Trace-Id: demo-1\r\nX-Qos: hint\r\nX-Expires-In-Ms: 1500\r\nX-Props: prompt_len=8,max_out=12\r\n";
/// The number of lines that are printed from the start of each answer's body.
const PRINTED_LINES: usize = 3;

type DemoError = Box<dyn std::error::Error>;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), DemoError> {
    let program = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "target/release/stilespan".into());
    let fleet = Fleet::start().await?;
    println!("two fake model servers: fast-1 has hint, old-1 has hint and marker\n");

    let mut router = RouterProcess::start(&program, &fleet)?;
    println!(
        "the router: platform's front on {}, public API on {}\n",
        router.platform_address, router.public_address
    );
    fleet::wait_for_inventory().await;

    let platform = ApiClient::new(&router.platform_address, PLATFORM_HEADERS);
    let public = ApiClient::new(
        &router.public_address,
        &format!("Authorization: Bearer {KEY}\r\n"),
    );
    stream_answers(&platform, &public).await?;
    println!("--- a class set of three answers, as a batch");
    class_set::run(&public).await?.print(PRINTED_LINES);
    let budget_exceeded = exceed_budget(&public).await?;
    print_budgets(&program, &router.public_address)?;

    let shut_down = router.shut_down()?;
    if shut_down && budget_exceeded {
        Ok(())
    } else {
        Err("the demo failed: the router did not reject the request over the budget, or did not shut down cleanly".into())
    }
}

/// Requests the same streamed answer from both front ends.
async fn stream_answers(platform: &ApiClient, public: &ApiClient) -> Result<(), DemoError> {
    let body = chat_body(
        "hint",
        "How do I add two fractions?",
        &json!({"stream": true, "max_tokens": 12}),
    );
    println!("--- a request of the platform's protocol, streamed");
    platform.chat(&body).await?.print(PRINTED_LINES);
    println!("--- the same model through the public API, streamed, with a key");
    public.chat(&body).await?.print(PRINTED_LINES);
    Ok(())
}

/// Requests more tokens than the budget allows. Returns whether the router rejects the request with
/// status 429.
async fn exceed_budget(public: &ApiClient) -> Result<bool, DemoError> {
    println!("--- a request that exceeds the class's remaining budget for this hour");
    let body = chat_body(
        "hint",
        "Now a long one, please.",
        &json!({"max_tokens": 390}),
    );
    let response = public.chat(&body).await?;
    response.print(PRINTED_LINES);
    Ok(response.status == 429)
}

fn print_budgets(program: &str, public_address: &str) -> Result<(), DemoError> {
    println!("--- the budget that the request exceeded");
    let table = Command::new(program)
        .args(["budgets", "--at", public_address])
        .env("STILESPAN_KEY", KEY)
        .output()?;
    println!("{}", String::from_utf8_lossy(&table.stdout));
    Ok(())
}

/// Builds the body of a chat request with one message and additional fields.
fn chat_body(model: &str, content: &str, fields: &Value) -> Value {
    let mut body = json!({"model": model, "messages": [{"role": "user", "content": content}]});
    for (name, value) in fields.as_object().into_iter().flatten() {
        body[name] = value.clone();
    }
    body
}
