//! Scripted processes of a router: they speak the protocol of the handover, and are as slow as a
//! test needs them to be.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::time::timeout;

use crate::processes::Platform;

/// Generous, so that a busy machine does not fail the tests.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// The name of the socket on which the running process accepts its successor.
const SOCKET: &str = "stilespan.sock";

/// A connection to a process under test.
pub struct ScriptedProcess {
    reader: BufReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

impl ScriptedProcess {
    fn new(stream: UnixStream) -> ScriptedProcess {
        let (reader, writer) = stream.into_split();
        ScriptedProcess {
            reader: BufReader::new(reader),
            writer,
        }
    }

    /// Connects as a successor and sends the hello. Reads nothing yet.
    pub async fn successor(platform: &Platform) -> ScriptedProcess {
        ScriptedProcess::successor_with(platform, &json!({})).await
    }

    /// Connects as a successor whose hello has these further fields.
    pub async fn successor_with(platform: &Platform, fields: &Value) -> ScriptedProcess {
        let stream = UnixStream::connect(platform.folder.path(SOCKET)).await;
        let mut process = ScriptedProcess::new(stream.unwrap());
        let mut hello = fields.clone();
        hello["version"] = 1.into();
        process.send(&json!({"hello": hello})).await;
        process
    }

    /// Listens as a predecessor.
    pub fn listen(platform: &Platform) -> UnixListener {
        UnixListener::bind(platform.folder.path(SOCKET)).unwrap()
    }

    /// Accepts a successor and reads its hello.
    pub async fn predecessor(listener: &UnixListener) -> ScriptedProcess {
        let (stream, _) = listener.accept().await.unwrap();
        let mut process = ScriptedProcess::new(stream);
        process.receive("hello").await;
        process
    }

    /// Sends a message.
    pub async fn send(&mut self, message: &Value) {
        let line = format!("{message}\n");
        self.writer.write_all(line.as_bytes()).await.unwrap();
    }

    /// Reads the next message.
    pub async fn next_message(&mut self) -> Value {
        let mut line = String::new();
        let read = timeout(MESSAGE_TIMEOUT, self.reader.read_line(&mut line)).await;
        read.expect("a message in time").unwrap();
        serde_json::from_str(&line).expect("a message")
    }

    /// Reads messages until one of this kind arrives, and returns its contents.
    pub async fn receive(&mut self, kind: &str) -> Value {
        self.receive_within(kind, MESSAGE_TIMEOUT)
            .await
            .unwrap_or_else(|| panic!("no message {kind:?}"))
    }

    /// Reads messages until one of this kind arrives. `None` if none does in time.
    pub async fn receive_within(&mut self, kind: &str, limit: Duration) -> Option<Value> {
        let message = async {
            loop {
                let message = self.next_message().await;
                if message == kind {
                    return Value::Null;
                }
                if let Some(contents) = message.get(kind) {
                    return contents.clone();
                }
            }
        };
        timeout(limit, message).await.ok()
    }

    /// Confirms a command that this process received.
    pub async fn confirm(&mut self, call: &Value) {
        let done = json!({"done": {"id": call["id"], "done": true}});
        self.send(&done).await;
    }
}
