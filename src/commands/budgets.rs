//! `stilespan budgets`: fetches a key's budgets from a running router and prints them as a table.

use std::time::Duration;

use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{BudgetsError, CommandError};
use crate::net::http::{self, Buffer, Response, read_response};
use crate::net::stream::Stream;

/// The maximum size of an answer, in bytes. It is large because a tree may have many nodes, and the
/// answer lists each of them.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// The timeout for the complete request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Fetches the budgets of the key in `STILESPAN_KEY` from the router at an address and prints them.
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
        .block_on(fetch_with_timeout(address, &key))
        .and_then(parse)
        .map_err(|source| CommandError::Budgets {
            address: address.into(),
            source,
        })?;
    print!("{}", table(&body));
    Ok(())
}

async fn fetch_with_timeout(address: &str, key: &str) -> Result<Response, BudgetsError> {
    timeout(ANSWER_TIMEOUT, fetch(address, key))
        .await
        .unwrap_or(Err(BudgetsError::TimedOut(ANSWER_TIMEOUT)))
}

async fn fetch(address: &str, key: &str) -> Result<Response, BudgetsError> {
    let mut stream = Stream::new(TcpStream::connect(address).await?);
    let request = format!(
        "GET /v1/budgets HTTP/1.1\r\nHost: {address}\r\nAuthorization: Bearer {key}\r\n\
         Connection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await?;
    let mut buffer = Buffer::default();
    Ok(read_response(&mut buffer, &mut stream, MAX_ANSWER_BYTES).await?)
}

/// Returns the JSON body of an answer, or an error if the body is not JSON or the router rejected
/// the request.
fn parse(answer: Response) -> Result<Value, BudgetsError> {
    let body: Value = serde_json::from_slice(&answer.body).map_err(BudgetsError::Json)?;
    if answer.head.status == 200 {
        return Ok(body);
    }
    let message = body.pointer("/error/message").and_then(Value::as_str);
    Err(BudgetsError::Rejected {
        status: answer.head.status,
        message: message.unwrap_or("no message").into(),
    })
}

/// Formats the budgets as a table with one line per budget.
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
