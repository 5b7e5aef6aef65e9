//! The live side of our own API on HTTP/1.1: chat requests, models and budgets. A thin front: what
//! they mean stands in [`edge`](crate::edge).

use std::time::Duration;

use bytes::{BufMut, BytesMut};
use serde_json::Value;

use super::{RequestError, Response, Session};
use crate::api::{ApiError, Reply};
use crate::batch::completion::{CompletionBuilder, CompletionDefaults};
use crate::batch::edge_access::EdgeAccess;
use crate::batch::store::unix_seconds;
use crate::edge::chat::Chat;
use crate::edge::service::{Part, Serving, Work};
use crate::net::http::{Body, Head, HttpError, LAST_CHUNK, put_chunk};
use crate::request_ids::is_request_id;

impl Session {
    /// Answers what is the live side's; none where a request is not.
    pub(super) async fn live(
        &mut self,
        head: &Head,
        body: &mut Body,
        path: &[&str],
    ) -> Result<Option<Response>, RequestError> {
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
        Ok(Some(Response::Reply(Reply::json(reply))))
    }

    async fn chat(
        &mut self,
        live: &EdgeAccess,
        head: &Head,
        body: &mut Body,
    ) -> Result<Response, RequestError> {
        let arrived = self.message(head, body).await?;
        let mut chat = Chat::read(&arrived.bytes)?;
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
        let work = Work {
            caller: self.caller.clone(),
            chat,
            class: head.get("x-qos").map(String::from),
            patience,
            received,
            trace,
            live: true,
            client: Some(self.peer.presence()),
        };
        let started = tokio::select! {
            biased;
            started = live.edge.start(work) => started,
            // its drop calls the attempt off and ends the reservation
            () = self.peer.wait_for_disconnect() => return Err(RequestError::Http(HttpError::ConnectionClosed)),
        };
        match started {
            Ok(serving) => Ok(Response::Chat(Box::new(serving), stream)),
            Err(declined) => Err(declined.error.into()),
        }
    }

    /// Passes an answer on: as its events come, or put together at its end.
    pub(super) async fn chat_answer(
        &mut self,
        head: &Head,
        mut serving: Serving,
        stream: bool,
        close: bool,
    ) -> Result<(), HttpError> {
        if !stream {
            return self.whole_answer(head, serving, close).await;
        }
        let mut out = BytesMut::new();
        let model = serving.model();
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
                part = serving.next() => part,
                () = self.peer.wait_for_disconnect() => return Err(HttpError::ConnectionClosed),
            };
            let done = part == Part::Done;
            match part {
                Part::Data(bytes) => put_chunk(&mut out, &bytes),
                Part::Done => out.put_slice(LAST_CHUNK),
                // the connection ends without the last chunk: what came is no whole answer
                Part::Broken => return Err(HttpError::ConnectionClosed),
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
        mut serving: Serving,
        close: bool,
    ) -> Result<(), HttpError> {
        let mut all = CompletionBuilder::default();
        let whole = loop {
            let part = tokio::select! {
                biased;
                part = serving.next() => part,
                () = self.peer.wait_for_disconnect() => return Err(HttpError::ConnectionClosed),
            };
            match part {
                Part::Data(bytes) => all.add(&bytes),
                Part::Done => break true,
                Part::Broken => break false,
            }
        };
        let broken = |what: String| ApiError::new(502, None, what).code("answer_broken");
        let model = serving.model().to_string();
        let answer = match whole {
            true => all
                .finish(CompletionDefaults {
                    trace_id: serving.trace.id(),
                    created_at: unix_seconds(),
                    model: &Value::from(model.clone()),
                })
                .map_err(|e| broken(e.to_string())),
            false => Err(broken("the answer broke off; it may have run".into())),
        };
        let reply = match answer {
            Ok(mut body) => {
                if let Some(why) = serving.cut() {
                    body["stilespan"] = why.clone();
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
