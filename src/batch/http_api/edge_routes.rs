//! The resources of the edge: models, budgets and chat requests.

use super::errors::RequestError;
use super::response::Response;
use super::routes::{method_not_allowed, path_not_found};
use super::session::Session;
use crate::api::Reply;
use crate::batch::edge_access::EdgeAccess;
use crate::net::http::{Body, Head};

impl Session {
    /// Handles a request for a resource of the edge.
    pub(super) async fn route_edge(
        &mut self,
        access: &EdgeAccess,
        head: &Head,
        body: &mut Body,
        path: &[&str],
    ) -> Result<Response, RequestError> {
        let edge = &access.edge;
        let object = match (head.method.as_str(), path) {
            ("GET", ["models"]) => edge.models(&self.caller),
            ("GET", ["models", name @ ..]) => {
                // model names may contain slashes
                let name = percent_decoded(&name.join("/"));
                edge.model(&self.caller, &name)?
            }
            ("GET", ["budgets"]) => edge.budgets(&self.caller),
            ("POST", ["chat", "completions"]) => {
                return self.start_chat(access, head, body).await;
            }
            (_, ["models" | "budgets", ..] | ["chat", "completions"]) => {
                return Err(method_not_allowed().into());
            }
            _ => return Err(path_not_found().into()),
        };
        Ok(Reply::json(object).into())
    }
}

/// Decodes the percent-encoded bytes of a path. Invalid escapes are left unchanged.
fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut position = 0;
    while let Some(&byte) = bytes.get(position) {
        let digits = bytes.get(position + 1..position + 3);
        match digits.filter(|_| byte == b'%').and_then(hex_byte) {
            Some(escaped) => {
                decoded.push(escaped);
                position += 3;
            }
            None => {
                decoded.push(byte);
                position += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn hex_byte(digits: &[u8]) -> Option<u8> {
    let digits = std::str::from_utf8(digits).ok()?;
    u8::from_str_radix(digits, 16).ok()
}
