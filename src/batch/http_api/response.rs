//! The response to a request, before it is encoded.

use crate::api::Reply;
use crate::batch::store::StoredFile;
use crate::edge::AnswerStream;

/// The response to a request.
pub(super) enum Response {
    /// A reply with a JSON object or without a body.
    Json(Reply),
    /// The content of a file.
    Content(Box<StoredFile>),
    /// The answer of a model to a chat request.
    Chat(Box<ChatAnswer>),
}

impl From<Reply> for Response {
    fn from(reply: Reply) -> Response {
        Response::Json(reply)
    }
}

/// An answer to a chat request whose first bytes have arrived.
pub(super) struct ChatAnswer {
    pub(super) answer: AnswerStream,
    /// Whether the client requested a stream.
    pub(super) is_streamed: bool,
}
