//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{self, BufRead};

/// A message: its first line, its headers (names in lower case) and its body.
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header, _)| header == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The method and the target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let word = self.first_line.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn read_line(from: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if from.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    let text = String::from_utf8_lossy(&line);
    Ok(Some(text.trim_end_matches(['\r', '\n']).to_string()))
}

/// Reads a message; `None` if the connection ended ahead of it. A response without a length ends
/// with its connection (`is_response`).
pub fn read_message(from: &mut impl BufRead, is_response: bool) -> io::Result<Option<Message>> {
    let Some(first_line) = read_line(from)? else {
        return Ok(None);
    };
    let mut headers = Vec::new();
    loop {
        let line = read_line(from)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
        }
    }
    let mut message = Message {
        first_line,
        headers,
        body: Vec::new(),
    };
    if message.header("transfer-encoding") == Some("chunked") {
        read_chunks(from, &mut message.body)?;
    } else if let Some(length) = message
        .header("content-length")
        .and_then(|l| l.parse().ok())
    {
        message.body = vec![0; length];
        from.read_exact(&mut message.body)?;
    } else if is_response && !matches!(message.status(), 204 | 304) {
        from.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_chunks(from: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(from)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
            .map_err(|_| io::ErrorKind::InvalidData)?;
        let start = body.len();
        body.resize(start + size, 0);
        from.read_exact(&mut body[start..])?;
        read_line(from)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// The text value of a key in compact JSON: a plain search, enough for the answers of the API.
pub fn json_text(json: &str, key: &str) -> Option<String> {
    let start = json.find(&format!("\"{key}\":\""))? + key.len() + 4;
    let rest = &json[start..];
    Some(rest[..rest.find('"')?].to_string())
}

/// The number of a key in compact JSON.
pub fn json_number(json: &str, key: &str) -> Option<u64> {
    let start = json.find(&format!("\"{key}\":"))? + key.len() + 3;
    let digits: String = json[start..]
        .chars()
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().ok()
}
