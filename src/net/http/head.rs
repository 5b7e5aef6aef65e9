//! Heads of requests and responses.

use super::HttpError;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body ends after this number of bytes.
    Length(u64),
    /// The body is chunked and ends with the last chunk.
    Chunked,
    /// The body ends when the connection closes (responses only).
    UntilClose,
}

/// The head of a request or response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The method (requests only).
    pub method: String,
    /// The path and query, as received (requests only).
    pub target: String,
    /// The status code (responses only).
    pub status: u16,
    /// Names, in lower case, and values of the headers.
    pub headers: Vec<(String, String)>,
    /// Whether the message is HTTP/1.0.
    pub is_http_1_0: bool,
}

impl Head {
    /// The first value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header, _)| header == name)
            .map(|(_, value)| value.as_str())
    }

    /// The path, without the query.
    pub fn path(&self) -> &str {
        self.target
            .split_once('?')
            .map_or(&self.target, |(path, _)| path)
    }

    /// Whether the sender closes the connection after this message.
    pub fn closes(&self) -> bool {
        let mut options = self
            .headers
            .iter()
            .filter(|(name, _)| name == "connection")
            .flat_map(|(_, value)| value.split(','));
        let mut has = |option: &str| options.any(|o| o.trim().eq_ignore_ascii_case(option));
        if self.is_http_1_0 {
            !has("keep-alive")
        } else {
            has("close")
        }
    }

    /// The framing of a request's body. A request without a length has no body. Ambiguous lengths
    /// are an error, because the peer might see the boundary between messages at another place.
    pub fn request_framing(&self) -> Result<Framing, HttpError> {
        Ok(self.declared_framing()?.unwrap_or(Framing::Length(0)))
    }

    /// The framing of a response's body. A body without a length ends when the connection closes.
    /// Ambiguous lengths are an error, as in [`Self::request_framing`].
    pub fn response_framing(&self) -> Result<Framing, HttpError> {
        let undeclared = if matches!(self.status, 204 | 304) {
            Framing::Length(0)
        } else {
            Framing::UntilClose
        };
        Ok(self.declared_framing()?.unwrap_or(undeclared))
    }

    /// The framing that the headers declare; `None` if they declare none.
    fn declared_framing(&self) -> Result<Option<Framing>, HttpError> {
        let mut length = None;
        let mut chunked = false;
        for (name, value) in &self.headers {
            match name.as_str() {
                "content-length" => {
                    let bytes = parse_length(value)?;
                    if length.is_some_and(|earlier| earlier != bytes) {
                        return Err(HttpError::Malformed("two content-lengths"));
                    }
                    length = Some(bytes);
                }
                "transfer-encoding" if chunked || !value.eq_ignore_ascii_case("chunked") => {
                    return Err(HttpError::Malformed("transfer-encoding"));
                }
                "transfer-encoding" => chunked = true,
                _ => {}
            }
        }
        match (chunked, length) {
            (true, Some(_)) => Err(HttpError::Malformed("both a length and chunks")),
            (true, None) => Ok(Some(Framing::Chunked)),
            (false, Some(bytes)) => Ok(Some(Framing::Length(bytes))),
            (false, None) => Ok(None),
        }
    }
}

/// Parses the value of a `Content-Length` header. Only digits are valid, but `parse` alone would
/// also accept a sign.
fn parse_length(value: &str) -> Result<u64, HttpError> {
    let is_number = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
    value
        .parse()
        .ok()
        .filter(|_| is_number)
        .ok_or(HttpError::Malformed("content-length"))
}
