//! `/v1/uploads`: resumable uploads. Clients append each part at an explicit offset.

use std::time::Duration;

use super::errors::RequestError;
use super::idempotency::Claim;
use super::pagination::{query, query_value};
use super::response::Response;
use super::routes::method_not_allowed;
use super::session::Session;
use crate::api::{ApiError, Reply};
use crate::batch::store::{Appender, FileInfo, FileSize, NewFile, StoreError};
use crate::net::http::{Body, Head};

/// The connection of an upload is considered failed after this time without a byte. The bytes that
/// have arrived are kept.
pub(super) const UPLOAD_STALL_TIMEOUT: Duration = Duration::from_secs(60);
/// The file name that is used if the client provides none.
pub(super) const DEFAULT_FILE_NAME: &str = "upload.jsonl";
/// The purpose of batch input files.
pub(super) const INPUT_PURPOSE: &str = "batch";

impl Session {
    /// Handles a request for uploads. `path`: the segments after `/v1/uploads`.
    pub(super) async fn route_uploads(
        &mut self,
        head: &Head,
        body: &mut Body,
        path: &[&str],
    ) -> Result<Response, RequestError> {
        let reply = match (head.method.as_str(), path) {
            ("POST", []) => self.create_upload(head, body).await?,
            ("HEAD" | "GET", [id]) => {
                let info = self.visible_file(id)?;
                Reply {
                    headers: offset_headers(&info),
                    ..Reply::json(info.object())
                }
            }
            ("PATCH", [id]) => self.append_upload(id, head, body).await?,
            _ => return Err(method_not_allowed().into()),
        };
        Ok(reply.into())
    }

    /// Creates an upload whose total length is given by `Upload-Length`.
    async fn create_upload(&mut self, head: &Head, body: &mut Body) -> Result<Reply, RequestError> {
        let received = self.receive_body(head, body).await?.bytes;
        let total = number_header(head, "upload-length").ok_or(ApiError::new(
            400,
            "Upload-Length",
            "Upload-Length must tell the file's bytes",
        ))?;
        let query = query(head);
        let name = query_value(head, "filename").unwrap_or_else(|| DEFAULT_FILE_NAME.into());
        let info = match self.idempotency_key(head, "upload") {
            None => self.start_upload(&name, total).await?,
            Some(key) => {
                let request = format!("{total} {query} {received:?}");
                self.start_upload_once(&key, &request, &name, total).await?
            }
        };
        let mut headers = offset_headers(&info);
        headers.push(("Location", format!("/v1/uploads/{}", info.id)));
        Ok(Reply {
            status: 201,
            headers,
            body: Some(info.object()),
        })
    }

    /// Starts an upload, or returns the file of an earlier request with the same idempotency key.
    async fn start_upload_once(
        &self,
        key: &str,
        request: &str,
        name: &str,
        total: u64,
    ) -> Result<FileInfo, RequestError> {
        let keys = &self.context.idempotency_keys;
        let created = match keys.claim(key, request.as_bytes())? {
            Claim::Created(id) => self.context.store.info(&id),
            Claim::New => self.start_upload(name, total).await,
        };
        let info = created.as_ref().ok();
        keys.complete(key, info.map(|info| info.id.as_str()));
        Ok(created?)
    }

    async fn start_upload(&self, name: &str, total: u64) -> Result<FileInfo, StoreError> {
        let store = &self.context.store;
        let new = NewFile {
            name,
            purpose: INPUT_PURPOSE,
            size: FileSize::Announced(total),
            owner: &self.caller,
        };
        let info = store.create(new).await?;
        if total == 0 {
            return store.append(&info.id, 0).await?.finish();
        }
        Ok(info)
    }

    /// Appends a part to an upload. If the connection breaks, the bytes that have arrived are kept.
    async fn append_upload(
        &mut self,
        id: &str,
        head: &Head,
        body: &mut Body,
    ) -> Result<Reply, RequestError> {
        let offset = number_header(head, "upload-offset").ok_or(ApiError::new(
            400,
            "Upload-Offset",
            "Upload-Offset must tell where these bytes go on",
        ))?;
        self.visible_file(id)?;
        let context = self.context.clone();
        let mut appender = context.store.append(id, offset).await?;
        self.connection.send_continue(head).await?;
        let received = self.receive_upload(body, &mut appender).await;
        // the connection may have ended after the last byte of the upload
        let mut info = context.store.info(id)?;
        if info.total_bytes == Some(info.bytes) {
            info = appender.finish()?;
        }
        received?;
        Ok(Reply::empty(204, offset_headers(&info)))
    }

    async fn receive_upload(
        &mut self,
        body: &mut Body,
        appender: &mut Appender,
    ) -> Result<(), RequestError> {
        while let Some(bytes) = self
            .connection
            .receive_upload_part(body, UPLOAD_STALL_TIMEOUT)
            .await?
        {
            appender.write(&bytes).await?;
        }
        Ok(())
    }
}

fn number_header(head: &Head, name: &str) -> Option<u64> {
    head.get(name)?.parse().ok()
}

/// The headers that tell the client at which offset to resume an upload.
fn offset_headers(info: &FileInfo) -> Vec<(&'static str, String)> {
    let mut headers = vec![("Upload-Offset", info.bytes.to_string())];
    if let Some(total) = info.total_bytes {
        headers.push(("Upload-Length", total.to_string()));
    }
    headers.push(("Cache-Control", "no-store".into()));
    headers
}
