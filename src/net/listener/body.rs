//! Receives the body of a request, within the limit on memory for bodies.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use tokio::time::timeout_at;

use super::ClientConnection;
use super::incoming_request::IncomingRequest;
use crate::memory::{MemoryBudget, MemoryReservation, MemoryUse};
use crate::net::http::{Body, HttpError};

/// The size up to which a body needs no reservation. It is part of the connection's allowance, so
/// that ordinary requests never wait for memory.
const UNRESERVED_BODY_BYTES: usize = 8 << 10;
/// The maximum number of bytes of an upload that are read at a time. Several parts of each upload
/// are in memory while the spool writes.
const MAX_UPLOAD_PART_BYTES: usize = 16 << 10;

/// A request's body.
pub struct ReceivedBody {
    /// The bytes of the body.
    pub bytes: Bytes,
    /// The memory that is reserved for the body. It is returned when this value is dropped.
    pub memory: Option<MemoryReservation>,
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
    /// `budget` as bytes arrive, not by the declared length: clients could otherwise reserve all of
    /// the memory without sending anything. If `max_wait` is given, a reservation waits for at most
    /// that time.
    pub async fn receive_body(
        &mut self,
        body: &mut Body,
        max_bytes: usize,
        budget: &MemoryBudget,
        max_wait: Option<Duration>,
    ) -> Result<ReceivedBody, HttpError> {
        if let Some(incoming) = &mut self.incoming {
            incoming.max_wait = max_wait;
        }
        let max_capacity = body.declared_length().unwrap_or(max_bytes);
        // in contrast to `BytesMut`, a vector allocates no more than it is told to
        let mut received = Vec::new();
        let mut memory: Option<MemoryReservation> = None;
        while let Some(bytes) = self.next_part(body, usize::MAX).await? {
            let length = received.len() + bytes.len();
            if length > max_bytes {
                return Err(HttpError::BodyTooLarge);
            }
            let capacity = grown_capacity(received.capacity(), length, max_capacity);
            let reserved = memory.as_ref().map_or(0, MemoryReservation::bytes);
            if capacity > UNRESERVED_BODY_BYTES && capacity > reserved {
                let added = self.reserve_memory(budget, capacity - reserved).await?;
                match &mut memory {
                    Some(memory) => memory.merge(added),
                    None => memory = Some(added),
                }
            }
            received.reserve_exact(capacity - received.len());
            received.extend_from_slice(&bytes);
        }
        Ok(ReceivedBody {
            bytes: received.into(),
            memory,
            received_at: self.mark_end_of_request(),
        })
    }

    /// Reserves memory for a body. The rest of the body may arrive during the wait and stays
    /// unread.
    async fn reserve_memory(
        &mut self,
        budget: &MemoryBudget,
        bytes: usize,
    ) -> Result<MemoryReservation, HttpError> {
        if let Some(reserved) = budget.try_reserve(MemoryUse::Request, bytes) {
            return Ok(reserved);
        }
        let now = Instant::now();
        let since = *self.unread_since.get_or_insert(now);
        let Some(incoming) = &mut self.incoming else {
            return Err(HttpError::ConnectionClosed);
        };
        let answer_by = incoming.answer_by(since);
        let reserved = timeout_at(answer_by.into(), budget.reserve(MemoryUse::Request, bytes));
        tokio::select! {
            biased;
            reserved = reserved => reserved
                .map_err(|_| HttpError::NoCapacity)?
                .ok_or(HttpError::ConnectionClosed),
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

/// The capacity of a buffer that has to hold `length` bytes. It grows in steps of an eighth, so that
/// little of the reserved memory stays unused and few bytes are moved.
fn grown_capacity(capacity: usize, length: usize, max_capacity: usize) -> usize {
    if length <= capacity {
        return capacity;
    }
    (length + length / 8).min(max_capacity).max(length)
}
