//! `stilespan budgets`: gets a key's budgets from a running router and prints them as a table.

use std::time::Duration;

use bytes::Bytes;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{BudgetsError, CommandError};
use crate::net::http::{self, Buffer};
use crate::net::http::{CompleteResponse, read_response};
use crate::net::stream::Stream;

/// The most bytes of an answer; each node of a large tree has a line in it.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// How long a router may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// An answer of the router.
struct Answer {
    status: u16,
    body: Bytes,
}

/// Gets the budgets of the key in `STILESPAN_KEY` from the router at an address and prints them.
pub fn budgets(address: &str) -> Result<(), CommandError> {
    let key = std::env::var("STILESPAN_KEY").map_err(|_| CommandError::NoKeyVariable)?;
    if !http::is_safe_header_value(&key) {
        return Err(CommandError::InvalidKeyVariable);
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandError::Runtime)?;
    let body = runtime
        .block_on(fetch_in_time(address, &key))
        .and_then(parse)
        .map_err(|source| CommandError::Budgets {
            address: address.into(),
            source,
        })?;
    print!("{}", table(&body));
    Ok(())
}

async fn fetch_in_time(address: &str, key: &str) -> Result<Answer, BudgetsError> {
    timeout(ANSWER_TIMEOUT, fetch(address, key))
        .await
        .unwrap_or(Err(BudgetsError::TimedOut(ANSWER_TIMEOUT)))
}

async fn fetch(address: &str, key: &str) -> Result<Answer, BudgetsError> {
    let mut stream = Stream::new(TcpStream::connect(address).await?);
    let request = format!(
        "GET /v1/budgets HTTP/1.1\r\nHost: {address}\r\nAuthorization: Bearer {key}\r\n\
         Connection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await?;
    let CompleteResponse { head, body } =
        read_response(&mut Buffer::default(), &mut stream, MAX_ANSWER_BYTES).await?;
    Ok(Answer {
        status: head.status,
        body,
    })
}

/// The JSON of an answer that gives the budgets.
fn parse(answer: Answer) -> Result<Value, BudgetsError> {
    let body: Value = serde_json::from_slice(&answer.body).map_err(BudgetsError::Json)?;
    if answer.status == 200 {
        return Ok(body);
    }
    let message = body.pointer("/error/message").and_then(Value::as_str);
    Err(BudgetsError::Rejected {
        status: answer.status,
        message: message.unwrap_or("no message").into(),
    })
}

/// The budgets as a table, a line for each.
fn table(body: &Value) -> String {
    let mut lines = format!(
        "{:<32} {:<10} {:>14} {:>14} {:>12}  {}\n",
        "node", "budget", "limit", "used", "reserved", "refills (UTC)"
    );
    for node in body["data"].as_array().into_iter().flatten() {
        let path = node["node"].as_str().unwrap_or_default();
        for budget in node["budgets"].as_array().into_iter().flatten() {
            lines.push_str(&table_line(path, budget));
        }
    }
    lines
}

fn table_line(path: &str, budget: &Value) -> String {
    let number = |key: &str| budget[key].as_u64().map_or("-".into(), |n| n.to_string());
    let refills = budget["refills_at"]
        .as_i64()
        .and_then(|seconds| jiff::Timestamp::from_second(seconds).ok())
        .map_or("never".into(), |time| time.to_string());
    format!(
        "{path:<32} {:<10} {:>14} {:>14} {:>12}  {refills}\n",
        budget["name"].as_str().unwrap_or_default(),
        number("limit"),
        number("used"),
        number("reserved"),
    )
}

#[cfg(test)]
mod tests;
