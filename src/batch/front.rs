//! The batch front's HTTP API: files, resumable uploads and batches.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncSeekExt};
use tokio::sync::{Semaphore, mpsc};
use tracing::debug;

use super::jobs::{JobError, Jobs, Order};
use super::live::Live;
use super::store::{FileInfo, Store, StoreError};
use crate::api::{ApiError, Reply, reason};
use crate::edge::service::Serving;
use crate::edge::{Caller, Edge};
use crate::net::http::{Body, Framing, Head, HttpError, MAX_BODY, plain};
use crate::net::listener::{Arrived, Next, Patience, Peer, Remainder, RequestEnd};

/// What a connection's client owes: on a poor link a head or a message takes its time, and a new connection too.
/// Where sockets run out those that keep others waiting go first all the same.
pub const OWED: Patience = Patience { idle: Duration::from_secs(15), arriving: Duration::from_secs(10) };
/// Room for messages that arrive, in KiB.
const ROOM: usize = 2 << 10;

/// A link that brings nothing of an upload for so long has failed; what came stays.
const STALLED: Duration = Duration::from_secs(60);
/// Read from the spool at a time.
const READ: usize = 32 << 10;
/// What a form may hold beside its file.
const FORM: u64 = 64 << 10;
/// Idempotency keys that are remembered.
const KEYS: usize = 1024;
/// Objects in a page of a list: unless asked otherwise, and at the most.
const PAGE: (usize, usize) = (20, 100);

/// What all connections share.
pub struct Front {
    store: Store,
    jobs: Jobs,
    endpoints: Vec<String>,
    longest: Duration,
    keys: Mutex<Keys>,
    room: Arc<Semaphore>,
    pub(super) live: Option<Live>,
}

/// What was created under an idempotency key.
#[derive(Default)]
struct Keys {
    random: RandomState,
    made: HashMap<String, (u64, Option<String>)>,
    order: VecDeque<String>,
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
        Front { store, jobs, endpoints, longest, keys: Mutex::default(), room, live }
    }

    fn edge(&self) -> Option<&Arc<Edge>> {
        self.live.as_ref().map(|live| &live.edge)
    }

    /// Whether a key is new (none), or what it made; the same key for something else is an error.
    fn key(&self, key: &str, asked: &[u8]) -> Result<Option<String>, ApiError> {
        if key.is_empty() || key.len() > 255 {
            return Err(ApiError::new(400, "Idempotency-Key", "Idempotency-Key must hold 1 to 255 bytes"));
        }
        let mut keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        let asked = keys.random.hash_one(asked);
        match keys.made.get(key) {
            Some((for_what, _)) if *for_what != asked => Err(ApiError::new(
                422,
                "Idempotency-Key",
                "this Idempotency-Key was used for another request",
            )),
            Some((_, Some(id))) => Ok(Some(id.clone())),
            Some((_, None)) => Err(ApiError::new(409, "Idempotency-Key", "the first request is under way")),
            None => {
                if keys.order.len() >= KEYS
                    && let Some(oldest) = keys.order.pop_front()
                {
                    keys.made.remove(&oldest);
                }
                keys.order.push_back(key.to_string());
                keys.made.insert(key.to_string(), (asked, None));
                Ok(None)
            }
        }
    }

    /// What a key made; nothing, and it can be used again.
    fn made(&self, key: &str, id: Option<&str>) {
        let mut keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        match id {
            Some(id) => {
                keys.made.entry(key.to_string()).and_modify(|m| m.1 = Some(id.to_string()));
            }
            None => {
                keys.made.remove(key);
                keys.order.retain(|k| k != key);
            }
        }
    }
}

impl From<StoreError> for ApiError {
    fn from(e: StoreError) -> ApiError {
        let status = match e {
            StoreError::Unknown => 404,
            StoreError::Busy | StoreError::Unfinished | StoreError::Offset(_) => 409,
            StoreError::TooLarge(_) => 413,
            StoreError::Full => 507,
            StoreError::Io(_) => 500,
        };
        let error = ApiError::new(status, None, e.to_string());
        if let StoreError::Offset(at) = e { error.with("Upload-Offset", at.to_string()) } else { error }
    }
}

