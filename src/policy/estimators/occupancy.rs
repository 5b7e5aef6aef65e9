//! How much of the replicas' time this router uses. It is measured by what was sent, not by answers
//! or by predicted first-token times, so it is right even where these are wrong.

use crate::interface::Timestamp;

/// A decaying sum of the time for which replicas were busy with what this router sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Occupancy {
    busy_seconds: f64,
    as_of: Timestamp,
}

impl Occupancy {
    /// Records that a replica is busy for a time. Its weight decays to 1/e in `decay_seconds`.
    pub fn record(&mut self, busy_seconds: f64, now: Timestamp, decay_seconds: f64) {
        self.busy_seconds = self.decayed(now, decay_seconds) + busy_seconds;
        self.as_of = now;
    }

    /// The mean number of replicas that are busy with what this router sent.
    pub fn busy_replicas(&self, now: Timestamp, decay_seconds: f64) -> f64 {
        self.decayed(now, decay_seconds) / decay_seconds
    }

    fn decayed(&self, now: Timestamp, decay_seconds: f64) -> f64 {
        let age = (now - self.as_of).as_secs_f64() / decay_seconds;
        self.busy_seconds * (-age).exp()
    }
}
