//! Reads the body of a response from its connection, and limits how long the server may pause.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::time::timeout_at;

use super::connection::Connection;
use crate::memory::{MemoryBudget, MemoryReservation, MemoryUse, with_guard};
use crate::net::http::{Body, EventScanner, EventSearch, Framing, HttpError};
use crate::net::read_pacing::{ReadPacing, ReadSchedule, wait_for_turn};

/// The size up to which the bytes of a chunk are read without a reservation. It is part of the
/// connection's allowance, so that ordinary events never wait for memory.
const UNRESERVED_CHUNK_BYTES: usize = 8 << 10;

/// A server that pauses for this long writes no faster than it is read, so that its stream needs no
/// pacing so far.
const QUIET_TIME: Duration = Duration::from_millis(1);

/// How long a read may wait for the server.
#[derive(Clone, Copy, Debug)]
pub(super) enum WaitLimit {
    /// At most this long without further bytes.
    Silence(Duration),
    /// Until this instant, whatever arrives.
    Until(Instant),
}

impl WaitLimit {
    /// When a wait that begins now ends.
    fn deadline(self) -> Instant {
        match self {
            WaitLimit::Silence(limit) => Instant::now() + limit,
            WaitLimit::Until(deadline) => deadline,
        }
    }
}

/// Reads the body of a response.
pub(super) struct BodyReader {
    connection: Connection,
    body: Body,
    /// The search for events in a chunk that has arrived in part.
    search: Option<EventSearch>,
    memory: MemoryBudget,
    /// The memory for the current chunk, if it is large.
    reservation: Option<MemoryReservation>,
    pacing: ReadPacing,
    schedule: Arc<ReadSchedule>,
}

impl BodyReader {
    pub(super) fn new(
        connection: Connection,
        framing: Framing,
        memory: MemoryBudget,
        schedule: Arc<ReadSchedule>,
    ) -> BodyReader {
        BodyReader {
            connection,
            body: Body::with_bounded_chunks(framing),
            search: None,
            memory,
            reservation: None,
            pacing: ReadPacing::default(),
            schedule,
        }
    }

    /// Records that the work on the bytes that were read last is finished, ahead of a wait for the
    /// client.
    pub(super) fn pause(&mut self) {
        self.pacing.pause(Instant::now());
    }

    /// The connection, once the body has been read.
    pub(super) fn into_connection(self) -> Connection {
        self.connection
    }

    /// Reads the next bytes of the body; `None` at its regular end. A chunk is returned once it is
    /// complete, so that a wrong size is detected before its bytes are used.
    pub(super) async fn next(&mut self, limit: WaitLimit) -> Result<Option<Bytes>, HttpError> {
        loop {
            if let Some(bytes) = self.take_buffered()? {
                return Ok(Some(bytes));
            }
            if self.body.is_complete() {
                return Ok(None);
            }
            self.fill(limit).await?;
        }
    }

    /// Like [`Self::next`], but returns the events of a chunk that has arrived in part as soon as
    /// they are complete. `events` has followed the body so far.
    pub(super) async fn next_events(
        &mut self,
        events: &EventScanner,
        limit: WaitLimit,
    ) -> Result<Option<Bytes>, HttpError> {
        loop {
            if let Some(bytes) = self.take_buffered()? {
                return Ok(Some(bytes));
            }
            if self.body.is_complete() {
                return Ok(None);
            }
            if let Some(bytes) = self.take_partial_events(events) {
                return Ok(Some(bytes));
            }
            self.fill(limit).await?;
        }
    }

    /// Takes the bytes of a chunk that is complete, together with the memory reserved for it.
    fn take_buffered(&mut self) -> Result<Option<Bytes>, HttpError> {
        let Some(bytes) = self.body.take_buffered(&mut self.connection.buffer)? else {
            return Ok(None);
        };
        self.search = None;
        Ok(Some(match self.reservation.take() {
            Some(reservation) => with_guard(bytes, reservation),
            None => bytes,
        }))
    }

    fn take_partial_events(&mut self, events: &EventScanner) -> Option<Bytes> {
        let buffer = &mut self.connection.buffer;
        let partial = self.body.partial_chunk(buffer);
        let search = self.search.get_or_insert_with(|| events.search());
        let length = search.complete_length(partial);
        if length == 0 {
            return None;
        }
        self.search = None;
        Some(self.body.take_partial_chunk(buffer, length))
    }

    async fn fill(&mut self, limit: WaitLimit) -> Result<(), HttpError> {
        let deadline = limit.deadline();
        self.reserve_chunk(deadline).await?;
        wait_for_turn(&mut self.pacing, &self.schedule).await;
        let Connection { stream, buffer, .. } = &mut self.connection;
        let started_at = Instant::now();
        let read = timeout_at(deadline.into(), buffer.fill(stream)).await;
        if read.map_err(|_| HttpError::Timeout)?? == 0 {
            return Err(HttpError::ConnectionClosed);
        }
        let now = Instant::now();
        if now.saturating_duration_since(started_at) >= QUIET_TIME {
            self.pacing.begin_message();
        }
        self.pacing.resume(now);
        Ok(())
    }

    /// Reserves memory for the rest of a chunk before more of it is read than the connection's
    /// allowance covers. The whole rest is reserved at once: chunks that each held a part of the
    /// memory would wait for each other.
    async fn reserve_chunk(&mut self, deadline: Instant) -> Result<(), HttpError> {
        let buffer = &mut self.connection.buffer;
        if self.reservation.is_some() || buffer.bytes().len() < UNRESERVED_CHUNK_BYTES {
            return Ok(());
        }
        let Some(length) = self.body.undecoded_chunk_bytes() else {
            return Ok(());
        };
        let reserve = self.memory.reserve(MemoryUse::Answer, length);
        let reserved = timeout_at(deadline.into(), reserve).await;
        let reserved = reserved.map_err(|_| HttpError::NoCapacity)?;
        self.reservation = Some(reserved.ok_or(HttpError::NoCapacity)?);
        buffer.reserve_for(length);
        Ok(())
    }
}