impl From<JobError> for ApiError {
    fn from(e: JobError) -> ApiError {
        match e {
            JobError::Unknown => ApiError::new(404, None, e.to_string()),
            JobError::Ended => ApiError::new(409, None, e.to_string()),
            JobError::Full => ApiError::new(429, None, e.to_string()),
            JobError::File(StoreError::Unknown) => ApiError::new(404, "input_file_id", e.to_string()),
            JobError::File(_) => ApiError::new(400, "input_file_id", e.to_string()),
        }
    }
}

/// What goes wrong on a request: the client is told, or the connection is over.
pub(super) enum Wrong {
    Api(ApiError),
    Http(HttpError),
}

impl From<HttpError> for Wrong {
    fn from(e: HttpError) -> Wrong {
        Wrong::Http(e)
    }
}

impl<E: Into<ApiError>> From<E> for Wrong {
    fn from(e: E) -> Wrong {
        Wrong::Api(e.into())
    }
}

/// What is left to do for a request.
pub(super) enum Then {
    Reply(Reply),
    Content(Box<(tokio::fs::File, FileInfo)>),
    Chat(Box<Serving>, bool),
}

/// Serves one client's connection to its end.
pub async fn run(front: Arc<Front>, peer: Peer) {
    let mut session = Session { front, peer, id: String::new(), caller: Caller::default() };
    loop {
        let head = match session.peer.next().await {
            Next::Request(head) => head,
            Next::Bad(e) => return session.turn_down(&e).await,
            Next::End => return session.peer.close(Remainder::Nothing).await,
            Next::Gone => return,
        };
        session.id = session.front.store.fresh_id("req_");
        let mut body = match head.framing(false) {
            Ok(framing) => Body::new(framing),
            Err(e) => return session.turn_down(&e).await,
        };
        let done = session.request(&head, &mut body).await;
        if body.done() {
            session.peer.arrived();
        }
        // an answer ahead of the body's end leaves the rest of it on the connection
        let close = head.closes() || !body.done() || session.peer.ending();
        let written = match done {
            Ok(Then::Reply(reply)) => session.reply(&head, reply, close).await,
            Ok(Then::Content(content)) => session.content(&head, *content, close).await,
            Ok(Then::Chat(serving, stream)) => session.chat_answer(&head, *serving, stream, close).await,
            Err(Wrong::Api(e)) => session.error(&head, e, close).await,
            Err(Wrong::Http(e)) => return session.turn_down(&e).await,
        };
        match written {
            Ok(()) if !close => {}
            Ok(()) => return session.peer.close(Remainder::Body(body)).await,
            Err(e) => return debug!("a batch client: {e}"),
        }
    }
}

pub(super) struct Session {
    pub(super) front: Arc<Front>,
    pub(super) peer: Peer,
    /// The id of the request at hand.
    pub(super) id: String,
    /// Who makes it.
    pub(super) caller: Caller,
}

impl Session {
    async fn turn_down(mut self, e: &HttpError) {
        debug!("a batch client's bytes: {e}");
        if let Some((status, _)) = e.status() {
            let _ = self.error(&Head::default(), ApiError::new(status, None, e.to_string()), true).await;
            self.peer.close(Remainder::Noise).await;
        }
    }

    async fn error(&mut self, head: &Head, e: ApiError, close: bool) -> Result<(), HttpError> {
        self.reply(head, Reply::from(&e), close).await
    }

