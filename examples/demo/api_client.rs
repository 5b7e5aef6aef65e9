//! A client of the router's HTTP APIs.

use serde_json::Value;
use stilespan::net::http::{self, Buffer, read_response};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::DemoError;

/// The largest body of a response, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// The name prefixes of the response headers that are printed.
const PRINTED_HEADERS: [&str; 3] = ["x-", "ratelimit", "retry-after"];
/// The maximum number of characters that are printed of a line.
const MAX_LINE_CHARS: usize = 160;

/// A client of one front end, with the headers that it adds to each request.
pub struct ApiClient {
    address: String,
    /// The header lines, each of which ends with `\r\n`.
    headers: String,
}

impl ApiClient {
    /// Creates a client of the front end at an address.
    pub fn new(address: &str, headers: &str) -> ApiClient {
        ApiClient {
            address: address.into(),
            headers: headers.into(),
        }
    }

    /// Sends a chat request.
    pub async fn chat(&self, body: &Value) -> Result<Response, DemoError> {
        self.send("POST", "/v1/chat/completions", "", &body.to_string())
            .await
    }

    /// Sends a POST request with a body in JSON.
    pub async fn post(&self, path: &str, body: &Value) -> Result<Response, DemoError> {
        self.send("POST", path, "", &body.to_string()).await
    }

    /// Uploads a form with this content type.
    pub async fn upload(
        &self,
        path: &str,
        content_type: &str,
        form: &str,
    ) -> Result<Response, DemoError> {
        let content_type = format!("Content-Type: {content_type}\r\n");
        self.send("POST", path, &content_type, form).await
    }

    /// Sends a GET request.
    pub async fn get(&self, path: &str) -> Result<Response, DemoError> {
        self.send("GET", path, "", "").await
    }

    /// Sends a request with additional headers on a new connection.
    async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
    ) -> Result<Response, DemoError> {
        let mut stream = TcpStream::connect(&self.address).await?;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\n{}{headers}Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
            self.address,
            self.headers,
            body.len()
        );
        stream.write_all(request.as_bytes()).await?;
        let response = read_response(&mut Buffer::default(), &mut stream, MAX_BODY_BYTES).await?;
        Ok(Response::new(&response))
    }
}

/// The parts of a response that are printed.
pub struct Response {
    pub status: u16,
    /// The printed headers, as lines of the form `name: value`.
    headers: Vec<String>,
    body: String,
}

impl Response {
    fn new(http::Response { head, body }: &http::Response) -> Response {
        let is_printed = |name: &str| {
            PRINTED_HEADERS
                .iter()
                .any(|prefix| name.starts_with(prefix))
        };
        Response {
            status: head.status,
            headers: head
                .headers
                .iter()
                .filter(|(name, _)| is_printed(name))
                .map(|(name, value)| format!("{name}: {value}"))
                .collect(),
            body: String::from_utf8_lossy(body).into_owned(),
        }
    }

    /// Parses the body as JSON.
    pub fn json(&self) -> Result<Value, DemoError> {
        serde_json::from_str(&self.body)
            .map_err(|error| format!("{error}: {} {}", self.status, self.body).into())
    }

    /// Prints the status, the headers, the first `first_lines` lines of the body and its last line.
    pub fn print(&self, first_lines: usize) {
        println!("HTTP/1.1 {}", self.status);
        for header in &self.headers {
            println!("{header}");
        }
        let lines: Vec<&str> = self.body.lines().filter(|line| !line.is_empty()).collect();
        let last = lines.len().saturating_sub(1).max(first_lines);
        for line in lines
            .iter()
            .take(first_lines)
            .chain(lines.iter().skip(last))
        {
            println!(
                "  {}",
                line.chars().take(MAX_LINE_CHARS).collect::<String>()
            );
        }
        println!();
    }
}
