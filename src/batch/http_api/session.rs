//! Serves one client connection.

use std::sync::Arc;

use tracing::debug;

use super::context::HttpContext;
use super::errors::RequestError;
use super::reply;
use crate::api::{ApiError, Reply};
use crate::batch::store::{FileInfo, StoreError};
use crate::edge::Caller;
use crate::net::http::{Body, Head, HttpError, MAX_BODY_BYTES};
use crate::net::listener::{ClientConnection, ReceivedBody, UnreadRemainder};

/// One client connection, with the state of its current request.
pub(super) struct Session {
    pub(super) context: Arc<HttpContext>,
    pub(super) connection: ClientConnection,
    /// The id of the current request.
    pub(super) request_id: String,
    /// The caller of the current request.
    pub(super) caller: Caller,
}

impl Session {
    pub(super) fn new(context: Arc<HttpContext>, connection: ClientConnection) -> Session {
        Session {
            context,
            connection,
            request_id: String::new(),
            caller: Caller::default(),
        }
    }

    /// Assigns an id to the next request.
    pub(super) fn start_request(&mut self) {
        self.request_id = self.context.store.fresh_id("req_");
    }

    /// Sends an error for a request that could not be read, and closes the connection. If the error
    /// has no HTTP status, the connection is dropped without a response.
    pub(super) async fn reject_unreadable(mut self, error: &HttpError) {
        debug!("could not read a batch client's request: {error}; closing the connection");
        if let Some(status) = error.status() {
            let error = ApiError::new(status.code, None, error.to_string());
            let _ = self
                .reply(&Head::default(), &Reply::from(&error), true)
                .await;
            self.connection.close(UnreadRemainder::Unframed).await;
        }
    }

    /// Writes a reply.
    pub(super) async fn reply(
        &mut self,
        head: &Head,
        reply: &Reply,
        close: bool,
    ) -> Result<(), HttpError> {
        let is_head = head.method == "HEAD";
        let message = reply::encode(reply, &self.request_id, is_head, close);
        self.connection.write_last(message.as_bytes()).await
    }

    /// Receives a request's body completely.
    pub(super) async fn receive_body(
        &mut self,
        head: &Head,
        body: &mut Body,
    ) -> Result<ReceivedBody, RequestError> {
        self.connection.send_continue(head).await?;
        let received = self
            .connection
            .receive_body(body, MAX_BODY_BYTES, &self.context.memory, None)
            .await?;
        self.connection.request_received();
        Ok(received)
    }

    /// The description of a file. A file that the caller may not see counts as unknown.
    pub(super) fn visible_file(&self, id: &str) -> Result<FileInfo, StoreError> {
        let info = self.context.store.info(id)?;
        if !self.caller.sees(&info.owner) {
            return Err(StoreError::Unknown);
        }
        Ok(info)
    }

    /// The request's idempotency key, prefixed with the operation and the caller's node, as each of
    /// these has separate keys.
    pub(super) fn idempotency_key(&self, head: &Head, operation: &str) -> Option<String> {
        let key = head.get("idempotency-key")?;
        let node = self.caller.node().unwrap_or_default();
        Some(format!("{operation} {node} {key}"))
    }
}
