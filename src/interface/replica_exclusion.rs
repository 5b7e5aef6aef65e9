//! Why replicas were not chosen for a request, for the log.

use std::fmt;

/// Why a replica was not chosen for a request. Used only in the log, not for decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaExclusion {
    /// It is draining or removed, or doesn't serve the model.
    NotInService,
    /// It is warming up.
    WarmingUp,
    /// It is in a backoff after faults.
    Backoff,
    /// It prefills what this router sent before.
    Prefilling,
    /// A first token is overdue there.
    Overdue,
    /// Its first token is predicted too late.
    PredictedLate,
    /// Its load report is awaited.
    ReportAwaited,
    /// Nothing excludes it.
    None,
}

impl ReplicaExclusion {
    /// The labels of the reasons in the log, in the order of the variants.
    pub const LABELS: [&str; 8] = [
        "not in service",
        "warming up",
        "in backoff",
        "prefilling",
        "overdue",
        "predicted late",
        "report awaited",
        "available",
    ];
}

/// Numbers of replicas by [`ReplicaExclusion`], at the time of one request's rejection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExclusionCounts([u32; ReplicaExclusion::LABELS.len()]);

impl ExclusionCounts {
    /// Counts a replica.
    pub fn record(&mut self, exclusion: ReplicaExclusion) {
        self.0[exclusion as usize] += 1;
    }

    /// The number of replicas with this exclusion.
    pub fn get(&self, exclusion: ReplicaExclusion) -> u32 {
        self.0[exclusion as usize]
    }
}

impl fmt::Display for ExclusionCounts {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for (label, count) in ReplicaExclusion::LABELS.iter().zip(self.0) {
            if count > 0 {
                write!(out, "{separator}{count} {label}")?;
                separator = ", ";
            }
        }
        Ok(())
    }
}
