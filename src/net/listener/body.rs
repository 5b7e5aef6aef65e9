//! Receives the body of a request, within the limit on memory for bodies.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout_at;

use super::ClientConnection;
use super::incoming_request::IncomingRequest;
use crate::net::http::{Body, HttpError};

/// Bytes of the memory for bodies that one permit represents.
const BYTES_PER_PERMIT: usize = 1 << 10;
/// The maximum number of bytes of an upload that are read at a time. Several parts of each upload
/// are in memory while the spool writes.
const MAX_UPLOAD_PART_BYTES: usize = 16 << 10;

/// A request's body.
pub struct ReceivedBody {
    /// The bytes of the body.
    pub bytes: Bytes,
    /// The memory that is reserved for the body. It is returned when this value is dropped.
    pub memory: Option<OwnedSemaphorePermit>,
    /// The earliest instant at which the body's last byte may have arrived. The request's deadline
    /// counts from then.
    pub received_at: Instant,
}

impl ClientConnection {
    /// The next bytes of an incoming request's body; `None` at its end. At most `max_bytes` are
    /// read from the connection. Cancel safe.
    async fn next_part(
        &mut self,
        body: &mut Body,
        max_bytes: usize,
    ) -> Result<Option<Bytes>, HttpError> {
        let mut part = BytesMut::new();
        loop {
            body.drain_buffered(&mut self.buffer, |bytes| part.extend_from_slice(bytes))?;
            if !part.is_empty() {
                // the caller may have to wait before it can process the bytes; that wait is not
                // reading time
                self.pacing.pause(Instant::now());
                return Ok(Some(part.freeze()));
            }
            if body.is_complete() {
                return Ok(None);
            }
            let position = *body;
            self.read_more(|buffer, next| position.length_in(buffer, next).min(max_bytes))
                .await?;
        }
    }

    /// Receives the body of an incoming request, up to `max_bytes`. Memory is reserved from
    /// `memory` (in KiB) as bytes arrive, not by the declared length: clients could otherwise
    /// reserve all of the memory without sending anything. If `max_wait` is given, a reservation
    /// waits for at most that time.
    pub async fn receive_body(
        &mut self,
        body: &mut Body,
        max_bytes: usize,
        memory: &Arc<Semaphore>,
        max_wait: Option<Duration>,
    ) -> Result<ReceivedBody, HttpError> {
        if let Some(incoming) = &mut self.incoming {
            incoming.max_wait = max_wait;
        }
        let mut received = BytesMut::new();
        let mut reserved: Option<OwnedSemaphorePermit> = None;
        while let Some(bytes) = self.next_part(body, usize::MAX).await? {
            if received.len() + bytes.len() > max_bytes {
                return Err(HttpError::BodyTooLarge);
            }
            received.extend_from_slice(&bytes);
            let needed = received.len().div_ceil(BYTES_PER_PERMIT);
            let missing = needed - reserved.as_ref().map_or(0, |permit| permit.num_permits());
            if missing > 0 {
                let added = self.reserve_memory(memory, missing as u32).await?;
                match &mut reserved {
                    Some(permit) => permit.merge(added),
                    None => reserved = Some(added),
                }
            }
        }
        Ok(ReceivedBody {
            bytes: received.freeze(),
            memory: reserved,
            received_at: self.mark_end_of_request(),
        })
    }

    /// Reserves memory for a body. The rest of the body may arrive during the wait and stays
    /// unread.
    async fn reserve_memory(
        &mut self,
        memory: &Arc<Semaphore>,
        permits: u32,
    ) -> Result<OwnedSemaphorePermit, HttpError> {
        if let Ok(reserved) = memory.clone().try_acquire_many_owned(permits) {
            return Ok(reserved);
        }
        let now = Instant::now();
        let since = *self.unread_since.get_or_insert(now);
        let Some(incoming) = &mut self.incoming else {
            return Err(HttpError::ConnectionClosed);
        };
        let answer_by = incoming.answer_by(since);
        let reserved = timeout_at(answer_by.into(), memory.clone().acquire_many_owned(permits));
        tokio::select! {
            biased;
            reserved = reserved => reserved
                .map_err(|_| HttpError::NoCapacity)?
                .map_err(|_| HttpError::ConnectionClosed),
            // the connection is evicted, because its descriptor is needed for another connection
            () = incoming.idle.evicted() => Err(HttpError::NoCapacity),
        }
    }

    /// The next bytes of an upload; `None` at its end. An upload may take any time as long as it
    /// makes progress: it fails after `stall_timeout` without progress, and each part moves the
    /// connection to the end of the eviction order. Cancel safe.
    pub async fn receive_upload_part(
        &mut self,
        body: &mut Body,
        stall_timeout: Duration,
    ) -> Result<Option<Bytes>, HttpError> {
        let mut idle = self.context.connection_limit.register_idle();
        idle.record_progress();
        self.incoming = Some(IncomingRequest {
            idle,
            deadline: Instant::now() + stall_timeout,
            bytes: 0,
            max_wait: None,
        });
        self.next_part(body, MAX_UPLOAD_PART_BYTES).await
    }
}
