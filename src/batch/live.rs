//! The live side of our own API on HTTP/1.1: chat requests, models and budgets. A thin front: what
//! they mean stands in [`edge`](crate::edge).

use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use serde_json::Value;

use super::front::{Session, Then, Wrong};
use super::line::Assembly;
use super::store::unix;
use crate::api::{ApiError, Reply};
use crate::edge::{AnswerStream, ChatBody, ChatRequest, Edge, StreamItem};
use crate::net::http::{Body, Head, HttpError, LAST_CHUNK, put_chunk};
use crate::request_ids::{RequestIds, is_request_id};

/// What live requests need.
#[derive(Clone)]
pub struct Live {
    /// The edge.
    pub edge: Arc<Edge>,
    /// The ids in use, over all fronts.
    pub request_ids: RequestIds,
}

impl Session {
    /// Answers what is the live side's; none where a request is not.
    pub(super) async fn live(
        &mut self,
        head: &Head,
        body: &mut Body,
        path: &[&str],
    ) -> Result<Option<Then>, Wrong> {
        let Some(live) = self.front.live.clone() else {
            return Ok(None);
        };
        let edge = &live.edge;
        let reply = match (head.method.as_str(), path) {
            ("GET", ["models"]) => edge.models(&self.caller),
            ("GET", ["models", name @ ..]) => {
                // a model's name may hold slashes, and comes escaped
                let name = unescaped(&name.join("/"));
                edge.model(&self.caller, &name)?
            }
            ("GET", ["budgets"]) => edge.budgets(&self.caller),
            ("POST", ["chat", "completions"]) => {
                return self.chat(&live, head, body).await.map(Some);
            }
            (_, ["models" | "budgets", ..] | ["chat", "completions"]) => {
                return Err(ApiError::new(405, None, "no such method on this path").into());
            }
            _ => return Ok(None),
        };
        Ok(Some(Then::Reply(Reply::json(reply))))
    }

    async fn chat(&mut self, live: &Live, head: &Head, body: &mut Body) -> Result<Then, Wrong> {
        let arrived = self.message(head, body).await?;
        let mut chat = ChatBody::parse(&arrived.bytes)?;
        let received = arrived.received_at;
        drop(arrived);
        let id = match head.get("x-trace-id") {
            Some(id) if is_request_id(id) => id.to_string(),
            Some(_) => {
                return Err(ApiError::new(400, "X-Trace-Id", "X-Trace-Id is no plain id").into());
            }
            None => self.id.clone(),
        };
        let in_use = || ApiError::new(409, "X-Trace-Id", "X-Trace-Id is in use");
        let trace = live.request_ids.acquire(&id).ok_or_else(in_use)?;
        let patience = match head.get("x-expires-in-ms").map(str::parse::<u32>) {
            None => None,
            Some(Ok(ms)) => Some(Duration::from_millis(ms.into())),
            Some(Err(_)) => {
                return Err(
                    ApiError::new(400, "X-Expires-In-Ms", "X-Expires-In-Ms is no number").into(),
                );
            }
        };
        if let Some(session) = head.get("x-object") {
            chat.session = Some(crate::wire::replica_id(session).0);
        }
        let stream = chat.stream;
        let request = ChatRequest {
            caller: self.caller.clone(),
            chat,
            class: head.get("x-qos").map(String::from),
            timeout: patience,
            received_at: received,
            trace,
            interactive: true,
            client: Some(self.peer.presence()),
        };
        let started = tokio::select! {
            biased;
            started = live.edge.start(request) => started,
            // its drop calls the attempt off and ends the reservation
            () = self.peer.wait_for_disconnect() => return Err(Wrong::Http(HttpError::ConnectionClosed)),
        };
        match started {
            Ok(answer) => Ok(Then::Chat(Box::new(answer), stream)),
            Err(rejection) => Err(rejection.error.into()),
        }
    }

    /// Passes an answer on: as its events come, or put together at its end.
    pub(super) async fn chat_answer(
        &mut self,
        head: &Head,
        mut answer: AnswerStream,
        stream: bool,
        close: bool,
    ) -> Result<(), HttpError> {
        if !stream {
            return self.whole_answer(head, answer, close).await;
        }
        let mut out = BytesMut::new();
        let model = answer.model();
        out.put_slice(
            format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\
                 Transfer-Encoding: chunked\r\nx-request-id: {}\r\nX-Served-Model: {model}\r\n",
                self.id
            )
            .as_bytes(),
        );
        out.put_slice(if close {
            b"Connection: close\r\n\r\n"
        } else {
            b"\r\n"
        });
        loop {
            let part = tokio::select! {
                biased;
                part = answer.next() => part,
                () = self.peer.wait_for_disconnect() => return Err(HttpError::ConnectionClosed),
            };
            let done = part == StreamItem::Complete;
            match part {
                StreamItem::Data(bytes) => put_chunk(&mut out, &bytes),
                StreamItem::Complete => out.put_slice(LAST_CHUNK),
                // the connection ends without the last chunk: what came is no whole answer
                StreamItem::Broken => return Err(HttpError::ConnectionClosed),
            }
            if done {
                return self.peer.write_last(&out).await;
            }
            self.peer.write(&out).await?;
            out.clear();
        }
    }

    async fn whole_answer(
        &mut self,
        head: &Head,
        mut answer: AnswerStream,
        close: bool,
    ) -> Result<(), HttpError> {
        let mut all = Assembly::default();
        let whole = loop {
            let part = tokio::select! {
                biased;
                part = answer.next() => part,
                () = self.peer.wait_for_disconnect() => return Err(HttpError::ConnectionClosed),
            };
            match part {
                StreamItem::Data(bytes) => all.add(&bytes),
                StreamItem::Complete => break true,
                StreamItem::Broken => break false,
            }
        };
        let broken = |what: String| ApiError::new(502, None, what).code("answer_broken");
        let model = answer.model().to_string();
        let body = match whole {
            true => all
                .finish(answer.trace.id(), unix(), &Value::from(model.clone()))
                .map_err(|e| broken(e.message)),
            false => Err(broken("the answer broke off; it may have run".into())),
        };
        let reply = match body {
            Ok(mut body) => {
                if let Some(cutoff) = answer.cutoff() {
                    body["stilespan"] = cutoff.to_json();
                }
                Reply {
                    headers: vec![("X-Served-Model", model)],
                    ..Reply::json(body)
                }
            }
            Err(e) => Reply::from(&e),
        };
        self.reply(head, reply, close).await
    }
}

/// A path's segment with its escapes resolved; one that is broken stays as it is.
fn unescaped(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::with_capacity(bytes.len()), 0);
    while let Some(&byte) = bytes.get(at) {
        let hex = bytes
            .get(at + 1..at + 3)
            .and_then(|h| std::str::from_utf8(h).ok());
        match hex
            .filter(|_| byte == b'%')
            .and_then(|h| u8::from_str_radix(h, 16).ok())
        {
            Some(escaped) => {
                out.push(escaped);
                at += 3;
            }
            None => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