    pub(super) async fn reply(&mut self, head: &Head, reply: Reply, close: bool) -> Result<(), HttpError> {
        let body = reply.body.map(|b| b.to_string()).unwrap_or_default();
        let mut text =
            format!("HTTP/1.1 {} {}\r\nx-request-id: {}\r\n", reply.status, reason(reply.status), self.id);
        for (name, value) in reply.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if close {
            text.push_str("Connection: close\r\n");
        }
        if reply.status != 204 {
            text.push_str(&format!("Content-Type: application/json\r\nContent-Length: {}\r\n", body.len()));
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
            Some(edge) => edge.identify(head.get("authorization"))?,
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
                let all = all.iter().filter(|f| caller.sees(&f.owner)).map(FileInfo::object).collect();
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
                Reply { headers, ..Reply::json(info.object()) }
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
        self.front
            .store
            .info(id)
            .and_then(|info| if self.caller.sees(&info.owner) { Ok(info) } else { Err(StoreError::Unknown) })
    }

    /// An idempotency key as it is remembered: each caller has its own.
    fn key(&self, head: &Head, kind: &str) -> Option<String> {
        let node = self.caller.node().unwrap_or_default();
        head.get("idempotency-key").map(|k| format!("{kind} {node} {k}"))
    }

    /// A body of the size of a message.
    pub(super) async fn small(&mut self, head: &Head, body: &mut Body) -> Result<Bytes, Wrong> {
        Ok(self.message(head, body).await?.body)
    }

    /// The same, with when it came.
    pub(super) async fn message(&mut self, head: &Head, body: &mut Body) -> Result<Arrived, Wrong> {
        self.peer.go_on(head).await?;
        let arrived = self.peer.whole(body, MAX_BODY, &self.front.room, None).await?;
        self.peer.arrived();
        Ok(arrived)
    }

    /// `POST /v1/files`: a form with `purpose` and `file`; the file streams to the spool.
    async fn upload_form(&mut self, head: &Head, body: &mut Body) -> Result<Reply, Wrong> {
        let bad = |message: &str| ApiError::new(400, "file", message);
        let boundary = head.get("content-type").and_then(|t| multer::parse_boundary(t).ok());
        let boundary = boundary.ok_or_else(|| bad("the body must be multipart/form-data"))?;
        let most = self.front.store.most() + FORM;
        if matches!(head.framing(false)?, Framing::Length(n) if n > most) {
            return Err(StoreError::TooLarge(self.front.store.most()).into());
        }
        self.peer.go_on(head).await?;
        let (to, mut from) = mpsc::channel::<Result<Bytes, std::io::Error>>(4);
        let stream = futures_util::stream::poll_fn(move |context| from.poll_recv(context));
        let caller = self.caller.clone();
        let form = read_form(&self.front.store, multer::Multipart::new(stream, boundary), &caller);
        let peer = &mut self.peer;
        // owns the sender, whose drop ends the form's stream
        let fed = async move {
            loop {
                let Some(bytes) = peer.upload(body, STALLED).await? else {
                    return Ok::<(), HttpError>(());
                };
                // a form that has been turned down wants no more of it
                if to.send(Ok(bytes)).await.is_err() {
                    return Ok(());
                }
            }
        };
        tokio::pin!(form, fed);
        let made = tokio::select! {
            made = &mut form => made,
            fed = &mut fed => match fed {
                Ok(()) => form.await,
                Err(e) => Err(e.into()),
            },
        };
        Ok(Reply::json(made?.object()))
    }

    /// `POST /v1/uploads`: an upload of a stated length, which then goes on by offset.
    async fn create_upload(&mut self, head: &Head, body: &mut Body) -> Result<Reply, Wrong> {
        let asked = self.small(head, body).await?;
        let total = head.get("upload-length").and_then(|n| n.parse::<u64>().ok());
        let total =
            total.ok_or(ApiError::new(400, "Upload-Length", "Upload-Length must tell the file's bytes"))?;
        let query = head.target.split_once('?').map_or("", |(_, q)| q);
        let name = form_urlencoded::parse(query.as_bytes()).find(|(k, _)| k == "filename");
        let name = name.map_or_else(|| "upload.jsonl".into(), |(_, v)| v.into_owned());
        let key = self.key(head, "upload");
        let known = match &key {
            Some(key) => self.front.key(key, format!("{total} {query} {asked:?}").as_bytes())?,
            None => None,
        };
        let made = match known {
            Some(id) => self.front.store.info(&id),
            None => self.start_upload(&name, total).await,
        };
        if let Some(key) = &key {
            self.front.made(key, made.as_ref().ok().map(|m| m.id.as_str()));
        }
        let info = made?;
        let mut headers = offset(&info);
        headers.push(("Location", format!("/v1/uploads/{}", info.id)));
        Ok(Reply { status: 201, headers, body: Some(info.object()) })
    }

    async fn start_upload(&self, name: &str, total: u64) -> Result<FileInfo, StoreError> {
        let info = self.front.store.create(name, "batch", Some(total), &self.caller).await?;
        if total == 0 { self.front.store.append(&info.id, 0).await?.finish() } else { Ok(info) }
    }

    /// `PATCH /v1/uploads/ID`: what came of it stays, wherever the link breaks.
    async fn go_on_upload(&mut self, id: &str, head: &Head, body: &mut Body) -> Result<Reply, Wrong> {
        let at = head.get("upload-offset").and_then(|n| n.parse::<u64>().ok());
        let at =
            at.ok_or(ApiError::new(400, "Upload-Offset", "Upload-Offset must tell where these bytes go on"))?;
        self.file(id)?;
        let mut appender = self.front.store.append(id, at).await?;
        self.peer.go_on(head).await?;
        loop {
            let Some(bytes) = self.peer.upload(body, STALLED).await? else { break };
            appender.write(&bytes).await?;
        }
        let mut info = self.front.store.info(id)?;
        if info.total == Some(info.bytes) {
            info = appender.finish()?;
        }
        Ok(Reply::empty(204, offset(&info)))
    }

    /// `POST /v1/batches`.
    async fn create_batch(&mut self, head: &Head, body: &mut Body) -> Result<Reply, Wrong> {
        let text = self.small(head, body).await?;
        let asked: Value = serde_json::from_slice(&text)
            .map_err(|e| ApiError::new(400, None, format!("the body is no JSON: {e}")))?;
        let order = self.order(&asked)?;
        // a file of another's is none
        self.file(&order.input).map_err(JobError::File)?;
        let key = self.key(head, "batch");
        if let Some(key) = &key
            && let Some(id) = self.front.key(key, &text)?
        {
            return Ok(Reply::json(self.front.jobs.get(&id, &self.caller)?));
        }
        let made = self.front.jobs.create(order).await;
        if let Some(key) = &key {
            self.front.made(key, made.as_ref().ok().and_then(|m| m["id"].as_str()));
        }
        Ok(Reply::json(made?))
    }

    fn order(&self, asked: &Value) -> Result<Order, ApiError> {
        let text = |name: &'static str| {
            let value =
                asked[name].as_str().ok_or_else(|| ApiError::new(400, name, format!("{name} must be text")));
            value.map(String::from)
        };
        let (input, endpoint, window) =
            (text("input_file_id")?, text("endpoint")?, text("completion_window")?);
        if !self.front.endpoints.contains(&endpoint) {
            let known = self.front.endpoints.join(", ");
            return Err(ApiError::new(400, "endpoint", format!("endpoint must be one of {known}")));
        }
        let length = length(&window).filter(|l| *l <= self.front.longest && !l.is_zero());
        let length = length.ok_or_else(|| {
            ApiError::new(
                400,
                "completion_window",
                "completion_window must be a time such as 24h or 30m, within the limit",
            )
        })?;
        let metadata = asked["metadata"].clone();
        if !metadata.is_null() && metadata.as_object().is_none_or(|m| m.len() > 16) {
            return Err(ApiError::new(400, "metadata", "metadata must be an object of 16 entries at most"));
        }
        Ok(Order { input, endpoint, window: (window, length), metadata, caller: self.caller.clone() })
    }

