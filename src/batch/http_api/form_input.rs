//! The body of a form on its way to the form's parser. The parser keeps what it can't interpret yet,
//! so its input ends with an error once it has received too much besides the content of a file.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;
use tokio::sync::mpsc;

/// What the parser of a form has received. Shared by its input and the reader of the form's fields.
#[derive(Debug, Default)]
pub(super) struct FormUsage {
    /// The number of received bytes, without the content of the file that has been read.
    other_bytes: AtomicUsize,
    /// Whether the content of the file is being read.
    is_in_file: AtomicBool,
}

impl FormUsage {
    /// Notes that the content of the file begins or has ended.
    pub(super) fn set_in_file(&self, is_in_file: bool) {
        self.is_in_file.store(is_in_file, Ordering::Relaxed);
    }

    /// Notes that this many bytes were the content of the file.
    pub(super) fn file_bytes_read(&self, count: usize) {
        self.other_bytes.fetch_sub(count, Ordering::Relaxed);
    }

    fn exceeds(&self, max_other_bytes: usize) -> bool {
        let is_in_file = self.is_in_file.load(Ordering::Relaxed);
        !is_in_file && self.other_bytes.load(Ordering::Relaxed) > max_other_bytes
    }
}

/// The input of a form's parser.
pub(super) struct FormInput {
    parts: mpsc::Receiver<Bytes>,
    usage: Arc<FormUsage>,
    max_other_bytes: usize,
    /// Whether the parser has yet to interpret the latest part.
    is_part_pending: bool,
}

impl FormInput {
    /// Creates the input of a parser that may receive `max_other_bytes` besides the content of the
    /// file, plus one part. The input ends when the sender of `parts` is dropped.
    pub(super) fn new(
        parts: mpsc::Receiver<Bytes>,
        usage: Arc<FormUsage>,
        max_other_bytes: usize,
    ) -> FormInput {
        FormInput {
            parts,
            usage,
            max_other_bytes,
            is_part_pending: false,
        }
    }
}

impl Stream for FormInput {
    type Item = io::Result<Bytes>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Bytes>>> {
        if std::mem::take(&mut self.is_part_pending) {
            // the parser reads all input that is ready before it interprets any
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        if self.usage.exceeds(self.max_other_bytes) {
            let error = io::Error::other("the form holds too much besides its file");
            return Poll::Ready(Some(Err(error)));
        }
        let part = std::task::ready!(self.parts.poll_recv(context));
        if let Some(part) = &part {
            self.is_part_pending = true;
            self.usage
                .other_bytes
                .fetch_add(part.len(), Ordering::Relaxed);
        }
        Poll::Ready(part.map(Ok))
    }
}
