//! Counts the requests that are not served, and summarizes them for the log.

use std::fmt;
use std::time::{Duration, Instant};

use crate::interface::UnservedReason;

/// The minimum time between two summaries.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// A request that is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The request's class.
    pub class: u32,
    /// Why it is not served.
    pub reason: UnservedReason,
    /// The number of model servers that could have taken the request, as far as the router knew.
    pub available_servers: u32,
}

/// Numbers of refusals of one class with one reason.
#[derive(Clone, Copy, Debug, Default)]
struct RefusalCount {
    refused: u32,
    /// Those at which a model server was available.
    beside_available: u32,
}

/// The refusals since the last summary in the log.
#[derive(Debug)]
pub struct RefusalSummary {
    class_names: Vec<String>,
    /// Indexed by class, then by reason.
    counts: Vec<[RefusalCount; UnservedReason::LABELS.len()]>,
    is_empty: bool,
    last_summary: Option<Instant>,
}

impl RefusalSummary {
    /// Creates an empty summary for these request classes.
    pub fn new(class_names: &[String]) -> RefusalSummary {
        RefusalSummary {
            class_names: class_names.to_vec(),
            counts: vec![Default::default(); class_names.len()],
            is_empty: true,
            last_summary: None,
        }
    }

    /// Counts a refusal.
    pub fn record(&mut self, refusal: Refusal) {
        let Some(counts) = self.counts.get_mut(refusal.class as usize) else {
            return;
        };
        let count = &mut counts[refusal.reason as usize];
        count.refused += 1;
        count.beside_available += u32::from(refusal.available_servers > 0);
        self.is_empty = false;
    }

    /// Returns the text of the summary and starts a new one, if there are refusals and the last
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

impl fmt::Display for RefusalSummary {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for (name, counts) in self.class_names.iter().zip(&self.counts) {
            for (label, count) in UnservedReason::LABELS.iter().zip(counts) {
                if count.refused > 0 {
                    let RefusalCount {
                        refused,
                        beside_available,
                    } = count;
                    write!(
                        out,
                        "{separator}{name} {label} {refused} ({beside_available} beside available servers)"
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
