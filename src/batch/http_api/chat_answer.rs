//! Sends the answer of a model, either as a stream or as one object after the answer is complete.

use bytes::{BufMut, BytesMut};
use serde_json::Value;

use super::response::ChatAnswer;
use super::session::Session;
use crate::api::{ApiError, Reply};
use crate::batch::completion::{CompletionBuilder, CompletionDefaults};
use crate::batch::wall_clock::unix_seconds;
use crate::edge::{AnswerStream, StreamItem};
use crate::net::http::{Head, HttpError, LAST_CHUNK, put_chunk};

impl Session {
    /// Sends the answer in the form that the client requested.
    pub(super) async fn send_answer(
        &mut self,
        head: &Head,
        chat: ChatAnswer,
        close: bool,
    ) -> Result<(), HttpError> {
        if chat.is_streamed {
            self.send_stream(chat.answer, close).await
        } else {
            self.send_completion(head, chat.answer, close).await
        }
    }

    /// Sends the events of the answer as they arrive. If the answer breaks off, the connection is
    /// closed without the last chunk, so that the client can detect the truncation.
    async fn send_stream(
        &mut self,
        mut answer: AnswerStream,
        close: bool,
    ) -> Result<(), HttpError> {
        let mut output = BytesMut::new();
        output.put_slice(self.stream_head(answer.model(), close).as_bytes());
        loop {
            match self.next_item(&mut answer).await? {
                StreamItem::Data(bytes) => put_chunk(&mut output, &bytes),
                StreamItem::Complete => {
                    output.put_slice(LAST_CHUNK);
                    return self.connection.write_last(&output).await;
                }
                StreamItem::Broken => return Err(HttpError::ConnectionClosed),
            }
            self.connection.write(&output).await?;
            output.clear();
        }
    }

    fn stream_head(&self, model: &str, close: bool) -> String {
        let connection = if close { "Connection: close\r\n" } else { "" };
        format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\
             Transfer-Encoding: chunked\r\nx-request-id: {}\r\nX-Served-Model: {model}\r\n\
             {connection}\r\n",
            self.request_id
        )
    }

    /// Sends the answer as one completion object.
    async fn send_completion(
        &mut self,
        head: &Head,
        mut answer: AnswerStream,
        close: bool,
    ) -> Result<(), HttpError> {
        let mut builder = CompletionBuilder::default();
        let is_complete = loop {
            match self.next_item(&mut answer).await? {
                StreamItem::Data(bytes) => builder.add(&bytes),
                StreamItem::Complete => break true,
                StreamItem::Broken => break false,
            }
        };
        let completion = if is_complete {
            completion(builder, &answer)
        } else {
            Err(answer_error("the answer broke off; it may have run"))
        };
        let reply = match completion {
            Ok(completion) => Reply {
                headers: vec![("X-Served-Model", answer.model().to_string())],
                ..Reply::json(completion)
            },
            Err(error) => Reply::from(&error),
        };
        self.reply(head, &reply, close).await
    }

    /// Returns the next item of the answer. Fails if the client disconnects.
    async fn next_item(&mut self, answer: &mut AnswerStream) -> Result<StreamItem, HttpError> {
        tokio::select! {
            biased;
            item = answer.next() => Ok(item),
            () = self.connection.wait_for_disconnect() => Err(HttpError::ConnectionClosed),
        }
    }
}

/// The completion object of a complete answer. If a budget cut the answer off, the object states
/// the reason.
fn completion(builder: CompletionBuilder, answer: &AnswerStream) -> Result<Value, ApiError> {
    let defaults = CompletionDefaults {
        trace_id: answer.trace.id(),
        created_at: unix_seconds(),
        model: &answer.model().into(),
    };
    let mut completion = builder
        .finish(defaults)
        .map_err(|e| answer_error(&e.to_string()))?;
    if let Some(cutoff) = answer.cutoff() {
        completion["stilespan"] = cutoff.to_json();
    }
    Ok(completion)
}

fn answer_error(message: &str) -> ApiError {
    ApiError::new(502, None, message).code("answer_broken")
}
