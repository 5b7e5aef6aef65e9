//! Parsing of event streams (`text/event-stream`) as far as needed to know which events have
//! arrived completely. Performs no I/O.

/// The value of the `data` field of the last event of an answer.
const LAST_EVENT_DATA: &[u8] = b"[DONE]";
/// The name of the field without which a block of lines is no event.
const DATA: &[u8] = b"data";
/// The other names that the standard for event streams defines.
const OTHER_FIELDS: [&[u8]; 3] = [b"event", b"id", b"retry"];
/// The number of bytes at the start of a line that are kept. The field names and the last event's
/// only line are shorter.
const LINE_START_BYTES: usize = 16;

/// The line that is being received.
#[derive(Clone, Copy, Debug, Default)]
struct Line {
    start: [u8; LINE_START_BYTES],
    length: usize,
}

/// What a complete line means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LineKind {
    Blank,
    Comment,
    /// A `data` field; `is_last` if its value is the one of the last event.
    Data {
        is_last: bool,
    },
    /// Another field that the standard defines.
    OtherField,
    /// A line that the standard tells to ignore.
    Unknown,
}

/// Follows an event stream and counts its complete events: at least one `data` field, ended by a
/// blank line. By the standard for event streams, comments and other fields alone don't make an
/// event.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    line: Line,
    has_data: bool,
    /// Whether the event so far is the last one of an answer.
    is_last: bool,
    has_unknown_lines: bool,
    /// The last byte was a carriage return, so a line feed that follows belongs to the same line
    /// end.
    after_carriage_return: bool,
    complete_events: u64,
    has_ended: bool,
}

impl EventScanner {
    /// Adds the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.push_byte(byte);
        }
    }

    /// The number of events that have arrived completely.
    pub fn complete_events(&self) -> u64 {
        self.complete_events
    }

    /// Whether the stream is whole: its last event has arrived, and nothing but comments followed.
    pub fn is_whole(&self) -> bool {
        self.has_ended && !self.has_data && (self.line.length == 0 || self.line.is_comment())
    }

    /// Starts a search for complete events in bytes that may still turn out to be something else.
    pub fn search(&self) -> EventSearch {
        EventSearch {
            scanner: EventScanner {
                has_unknown_lines: false,
                ..self.clone()
            },
            scanned: 0,
            complete_length: 0,
        }
    }

    fn push_byte(&mut self, byte: u8) {
        let after_carriage_return = self.after_carriage_return;
        self.after_carriage_return = byte == b'\r';
        match byte {
            b'\n' if after_carriage_return => {}
            b'\n' | b'\r' => self.end_line(),
            _ => self.line.push(byte),
        }
    }

    fn end_line(&mut self) {
        match std::mem::take(&mut self.line).kind() {
            LineKind::Blank => self.end_event(),
            LineKind::Comment | LineKind::OtherField => {}
            LineKind::Data { is_last } => {
                self.is_last = is_last && !self.has_data;
                self.has_data = true;
            }
            LineKind::Unknown => self.has_unknown_lines = true,
        }
    }

    fn end_event(&mut self) {
        if !std::mem::take(&mut self.has_data) {
            return;
        }
        self.complete_events += 1;
        self.has_ended = std::mem::take(&mut self.is_last);
    }
}

/// A search for complete events at the start of bytes that are still arriving.
#[derive(Clone, Debug)]
pub struct EventSearch {
    scanner: EventScanner,
    scanned: usize,
    complete_length: usize,
}

impl EventSearch {
    /// The length of the leading bytes that end with a complete event. 0 if no event is complete.
    /// The search ends before a line that is neither a comment nor a known field: it and what
    /// follows may be no events. `bytes` are all bytes that have arrived since the search began.
    pub fn complete_length(&mut self, bytes: &[u8]) -> usize {
        while !self.scanner.has_unknown_lines
            && let Some(&byte) = bytes.get(self.scanned)
        {
            let complete_events = self.scanner.complete_events;
            self.scanner.push_byte(byte);
            self.scanned += 1;
            if self.scanner.complete_events > complete_events {
                self.complete_length = self.scanned;
            }
        }
        self.complete_length
    }
}

impl Line {
    fn push(&mut self, byte: u8) {
        if let Some(kept) = self.start.get_mut(self.length) {
            *kept = byte;
        }
        self.length = self.length.saturating_add(1);
    }

    fn is_comment(&self) -> bool {
        self.length > 0 && self.start[0] == b':'
    }

    /// The kept bytes of the line; all of them if the line is short.
    fn kept(&self) -> &[u8] {
        &self.start[..self.length.min(LINE_START_BYTES)]
    }

    fn kind(&self) -> LineKind {
        if self.length == 0 {
            return LineKind::Blank;
        }
        if self.is_comment() {
            return LineKind::Comment;
        }
        let line = self.kept();
        let name_length = line.iter().position(|&byte| byte == b':');
        // a field may consist of its name alone, without a colon
        let (name, value) = line.split_at(name_length.unwrap_or(line.len()));
        if name == DATA {
            let value = value.strip_prefix(b":").unwrap_or(value);
            let value = value.strip_prefix(b" ").unwrap_or(value);
            let is_last = self.length <= LINE_START_BYTES && value == LAST_EVENT_DATA;
            return LineKind::Data { is_last };
        }
        if OTHER_FIELDS.contains(&name) {
            LineKind::OtherField
        } else {
            LineKind::Unknown
        }
    }
}

#[cfg(test)]
mod tests;
