//! Counts of a replay.

use std::fmt::{self, Display, Formatter};

/// Counts of one or more replays.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Events sent.
    pub events: u64,
    /// Batches sent.
    pub batches: u64,
    /// Attempts that the routers started.
    pub attempts: u64,
    /// Bytes of replies that were compared.
    pub reply_bytes: u64,
}

impl Totals {
    /// Adds the counts of another replay.
    pub fn add(&mut self, other: &Totals) {
        self.events += other.events;
        self.batches += other.batches;
        self.attempts += other.attempts;
        self.reply_bytes += other.reply_bytes;
    }
}

impl Display for Totals {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        let Totals {
            events,
            batches,
            attempts,
            reply_bytes,
        } = self;
        write!(
            out,
            "{events} events in {batches} batches, {attempts} attempts, {reply_bytes} equal bytes of replies"
        )
    }
}