    /// Sends a file, or the range of it that is asked for.
    async fn content(
        &mut self,
        head: &Head,
        (mut file, info): (tokio::fs::File, FileInfo),
        close: bool,
    ) -> Result<(), HttpError> {
        let tag = format!("\"{}-{}\"", info.id, info.bytes);
        // a range of another state of the file would be no help: then the whole of it goes out
        let same = head.get("if-range").is_none_or(|t| t == tag);
        let range = head.get("range").filter(|_| same).map(|r| range(r, info.bytes));
        let (status, from, to) = match range {
            None | Some(Range::Whole) => (200, 0, info.bytes),
            Some(Range::Part(from, to)) => (206, from, to),
            Some(Range::None) => {
                let e = ApiError::new(416, "Range", "no such bytes");
                let e = e.with("Content-Range", format!("bytes */{}", info.bytes));
                return self.error(head, e, close).await;
            }
        };
        let mut text = format!("HTTP/1.1 {status} {}\r\nContent-Type: application/jsonl\r\n", reason(status));
        text.push_str(&format!("x-request-id: {}\r\n", self.id));
        text.push_str(&format!("Content-Length: {}\r\nAccept-Ranges: bytes\r\nETag: {tag}\r\n", to - from));
        if status == 206 {
            text.push_str(&format!("Content-Range: bytes {from}-{}/{}\r\n", to - 1, info.bytes));
        }
        text.push_str(if close { "Connection: close\r\n\r\n" } else { "\r\n" });
        self.peer.write(text.as_bytes()).await?;
        if head.method == "HEAD" {
            self.peer.ends(RequestEnd::Answered);
            return Ok(());
        }
        file.seek(std::io::SeekFrom::Start(from)).await?;
        let mut rest = file.take(to - from);
        let mut room = vec![0; READ];
        let mut sent = 0;
        while sent < to - from {
            let n = rest.read(&mut room).await?;
            if n == 0 {
                return Err(HttpError::Ended);
            }
            self.peer.write(&room[..n]).await?;
            sent += n as u64;
        }
        self.peer.ends(RequestEnd::Answered);
        Ok(())
    }
}

