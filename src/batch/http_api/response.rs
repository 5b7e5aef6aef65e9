//! What a request is answered with.

use crate::api::Reply;
use crate::batch::store::StoredFile;
use crate::edge::AnswerStream;

/// What a request is answered with.
pub(super) enum Response {
    /// A JSON object, or no body.
    Json(Reply),
    /// The content of a file.
    Content(Box<StoredFile>),
    /// The answer of a model.
    Chat(Box<ChatAnswer>),
}

impl From<Reply> for Response {
    fn from(reply: Reply) -> Response {
        Response::Json(reply)
    }
}

/// The answer to a chat request, which has begun.
pub(super) struct ChatAnswer {
    pub(super) answer: AnswerStream,
    /// The client asked for a stream.
    pub(super) is_streamed: bool,
}
