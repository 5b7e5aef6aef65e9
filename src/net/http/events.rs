//! The first complete event of an event stream (`text/event-stream`). Pure: bytes in, a verdict
//! out.

/// The kind of the current line, as far as it has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Line {
    /// The first bytes of the name `data`, and nothing else.
    NamePrefix { length: usize },
    /// A line of data.
    Data,
    /// Any other: a comment or another field.
    Other,
}

/// The name of the field that makes an event.
const DATA: &[u8] = b"data";
const LINE_START: Line = Line::NamePrefix { length: 0 };

/// Detects a stream's first event: a line of data and the blank line after it. Comments and other
/// fields alone are no event, by the standard of such streams.
#[derive(Debug)]
pub struct FirstEventDetector {
    line: Line,
    has_data: bool,
    /// The last byte was a carriage return: a line feed after it ends no second line.
    after_carriage_return: bool,
    is_complete: bool,
}

impl Default for FirstEventDetector {
    fn default() -> FirstEventDetector {
        FirstEventDetector {
            line: LINE_START,
            has_data: false,
            after_carriage_return: false,
            is_complete: false,
        }
    }
}

impl FirstEventDetector {
    /// Adds the stream's next bytes. Whether an event is complete by now.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        for &byte in bytes {
            if self.is_complete {
                break;
            }
            let after_carriage_return = self.after_carriage_return;
            self.after_carriage_return = byte == b'\r';
            match byte {
                b'\n' if after_carriage_return => {}
                b'\n' | b'\r' => self.end_line(),
                _ => self.line = self.line.with(byte),
            }
        }
        self.is_complete
    }

    fn end_line(&mut self) {
        match std::mem::replace(&mut self.line, LINE_START) {
            // a blank line
            LINE_START => self.is_complete = std::mem::take(&mut self.has_data),
            Line::Data => self.has_data = true,
            // a line may be the name alone
            Line::NamePrefix { length } if length == DATA.len() => self.has_data = true,
            Line::NamePrefix { .. } | Line::Other => {}
        }
    }
}

impl Line {
    fn with(self, byte: u8) -> Line {
        match self {
            Line::NamePrefix { length } if DATA.get(length) == Some(&byte) => {
                Line::NamePrefix { length: length + 1 }
            }
            Line::NamePrefix { length } if length == DATA.len() && byte == b':' => Line::Data,
            Line::Data => Line::Data,
            Line::NamePrefix { .. } | Line::Other => Line::Other,
        }
    }
}

#[cfg(test)]
mod tests;
