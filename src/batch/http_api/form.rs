//! `POST /v1/files`: uploads a file in a multipart form. The file is streamed to the spool.

use std::error::Error;
use std::sync::Arc;

use bytes::Bytes;
use multer::{Field, Multipart};
use tokio::sync::mpsc;

use super::errors::RequestError;
use super::form_input::{FormInput, FormUsage};
use super::session::Session;
use super::uploads::{DEFAULT_FILE_NAME, INPUT_PURPOSE, UPLOAD_STALL_TIMEOUT};
use crate::api::ApiError;
use crate::batch::store::{FileInfo, FileReservation, FileSize, NewFile, Store, StoreError};
use crate::edge::Caller;
use crate::net::http::{Body, Framing, Head, HttpError, is_safe_header_value};
use crate::net::listener::ClientConnection;

/// The maximum number of bytes in a form excluding its file, and in a single text field.
const MAX_FIELD_BYTES: usize = 64 << 10;
/// The maximum number of received parts of the body that wait to be parsed. There may be hundreds of
/// uploads at once.
const MAX_BUFFERED_PARTS: usize = 1;

impl Session {
    /// Receives a form with the fields `purpose` and `file`. Returns the file's description.
    pub(super) async fn upload_form(
        &mut self,
        head: &Head,
        body: &mut Body,
    ) -> Result<FileInfo, RequestError> {
        let content_type = head.get("content-type");
        let boundary = content_type.and_then(|text| multer::parse_boundary(text).ok());
        let boundary =
            boundary.ok_or_else(|| invalid_form("the body must be multipart/form-data"))?;
        let context = self.context.clone();
        let store = &context.store;
        let max_bytes = store.max_file_bytes();
        let max_body_bytes = max_bytes + MAX_FIELD_BYTES as u64;
        if matches!(head.request_framing()?, Framing::Length(length) if length > max_body_bytes) {
            return Err(StoreError::TooLarge { max_bytes }.into());
        }
        self.connection.send_continue(head).await?;
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_PARTS);
        let usage = Arc::<FormUsage>::default();
        let input = FormInput::new(receiver, usage.clone(), MAX_FIELD_BYTES);
        let upload = FormUpload {
            store,
            owner: &self.caller,
            file: None,
            purpose: None,
            usage,
        };
        let form = upload.read(Multipart::new(input, boundary));
        let forwarding = forward_body(&mut self.connection, body, sender);
        tokio::pin!(form, forwarding);
        let uploaded = tokio::select! {
            uploaded = &mut form => uploaded,
            forwarded = &mut forwarding => {
                forwarded?;
                form.await
            }
        };
        Ok(uploaded?)
    }
}

/// Forwards a body to the form parser. The parser's input ends when `sender` is dropped.
async fn forward_body(
    connection: &mut ClientConnection,
    body: &mut Body,
    sender: mpsc::Sender<Bytes>,
) -> Result<(), HttpError> {
    while let Some(bytes) = connection
        .receive_upload_part(body, UPLOAD_STALL_TIMEOUT)
        .await?
    {
        // the parser has rejected the form and dropped the receiver
        if sender.send(bytes).await.is_err() {
            break;
        }
    }
    Ok(())
}

/// An upload of a file in a form. When dropped before it has succeeded, its file is discarded, as
/// form uploads can't be resumed.
struct FormUpload<'a> {
    store: &'a Store,
    owner: &'a Caller,
    /// The file, after it has been created in the store.
    file: Option<FileReservation>,
    purpose: Option<String>,
    usage: Arc<FormUsage>,
}

impl FormUpload<'_> {
    /// Reads the form to its end.
    async fn read(mut self, mut form: Multipart<'_>) -> Result<FileInfo, ApiError> {
        while let Some(mut field) = form.next_field().await.map_err(malformed_form)? {
            if field.name() == Some("file") && self.file.is_none() {
                self.receive_file(&mut field).await?;
                continue;
            }
            let text = read_text(&mut field).await?;
            if field.name() == Some("purpose") {
                self.purpose = Some(text);
            }
        }
        if self.purpose.as_deref() != Some(INPUT_PURPOSE) {
            return Err(ApiError::new(400, "purpose", "purpose must be batch"));
        }
        let file = self.file;
        let file = file.ok_or_else(|| invalid_form("the form holds no file"))?;
        Ok(file.finish()?)
    }

    async fn receive_file(&mut self, field: &mut Field<'_>) -> Result<(), ApiError> {
        let name = field.file_name().filter(|name| is_safe_header_value(name));
        let new = NewFile {
            name: name.unwrap_or(DEFAULT_FILE_NAME),
            purpose: INPUT_PURPOSE,
            size: FileSize::Limited,
            owner: self.owner,
        };
        let file = self.file.insert(self.store.reserve(new)?);
        let mut appender = file.create().await?;
        self.usage.set_in_file(true);
        while let Some(bytes) = field.chunk().await.map_err(malformed_form)? {
            self.usage.file_bytes_read(bytes.len());
            appender.write(&bytes).await?;
        }
        self.usage.set_in_file(false);
        Ok(())
    }
}

async fn read_text(field: &mut Field<'_>) -> Result<String, ApiError> {
    let mut text = Vec::new();
    while let Some(bytes) = field.chunk().await.map_err(malformed_form)? {
        if text.len() + bytes.len() > MAX_FIELD_BYTES {
            return Err(invalid_form("a field of the form is too long"));
        }
        text.extend_from_slice(&bytes);
    }
    Ok(String::from_utf8_lossy(&text).into_owned())
}

fn malformed_form(error: multer::Error) -> ApiError {
    match error.source() {
        Some(source) => invalid_form(&source.to_string()),
        None => invalid_form(&error.to_string()),
    }
}

fn invalid_form(message: &str) -> ApiError {
    ApiError::new(400, "file", message)
}
