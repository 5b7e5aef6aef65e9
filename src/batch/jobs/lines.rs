//! Reads the input file of a batch line by line.

use std::io;
use std::ops::Range;

use super::input_file::InputFile;

/// The number of bytes per read from the spool.
const READ_SIZE_BYTES: usize = 16 << 10;

/// Reads a file line by line. Blank lines are skipped but counted in the line numbers. A line over
/// the limit is reported without its text. The buffer never exceeds the limit plus one read.
pub(super) struct LineReader {
    file: InputFile,
    max_line_bytes: usize,
    buffer: Vec<u8>,
    /// The offset in the file at which the buffer begins.
    buffer_offset: u64,
    /// The offset in the buffer at which the next line begins.
    next_line: usize,
    /// The number of the current line, from 1.
    number: u64,
    /// The range of the current line's text in the buffer; `None` if the line is over the limit.
    text: Option<Range<usize>>,
    /// Whether the beginning of the next line exceeded the limit and has been discarded.
    is_over_limit: bool,
    is_at_end: bool,
}

/// A line of the file.
#[derive(Clone, Debug)]
pub(super) struct Line<'a> {
    /// The line's number, from 1.
    pub(super) number: u64,
    /// The line's text without the line break; `None` if the line is over the limit.
    pub(super) text: Option<&'a [u8]>,
    /// The range of the text in the file; empty if the line is over the limit.
    pub(super) range: Range<u64>,
}

impl LineReader {
    pub(super) fn new(file: InputFile, max_line_bytes: usize) -> LineReader {
        LineReader {
            file,
            max_line_bytes,
            buffer: Vec::new(),
            buffer_offset: 0,
            next_line: 0,
            number: 0,
            text: None,
            is_over_limit: false,
            is_at_end: false,
        }
    }

    /// The line that [`LineReader::advance`] moved to.
    pub(super) fn current(&self) -> Line<'_> {
        let text = self.text.clone().unwrap_or(0..0);
        Line {
            number: self.number,
            text: self.text.clone().map(|text| &self.buffer[text]),
            range: self.buffer_offset + text.start as u64..self.buffer_offset + text.end as u64,
        }
    }

    /// Discards the text of the current line, and frees the memory of a long line.
    pub(super) fn discard_current(&mut self) {
        self.text = None;
        if self.buffer.capacity() > 2 * READ_SIZE_BYTES {
            self.discard_read_lines();
            self.buffer.shrink_to(READ_SIZE_BYTES);
        }
    }

    /// Moves to the next line; returns whether there is one. Can be called again after an error.
    pub(super) async fn advance(&mut self) -> io::Result<bool> {
        loop {
            let unread = &self.buffer[self.next_line..];
            let line_break = unread.iter().position(|&byte| byte == b'\n');
            if line_break.is_none() && !self.is_at_end {
                self.read_more().await?;
                continue;
            }
            let length = line_break.unwrap_or(unread.len());
            if line_break.is_none() && length == 0 && !self.is_over_limit {
                return Ok(false);
            }
            let text = self.next_line..self.next_line + length;
            self.next_line += (length + 1).min(unread.len());
            self.number += 1;
            if std::mem::take(&mut self.is_over_limit) || length > self.max_line_bytes {
                self.text = None;
                return Ok(true);
            }
            if !self.buffer[text.clone()].trim_ascii().is_empty() {
                self.text = Some(text);
                return Ok(true);
            }
        }
    }

    async fn read_more(&mut self) -> io::Result<()> {
        if self.buffer.len() - self.next_line > self.max_line_bytes {
            // the remainder of the line is skipped without being buffered
            self.is_over_limit = true;
            self.next_line = self.buffer.len();
        }
        self.discard_read_lines();
        let end = self.buffer_offset + self.buffer.len() as u64;
        let bytes = self.file.read_some(end, READ_SIZE_BYTES).await?;
        self.is_at_end = bytes.is_empty();
        self.buffer.extend_from_slice(&bytes);
        Ok(())
    }

    /// Removes the lines before the next one from the buffer.
    fn discard_read_lines(&mut self) {
        self.buffer.drain(..self.next_line);
        self.buffer_offset += self.next_line as u64;
        self.next_line = 0;
    }
}
