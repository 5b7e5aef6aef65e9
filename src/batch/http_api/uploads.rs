//! Files handed in: by a form, or as uploads that go on by offset.

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::api::{ApiError, Reply};
use crate::batch::store::{FileInfo, NewFile, Store, StoreError};
use crate::edge::Caller;
use crate::net::http::{Body, Framing, Head, HttpError, is_safe_header_value};

use super::{FORM, RequestError, STALLED, Session};

impl Session {
    /// `POST /v1/files`: a form with `purpose` and `file`; the file streams to the spool.
    pub(super) async fn upload_form(
        &mut self,
        head: &Head,
        body: &mut Body,
    ) -> Result<Reply, RequestError> {
        let bad = |message: &str| ApiError::new(400, "file", message);
        let boundary = head
            .get("content-type")
            .and_then(|t| multer::parse_boundary(t).ok());
        let boundary = boundary.ok_or_else(|| bad("the body must be multipart/form-data"))?;
        let max_bytes = self.front.store.max_file_bytes();
        let most = max_bytes + FORM;
        if matches!(head.framing(false)?, Framing::Length(n) if n > most) {
            return Err(StoreError::TooLarge { max_bytes }.into());
        }
        self.peer.send_continue(head).await?;
        let (to, mut from) = mpsc::channel::<Result<Bytes, std::io::Error>>(4);
        let stream = futures_util::stream::poll_fn(move |context| from.poll_recv(context));
        let caller = self.caller.clone();
        let form = read_form(
            &self.front.store,
            multer::Multipart::new(stream, boundary),
            &caller,
        );
        let peer = &mut self.peer;
        // owns the sender, whose drop ends the form's stream
        let fed = async move {
            loop {
                let Some(bytes) = peer.receive_upload_part(body, STALLED).await? else {
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
    pub(super) async fn create_upload(
        &mut self,
        head: &Head,
        body: &mut Body,
    ) -> Result<Reply, RequestError> {
        let asked = self.small(head, body).await?;
        let total = head
            .get("upload-length")
            .and_then(|n| n.parse::<u64>().ok());
        let total = total.ok_or(ApiError::new(
            400,
            "Upload-Length",
            "Upload-Length must tell the file's bytes",
        ))?;
        let query = head.target.split_once('?').map_or("", |(_, q)| q);
        let name = form_urlencoded::parse(query.as_bytes()).find(|(k, _)| k == "filename");
        let name = name.map_or_else(|| "upload.jsonl".into(), |(_, v)| v.into_owned());
        let key = self.key(head, "upload");
        let known = match &key {
            Some(key) => self
                .front
                .keys
                .take(key, format!("{total} {query} {asked:?}").as_bytes())?,
            None => None,
        };
        let made = match known {
            Some(id) => self.front.store.info(&id),
            None => self.start_upload(&name, total).await,
        };
        if let Some(key) = &key {
            self.front
                .keys
                .made(key, made.as_ref().ok().map(|m| m.id.as_str()));
        }
        let info = made?;
        let mut headers = offset(&info);
        headers.push(("Location", format!("/v1/uploads/{}", info.id)));
        Ok(Reply {
            status: 201,
            headers,
            body: Some(info.object()),
        })
    }

    pub(super) async fn start_upload(
        &self,
        name: &str,
        total: u64,
    ) -> Result<FileInfo, StoreError> {
        let new = NewFile {
            name,
            purpose: "batch",
            total_bytes: Some(total),
            owner: &self.caller,
        };
        let info = self.front.store.create(new).await?;
        if total == 0 {
            self.front.store.append(&info.id, 0).await?.finish()
        } else {
            Ok(info)
        }
    }

    /// `PATCH /v1/uploads/ID`: what came of it stays, wherever the link breaks.
    pub(super) async fn go_on_upload(
        &mut self,
        id: &str,
        head: &Head,
        body: &mut Body,
    ) -> Result<Reply, RequestError> {
        let at = head
            .get("upload-offset")
            .and_then(|n| n.parse::<u64>().ok());
        let at = at.ok_or(ApiError::new(
            400,
            "Upload-Offset",
            "Upload-Offset must tell where these bytes go on",
        ))?;
        self.file(id)?;
        let mut appender = self.front.store.append(id, at).await?;
        self.peer.send_continue(head).await?;
        loop {
            let Some(bytes) = self.peer.receive_upload_part(body, STALLED).await? else {
                break;
            };
            appender.write(&bytes).await?;
        }
        let mut info = self.front.store.info(id)?;
        if info.total_bytes == Some(info.bytes) {
            info = appender.finish()?;
        }
        Ok(Reply::empty(204, offset(&info)))
    }
}

/// Reads an upload's form.
async fn read_form(
    store: &Store,
    mut form: multer::Multipart<'_>,
    caller: &Caller,
) -> Result<FileInfo, RequestError> {
    let bad = |message: String| ApiError::new(400, "file", message);
    let mut purpose = None;
    let mut made: Option<FileInfo> = None;
    let done = async {
        while let Some(mut field) = form.next_field().await.map_err(|e| bad(e.to_string()))? {
            if field.name() == Some("file") && made.is_none() {
                let name = field
                    .file_name()
                    .filter(|n| is_safe_header_value(n))
                    .unwrap_or("upload.jsonl")
                    .to_string();
                let new = NewFile {
                    name: &name,
                    purpose: "batch",
                    total_bytes: None,
                    owner: caller,
                };
                let info = made.insert(store.create(new).await?);
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
        let info = made
            .as_ref()
            .ok_or_else(|| bad("the form holds no file".into()))?;
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

pub(super) fn offset(info: &FileInfo) -> Vec<(&'static str, String)> {
    let mut headers = vec![("Upload-Offset", info.bytes.to_string())];
    headers.extend(info.total_bytes.map(|t| ("Upload-Length", t.to_string())));
    headers.push(("Cache-Control", "no-store".into()));
    headers
}
