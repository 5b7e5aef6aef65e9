//! `POST /v1/chat/completions`: converts a client's request into a chat request to the edge.

use std::time::Duration;

use super::errors::RequestError;
use super::response::{ChatAnswer, Response};
use super::session::Session;
use crate::api::ApiError;
use crate::batch::edge_access::EdgeAccess;
use crate::edge::{ChatBody, ChatRequest};
use crate::interface::stable_hash;
use crate::net::http::{Body, Head, HttpError};
use crate::net::listener::ReceivedBody;
use crate::request_ids::is_request_id;

impl Session {
    /// Starts a chat request. Returns when the first bytes of its answer have arrived.
    pub(super) async fn start_chat(
        &mut self,
        access: &EdgeAccess,
        head: &Head,
        body: &mut Body,
    ) -> Result<Response, RequestError> {
        let received = self.receive_body(head, body).await?;
        let mut chat = ChatBody::parse(&received.bytes)?;
        // the memory of the body stays reserved until the chat has begun to be answered
        let ReceivedBody {
            bytes,
            memory: _memory,
            received_at,
        } = received;
        drop(bytes);
        let id = self.trace_id(head)?;
        let trace = access.request_ids.acquire(&id);
        let trace =
            trace.ok_or_else(|| ApiError::new(409, "X-Trace-Id", "X-Trace-Id is in use"))?;
        let timeout = client_timeout(head)?;
        if let Some(session) = head.get("x-object") {
            chat.session = Some(stable_hash(session));
        }
        let is_streamed = chat.stream;
        let request = ChatRequest {
            caller: self.caller.clone(),
            chat,
            class: head.get("x-qos").map(String::from),
            timeout,
            received_at,
            trace,
            interactive: true,
            client: Some(self.connection.presence()),
        };
        let started = tokio::select! {
            biased;
            started = access.edge.start(request) => started,
            // dropping the `start` future cancels the attempt and returns its budget reservation
            () = self.connection.wait_for_disconnect() => {
                return Err(HttpError::ConnectionClosed.into());
            }
        };
        match started {
            Ok(answer) => Ok(Response::Chat(Box::new(ChatAnswer {
                answer,
                is_streamed,
            }))),
            Err(rejection) => Err(rejection.error.into()),
        }
    }

    /// The id sent to model servers: the client's `X-Trace-Id`, or else the id assigned to the
    /// request.
    fn trace_id(&self, head: &Head) -> Result<String, ApiError> {
        match head.get("x-trace-id") {
            Some(id) if is_request_id(id) => Ok(id.to_string()),
            Some(_) => Err(ApiError::new(
                400,
                "X-Trace-Id",
                "X-Trace-Id is no plain id",
            )),
            None => Ok(self.request_id.clone()),
        }
    }
}

/// How long the client waits for the first token (`X-Expires-In-Ms`); `None` without the header.
fn client_timeout(head: &Head) -> Result<Option<Duration>, ApiError> {
    let Some(text) = head.get("x-expires-in-ms") else {
        return Ok(None);
    };
    match text.parse::<u32>() {
        Ok(millis) => Ok(Some(Duration::from_millis(millis.into()))),
        Err(_) => Err(ApiError::new(
            400,
            "X-Expires-In-Ms",
            "X-Expires-In-Ms is no number",
        )),
    }
}
