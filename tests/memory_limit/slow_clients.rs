//! Clients that read or write slowly, or stop half way.
#![allow(dead_code)]

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

use crate::common::requests::fresh_id;
use crate::slow_servers::EVENT_BYTES_QUERY;

const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;
const READ_BYTES: usize = 1 << 10;
const WRITE_BYTES: usize = 2 << 10;
const INTERVAL: Duration = Duration::from_millis(50);
/// A little less than the limit on bodies.
const BODY_BYTES: usize = 250_000;
const CHARACTERS_PER_TOKEN: usize = 4;
/// As many fields as a head may hold, beside those of every request.
const FIELDS: usize = 90;
const PARTIAL_HEAD_BYTES: usize = 31 << 10;

/// What a slow client does, again and again.
#[derive(Clone, Copy, Debug)]
pub enum SlowClient {
    /// Reads a large answer slowly.
    Reader { event_bytes: usize },
    /// Writes a large body slowly.
    BodyWriter,
    /// Writes half of a large body and waits.
    HalfBody,
    /// Writes heads of very many short fields, and a small body.
    ManyFields,
    /// Writes most of a large head and waits.
    HalfHead,
    /// Writes a large body at once, which servers read slowly.
    LargeBody,
}

impl SlowClient {
    /// Runs the client until it is dropped.
    pub async fn run(self, address: &str) {
        loop {
            // the router may close the connection or reject the request
            let _ = self.play(address).await;
            sleep(INTERVAL).await;
        }
    }

    async fn play(self, address: &str) -> std::io::Result<()> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        let mut stream = socket.connect(address.parse().unwrap()).await?;
        match self {
            SlowClient::Reader { event_bytes } => {
                let query = format!("{EVENT_BYTES_QUERY}{event_bytes}");
                stream.write_all(&request(&query, "", 20)).await?;
                read_slowly(&mut stream).await
            }
            SlowClient::BodyWriter => {
                let request = request("", "", BODY_BYTES);
                for piece in request.chunks(WRITE_BYTES) {
                    stream.write_all(piece).await?;
                    sleep(INTERVAL).await;
                }
                read_slowly(&mut stream).await
            }
            SlowClient::HalfBody => {
                let request = request("", "", BODY_BYTES);
                stream.write_all(&request[..request.len() / 2]).await?;
                read_slowly(&mut stream).await
            }
            SlowClient::ManyFields => {
                let fields = (0..FIELDS).map(|number| format!("F{number}: 1\r\n"));
                let fields: String = fields.collect();
                stream.write_all(&request("", &fields, 20)).await?;
                read_slowly(&mut stream).await
            }
            SlowClient::HalfHead => {
                let field = format!("X-Long: {}", "y".repeat(PARTIAL_HEAD_BYTES));
                stream
                    .write_all(b"POST /v1/chat/completions HTTP/1.1\r\n")
                    .await?;
                stream.write_all(field.as_bytes()).await?;
                read_slowly(&mut stream).await
            }
            SlowClient::LargeBody => {
                stream.write_all(&request("", "", BODY_BYTES)).await?;
                read_slowly(&mut stream).await
            }
        }
    }
}

/// Reads until the router closes the connection.
async fn read_slowly(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut bytes = [0; READ_BYTES];
    while stream.read(&mut bytes).await? > 0 {
        sleep(INTERVAL).await;
    }
    Ok(())
}

/// A request with this query, these additional fields and a body of about this size, after which the client
/// closes its connection.
fn request(query: &str, fields: &str, body_bytes: usize) -> Vec<u8> {
    let body = format!("{{\"pad\":\"{}\"}}", "x".repeat(body_bytes));
    format!(
        "POST /v1/chat/completions{query} HTTP/1.1\r\nX-Trace-Id: {}\r\nX-Qos: batch-mark\r\n\
         X-Expires-In-Ms: 10000\r\nX-Props: prompt_len={},max_out=20\r\n{fields}\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        fresh_id(),
        body.len() / CHARACTERS_PER_TOKEN,
        body.len()
    )
    .into_bytes()
}
