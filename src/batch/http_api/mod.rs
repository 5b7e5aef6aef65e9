//! The HTTP API for files, resumable uploads and batches. If the edge is enabled, it also serves
//! chat requests, models and budgets.
//!
//! Translates requests into calls to the store, the jobs and the edge, and their results into
//! responses in the public OpenAI format. It contains no decision logic.

mod batches;
mod chat;
mod chat_answer;
mod content;
mod context;
mod edge_routes;
mod errors;
mod files;
mod form;
mod form_input;
mod idempotency;
mod pagination;
mod range;
mod reply;
mod response;
mod routes;
mod session;
mod uploads;

use std::sync::Arc;
use std::time::Duration;

use tracing::debug;

use crate::net::http::{Body, Head, HttpError};
use crate::net::listener::{ClientConnection, ClientTimeouts, NextRequest, UnreadRemainder};

use errors::RequestError;
use response::Response;
use session::Session;

pub use context::HttpContext;

/// How long to wait for clients. The timeouts allow for unreliable links, on which connections,
/// heads and bodies take long. If sockets run out, connections that block others are closed first
/// regardless of these timeouts.
pub const CLIENT_TIMEOUTS: ClientTimeouts = ClientTimeouts {
    idle: Duration::from_secs(15),
    request: Duration::from_secs(10),
};

/// Serves one client's connection until it ends.
pub async fn run(context: Arc<HttpContext>, connection: ClientConnection) {
    let mut session = Session::new(context, connection);
    loop {
        let head = match session.connection.next_request().await {
            NextRequest::Received(head) => head,
            NextRequest::Invalid(e) => return session.reject_unreadable(&e).await,
            NextRequest::Close => {
                return session.connection.close(UnreadRemainder::Nothing).await;
            }
            NextRequest::Drop => return,
        };
        session.start_request();
        let mut body = match head.request_framing() {
            Ok(framing) => Body::new(framing),
            Err(e) => return session.reject_unreadable(&e).await,
        };
        let result = session.route(&head, &mut body).await;
        if body.is_complete() {
            session.connection.request_received();
        }
        // if the response is sent before the body was read completely, unread body bytes remain on
        // the connection, which can't be reused
        let close = head.closes() || !body.is_complete() || session.connection.is_shutting_down();
        let response = match result {
            Ok(response) => response,
            Err(RequestError::Api(e)) => Response::Json((&e).into()),
            Err(RequestError::Http(e)) => return session.reject_unreadable(&e).await,
        };
        match respond(&mut session, &head, response, close).await {
            Ok(()) if !close => {}
            Ok(()) => return session.connection.close(UnreadRemainder::Body(body)).await,
            Err(e) => return debug!("could not answer a batch client: {e}; disconnecting"),
        }
    }
}

async fn respond(
    session: &mut Session,
    head: &Head,
    response: Response,
    close: bool,
) -> Result<(), HttpError> {
    match response {
        Response::Json(reply) => session.reply(head, &reply, close).await,
        Response::Content(file) => session.send_content(head, *file, close).await,
        Response::Chat(answer) => session.send_answer(head, *answer, close).await,
    }
}
