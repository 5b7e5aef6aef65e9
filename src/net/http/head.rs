//! Heads of requests and responses.

use super::HttpError;

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After so many bytes.
    Length(u64),
    /// With the last chunk.
    Chunked,
    /// With the connection (responses only).
    UntilClose,
}

/// The head of a request or response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// A request's method.
    pub method: String,
    /// A request's path and query, as received.
    pub target: String,
    /// A response's status code.
    pub status: u16,
    /// The headers by name, in lower case.
    pub headers: Vec<(String, String)>,
    /// The message is HTTP/1.0.
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

    /// Whether the connection ends after this message.
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

    /// How a request's body ends: one without a length has none. Ambiguous lengths are an error: the
    /// peer may split the messages at another place.
    pub fn request_framing(&self) -> Result<Framing, HttpError> {
        Ok(self.declared_framing()?.unwrap_or(Framing::Length(0)))
    }

    /// How a response's body ends: one without a length ends with the connection. Ambiguous lengths
    /// are an error, as in a request.
    pub fn response_framing(&self) -> Result<Framing, HttpError> {
        let undeclared = if matches!(self.status, 204 | 304) {
            Framing::Length(0)
        } else {
            Framing::UntilClose
        };
        Ok(self.declared_framing()?.unwrap_or(undeclared))
    }

    /// How the body ends by the headers; `None` where they don't say.
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

/// The value of a content-length: digits alone, as `parse` would accept a sign.
fn parse_length(value: &str) -> Result<u64, HttpError> {
    let is_number = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
    value
        .parse()
        .ok()
        .filter(|_| is_number)
        .ok_or(HttpError::Malformed("content-length"))
}
