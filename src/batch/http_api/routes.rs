//! Routes a request to its handler by path and method.

use serde_json::json;

use super::errors::RequestError;
use super::response::Response;
use super::session::Session;
use crate::api::{ApiError, Reply};
use crate::edge::Caller;
use crate::net::http::{Body, Head};

impl Session {
    /// Handles a request.
    pub(super) async fn route(
        &mut self,
        head: &Head,
        body: &mut Body,
    ) -> Result<Response, RequestError> {
        let path: Vec<&str> = head.path().trim_matches('/').split('/').collect();
        let ["v1", path @ ..] = path.as_slice() else {
            if head.path() == "/_health" {
                return Ok(Reply::json(json!({"status": "ready"})).into());
            }
            return Err(path_not_found().into());
        };
        // authenticates before reading the body, and before a response could reveal anything to a
        // client without a key
        self.caller = match &self.context.edge {
            Some(edge) => edge.edge.authenticate(head.get("authorization"))?,
            None => Caller::default(),
        };
        match path {
            ["files", path @ ..] => self.route_files(head, body, path).await,
            ["uploads", path @ ..] => self.route_uploads(head, body, path).await,
            ["batches", path @ ..] => self.route_batches(head, body, path).await,
            path => match self.context.edge.clone() {
                Some(edge) => self.route_edge(&edge, head, body, path).await,
                None => Err(path_not_found().into()),
            },
        }
    }
}

/// The error for a path that does not exist.
pub(super) fn path_not_found() -> ApiError {
    ApiError::new(404, None, "no such path")
}

/// The error for a method that a path does not support.
pub(super) fn method_not_allowed() -> ApiError {
    ApiError::new(405, None, "no such method on this path")
}
