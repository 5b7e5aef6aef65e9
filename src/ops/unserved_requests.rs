//! Counts the requests that are not served, and summarizes them for the log.

use std::fmt;
use std::time::{Duration, Instant};

use crate::interface::UnservedReason;

/// The minimum time between two summaries.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// A request that is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnservedRequest {
    /// The request's class.
    pub class: u32,
    /// Why it is not served.
    pub reason: UnservedReason,
    /// The number of model servers that could have taken the request, as far as the router knew.
    pub available_servers: u32,
}

/// Numbers of unserved requests of one class with one reason.
#[derive(Clone, Copy, Debug, Default)]
struct UnservedCount {
    total: u32,
    /// Those at which a model server was available.
    with_available_server: u32,
}

/// The unserved requests since the last summary in the log.
#[derive(Debug)]
pub struct UnservedSummary {
    class_names: Vec<String>,
    /// Indexed by class, then by reason.
    counts: Vec<[UnservedCount; UnservedReason::LABELS.len()]>,
    is_empty: bool,
    last_summary: Option<Instant>,
}

impl UnservedSummary {
    /// Creates an empty summary for these request classes.
    pub fn new(class_names: &[String]) -> UnservedSummary {
        UnservedSummary {
            class_names: class_names.to_vec(),
            counts: vec![Default::default(); class_names.len()],
            is_empty: true,
            last_summary: None,
        }
    }

    /// Counts an unserved request.
    pub fn record(&mut self, unserved: UnservedRequest) {
        let Some(counts) = self.counts.get_mut(unserved.class as usize) else {
            return;
        };
        let count = &mut counts[unserved.reason as usize];
        count.total += 1;
        count.with_available_server += u32::from(unserved.available_servers > 0);
        self.is_empty = false;
    }

    /// Returns the text of the summary and starts a new one, if there are unserved requests and the last
    /// summary is old enough.
    pub fn take_due(&mut self, now: Instant) -> Option<String> {
        let is_recent = |last: Instant| now.saturating_duration_since(last) < SUMMARY_INTERVAL;
        if self.is_empty || self.last_summary.is_some_and(is_recent) {
            return None;
        }
        let text = self.to_string();
        self.counts.fill(Default::default());
        self.is_empty = true;
        self.last_summary = Some(now);
        Some(text)
    }
}

impl fmt::Display for UnservedSummary {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for (name, counts) in self.class_names.iter().zip(&self.counts) {
            for (label, count) in UnservedReason::LABELS.iter().zip(counts) {
                if count.total > 0 {
                    let UnservedCount {
                        total,
                        with_available_server,
                    } = count;
                    write!(
                        out,
                        "{separator}{name} {label} {total} ({with_available_server} beside available servers)"
                    )?;
                    separator = ", ";
                }
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