/// Reads an upload's form.
async fn read_form(
    store: &Store,
    mut form: multer::Multipart<'_>,
    caller: &Caller,
) -> Result<FileInfo, Wrong> {
    let bad = |message: String| ApiError::new(400, "file", message);
    let mut purpose = None;
    let mut made: Option<FileInfo> = None;
    let done = async {
        while let Some(mut field) = form.next_field().await.map_err(|e| bad(e.to_string()))? {
            if field.name() == Some("file") && made.is_none() {
                let name = field.file_name().filter(|n| plain(n)).unwrap_or("upload.jsonl").to_string();
                let info = made.insert(store.create(&name, "batch", None, caller).await?);
                let mut appender = store.append(&info.id, 0).await?;
                while let Some(bytes) = field.chunk().await.map_err(|e| bad(e.to_string()))? {
                    appender.write(&bytes).await?;
                }
            } else {
                let mut text = Vec::new();
                let named = field.name() == Some("purpose");
                while let Some(bytes) = field.chunk().await.map_err(|e| bad(e.to_string()))? {
                    if text.len() + bytes.len() > FORM as usize {
                        return Err(bad("a field of the form is too long".into()));
                    }
                    text.extend_from_slice(&bytes);
                }
                if named {
                    purpose = Some(String::from_utf8_lossy(&text).into_owned());
                }
            }
        }
        if purpose.as_deref() != Some("batch") {
            return Err(ApiError::new(400, "purpose", "purpose must be batch"));
        }
        let info = made.as_ref().ok_or_else(|| bad("the form holds no file".into()))?;
        let bytes = store.info(&info.id)?.bytes;
        Ok(store.append(&info.id, bytes).await?.finish()?)
    };
    let done = done.await;
    if let (Err(_), Some(info)) = (&done, &made) {
        // a form can't be gone on with: what came of it is of no use
        let _ = store.remove(&info.id).await;
    }
    Ok(done?)
}

