//! The batch front's HTTP API: files, resumable uploads and batches.

mod batches;
mod content;
mod errors;
mod idempotency;
mod uploads;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde_json::json;
use tokio::sync::Semaphore;
use tracing::debug;

use crate::api::{ApiError, Reply, reason};
use crate::batch::jobs::Jobs;
use crate::batch::live::Live;
use crate::batch::store::{FileInfo, Store, StoreError};
use crate::edge::{AnswerStream, Caller, Edge};
use crate::net::http::{Body, Head, HttpError, MAX_BODY_BYTES};
use crate::net::listener::{
    ClientConnection, ClientTimeouts, NextRequest, ReceivedBody, UnreadRemainder,
};

use batches::page;
pub(in crate::batch) use errors::Wrong;
use idempotency::IdempotencyKeys;
use uploads::offset;

/// What a connection's client owes: on a poor link a head or a message takes its time, and a new
/// connection too. Where sockets run out those that keep others waiting go first all the same.
pub const CLIENT_TIMEOUTS: ClientTimeouts = ClientTimeouts {
    idle: Duration::from_secs(15),
    request: Duration::from_secs(10),
};
/// Room for messages that arrive, in KiB.
const ROOM: usize = 2 << 10;

/// A link that brings nothing of an upload for so long has failed; what came stays.
const STALLED: Duration = Duration::from_secs(60);
/// Read from the spool at a time.
const READ: usize = 32 << 10;
/// What a form may hold beside its file.
const FORM: u64 = 64 << 10;
/// Objects in a page of a list: unless asked otherwise, and at the most.
const PAGE: (usize, usize) = (20, 100);

/// What all connections share.
pub struct Front {
    store: Store,
    jobs: Jobs,
    endpoints: Vec<String>,
    longest: Duration,
    keys: IdempotencyKeys,
    room: Arc<Semaphore>,
    pub(super) live: Option<Live>,
}

impl Front {
    /// A front to these files and batches.
    pub fn new(
        store: Store,
        jobs: Jobs,
        endpoints: Vec<String>,
        longest: Duration,
        live: Option<Live>,
    ) -> Front {
        let room = Arc::new(Semaphore::new(ROOM));
        Front {
            store,
            jobs,
            endpoints,
            longest,
            keys: IdempotencyKeys::default(),
            room,
            live,
        }
    }

    fn edge(&self) -> Option<&Arc<Edge>> {
        self.live.as_ref().map(|live| &live.edge)
    }
}

/// What is left to do for a request.
pub(super) enum Then {
    Reply(Reply),
    Content(Box<(tokio::fs::File, FileInfo)>),
    Chat(Box<AnswerStream>, bool),
}

/// Serves one client's connection to its end.
pub async fn run(front: Arc<Front>, peer: ClientConnection) {
    let mut session = Session {
        front,
        peer,
        id: String::new(),
        caller: Caller::default(),
    };
    loop {
        let head = match session.peer.next_request().await {
            NextRequest::Received(head) => head,
            NextRequest::Invalid(e) => return session.turn_down(&e).await,
            NextRequest::Close => return session.peer.close(UnreadRemainder::Nothing).await,
            NextRequest::Drop => return,
        };
        session.id = session.front.store.fresh_id("req_");
        let mut body = match head.framing(false) {
            Ok(framing) => Body::new(framing),
            Err(e) => return session.turn_down(&e).await,
        };
        let done = session.request(&head, &mut body).await;
        if body.is_complete() {
            session.peer.request_received();
        }
        // an answer ahead of the body's end leaves the rest of it on the connection
        let close = head.closes() || !body.is_complete() || session.peer.is_shutting_down();
        let written = match done {
            Ok(Then::Reply(reply)) => session.reply(&head, reply, close).await,
            Ok(Then::Content(content)) => session.content(&head, *content, close).await,
            Ok(Then::Chat(serving, stream)) => {
                session.chat_answer(&head, *serving, stream, close).await
            }
            Err(Wrong::Api(e)) => session.error(&head, e, close).await,
            Err(Wrong::Http(e)) => return session.turn_down(&e).await,
        };
        match written {
            Ok(()) if !close => {}
            Ok(()) => return session.peer.close(UnreadRemainder::Body(body)).await,
            Err(e) => return debug!("a batch client: {e}"),
        }
    }
}

pub(super) struct Session {
    pub(super) front: Arc<Front>,
    pub(super) peer: ClientConnection,
    /// The id of the request at hand.
    pub(super) id: String,
    /// Who makes it.
    pub(super) caller: Caller,
}

impl Session {
    async fn turn_down(mut self, e: &HttpError) {
        debug!("a batch client's bytes: {e}");
        if let Some(status) = e.status() {
            let _ = self
                .error(
                    &Head::default(),
                    ApiError::new(status.code, None, e.to_string()),
                    true,
                )
                .await;
            self.peer.close(UnreadRemainder::Unframed).await;
        }
    }

