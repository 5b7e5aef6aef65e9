//! `/v1/files`: uploads, lists, describes, deletes and sends files.

use serde_json::json;

use super::errors::RequestError;
use super::pagination::page;
use super::response::Response;
use super::routes::method_not_allowed;
use super::session::Session;
use crate::api::Reply;
use crate::batch::store::FileInfo;
use crate::net::http::{Body, Head};

impl Session {
    /// Handles a request for files. `path`: the segments after `/v1/files`.
    pub(super) async fn route_files(
        &mut self,
        head: &Head,
        body: &mut Body,
        path: &[&str],
    ) -> Result<Response, RequestError> {
        let context = self.context.clone();
        let object = match (head.method.as_str(), path) {
            ("POST", []) => self.upload_form(head, body).await?.object(),
            ("GET", []) => {
                let files = context.store.list();
                let visible = files.iter().filter(|file| self.caller.sees(&file.owner));
                page(head, visible.map(FileInfo::object).collect())?
            }
            ("GET", [id]) => self.visible_file(id)?.object(),
            ("DELETE", [id]) => {
                self.visible_file(id)?;
                context.store.remove(id).await?;
                json!({"id": id, "object": "file", "deleted": true})
            }
            ("GET" | "HEAD", [id, "content"]) => {
                self.visible_file(id)?;
                let file = context.store.read(id).await?;
                return Ok(Response::Content(Box::new(file)));
            }
            _ => return Err(method_not_allowed().into()),
        };
        Ok(Reply::json(object).into())
    }
}