fn offset(info: &FileInfo) -> Vec<(&'static str, String)> {
    let mut headers = vec![("Upload-Offset", info.bytes.to_string())];
    headers.extend(info.total.map(|t| ("Upload-Length", t.to_string())));
    headers.push(("Cache-Control", "no-store".into()));
    headers
}

/// A page of a list: `limit` objects behind the one named by `after`.
fn page(head: &Head, all: Vec<Value>) -> Result<Value, ApiError> {
    let query = head.target.split_once('?').map_or("", |(_, q)| q);
    let value =
        |name: &str| form_urlencoded::parse(query.as_bytes()).find(|(k, _)| k == name).map(|(_, v)| v);
    let limit = match value("limit") {
        None => PAGE.0,
        Some(text) => match text.parse::<usize>() {
            Ok(n) if (1..=PAGE.1).contains(&n) => n,
            _ => return Err(ApiError::new(400, "limit", format!("limit must be 1 to {}", PAGE.1))),
        },
    };
    let start = match value("after") {
        None => 0,
        Some(id) => {
            let at = all.iter().position(|o| o["id"] == *id);
            1 + at.ok_or(ApiError::new(400, "after", "after names no object of the list"))?
        }
    };
    let more = all.len() > start + limit;
    let data: Vec<Value> = all.into_iter().skip(start).take(limit).collect();
    let id = |o: Option<&Value>| o.map_or(Value::Null, |o| o["id"].clone());
    let (first, last) = (id(data.first()), id(data.last()));
    Ok(json!({"object": "list", "data": data, "first_id": first, "last_id": last, "has_more": more}))
}

/// What a `Range` asks for.
#[derive(Debug, PartialEq)]
enum Range {
    Whole,
    /// From the first to before the second byte.
    Part(u64, u64),
    None,
}

/// Reads a `Range`; more than one range, or another unit, comes to the whole, as the standard allows.
fn range(text: &str, size: u64) -> Range {
    let Some((from, to)) = text.strip_prefix("bytes=").and_then(|r| r.split_once('-')) else {
        return Range::Whole;
    };
    match (from.trim().parse::<u64>(), to.trim().parse::<u64>()) {
        (Ok(from), Ok(to)) if from > to => Range::Whole,
        (Ok(from), _) if from >= size => Range::None,
        (Ok(from), Ok(to)) => Range::Part(from, to.saturating_add(1).min(size)),
        (Ok(from), Err(_)) if to.trim().is_empty() => Range::Part(from, size),
        (Err(_), Ok(0)) if from.trim().is_empty() => Range::None,
        (Err(_), Ok(last)) if from.trim().is_empty() && size > 0 => {
            Range::Part(size.saturating_sub(last), size)
        }
        _ => Range::Whole,
    }
}

/// A time as `24h`, `30m`, `90s` or `7d`.
fn length(text: &str) -> Option<Duration> {
    let unit = match text.chars().last()? {
        's' => 1,
        'm' => 60,
        'h' => 3600,
        'd' => 86_400,
        _ => return None,
    };
    let n: u64 = text[..text.len() - 1].parse().ok()?;
    Some(Duration::from_secs(n.checked_mul(unit)?))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ranges_are_read_as_the_standard_has_them() {
        assert_eq!(range("bytes=0-4", 10), Range::Part(0, 5));
        assert_eq!(range("bytes=7-", 10), Range::Part(7, 10));
        assert_eq!(range("bytes=-3", 10), Range::Part(7, 10));
        assert_eq!(range("bytes=7-99", 10), Range::Part(7, 10));
        assert_eq!(range("bytes=10-", 10), Range::None);
        assert_eq!(range("bytes=5-2", 10), Range::Whole);
        assert_eq!(range("lines=1-2", 10), Range::Whole);
    }
}