    async fn error(&mut self, head: &Head, e: ApiError, close: bool) -> Result<(), HttpError> {
        self.reply(head, Reply::from(&e), close).await
    }

    pub(super) async fn reply(
        &mut self,
        head: &Head,
        reply: Reply,
        close: bool,
    ) -> Result<(), HttpError> {
        let body = reply.body.map(|b| b.to_string()).unwrap_or_default();
        let mut text = format!(
            "HTTP/1.1 {} {}\r\nx-request-id: {}\r\n",
            reply.status,
            reason(reply.status),
            self.id
        );
        for (name, value) in reply.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if close {
            text.push_str("Connection: close\r\n");
        }
        if reply.status != 204 {
            text.push_str(&format!(
                "Content-Type: application/json\r\nContent-Length: {}\r\n",
                body.len()
            ));
        }
        text.push_str("\r\n");
        if head.method != "HEAD" && reply.status != 204 {
            text.push_str(&body);
        }
        self.peer.write_last(text.as_bytes()).await
    }

    async fn request(&mut self, head: &Head, body: &mut Body) -> Result<Then, Wrong> {
        let path: Vec<&str> = head.path().trim_matches('/').split('/').collect();
        let Some(("v1", rest)) = path.split_first().map(|(first, rest)| (*first, rest)) else {
            if head.path() == "/_health" {
                return Ok(Then::Reply(Reply::json(json!({"status": "ready"}))));
            }
            return Err(ApiError::new(404, None, "no such path").into());
        };
        let front = self.front.clone();
        // ahead of the body, and of anything that could be learnt without a key
        self.caller = match front.edge() {
            Some(edge) => edge.authenticate(head.get("authorization"))?,
            None => Caller::default(),
        };
        if let Some(then) = self.live(head, body, rest).await? {
            return Ok(then);
        }
        let caller = self.caller.clone();
        let (store, jobs) = (&front.store, &front.jobs);
        let reply = match (head.method.as_str(), rest) {
            ("POST", ["files"]) => self.upload_form(head, body).await?,
            ("GET", ["files"]) => {
                let all = store.list();
                let all = all
                    .iter()
                    .filter(|f| caller.sees(&f.owner))
                    .map(FileInfo::object)
                    .collect();
                Reply::json(page(head, all)?)
            }
            ("GET", ["files", id]) => Reply::json(self.file(id)?.object()),
            ("DELETE", ["files", id]) => {
                self.file(id)?;
                store.remove(id).await?;
                Reply::json(json!({"id": id, "object": "file", "deleted": true}))
            }
            ("GET" | "HEAD", ["files", id, "content"]) => {
                self.file(id)?;
                return Ok(Then::Content(Box::new(store.read(id).await?)));
            }
            ("POST", ["uploads"]) => self.create_upload(head, body).await?,
            ("HEAD" | "GET", ["uploads", id]) => {
                let info = self.file(id)?;
                let headers = offset(&info);
                Reply {
                    headers,
                    ..Reply::json(info.object())
                }
            }
            ("PATCH", ["uploads", id]) => self.go_on_upload(id, head, body).await?,
            ("POST", ["batches"]) => self.create_batch(head, body).await?,
            ("GET", ["batches"]) => Reply::json(page(head, jobs.list(&caller))?),
            ("GET", ["batches", id]) => Reply::json(jobs.get(id, &caller)?),
            ("POST", ["batches", id, "cancel"]) => {
                self.small(head, body).await?;
                Reply::json(jobs.cancel(id, &caller)?)
            }
            (_, ["files" | "uploads" | "batches", ..]) => {
                return Err(ApiError::new(405, None, "no such method on this path").into());
            }
            _ => return Err(ApiError::new(404, None, "no such path").into()),
        };
        Ok(Then::Reply(reply))
    }

    /// A file of the caller's.
    fn file(&self, id: &str) -> Result<FileInfo, StoreError> {
        self.front.store.info(id).and_then(|info| {
            if self.caller.sees(&info.owner) {
                Ok(info)
            } else {
                Err(StoreError::Unknown)
            }
        })
    }

    /// An idempotency key as it is remembered: each caller has its own.
    fn key(&self, head: &Head, kind: &str) -> Option<String> {
        let node = self.caller.node().unwrap_or_default();
        head.get("idempotency-key")
            .map(|k| format!("{kind} {node} {k}"))
    }

    /// A body of the size of a message.
    pub(super) async fn small(&mut self, head: &Head, body: &mut Body) -> Result<Bytes, Wrong> {
        Ok(self.message(head, body).await?.bytes)
    }

    /// The same, with when it came.
    pub(super) async fn message(
        &mut self,
        head: &Head,
        body: &mut Body,
    ) -> Result<ReceivedBody, Wrong> {
        self.peer.send_continue(head).await?;
        let arrived = self
            .peer
            .receive_body(body, MAX_BODY_BYTES, &self.front.room, None)
            .await?;
        self.peer.request_received();
        Ok(arrived)
    }
}
