//! Health checks of candidates: the load reports of a request's best candidates are requested
//! before one of them is selected. `estimators::replica_load` evaluates the reports.

use super::balancer::Balancer;
use super::replica_table::ReplicaIndex;
use super::selection::Candidate;
use crate::interface::{Action, HealthCheckEnded, Outcome, RequestId, Span, Timestamp};

/// Maximum number of candidates whose load reports are awaited for a request at the same time
/// (docs/design/large-fleets.md).
const CHECKED_CANDIDATES: usize = 3;
/// Maximum age of a measurement that shows a replica's current state, as a multiple of the shortest
/// first-token objective (docs/design/large-fleets.md).
const RECENT_OBJECTIVES: f64 = 1.0;
/// Maximum wait for load reports, as a fraction of the shortest first-token objective. It is about
/// the time of the connection handshake that the request would otherwise have needed
/// (docs/design/large-fleets.md).
pub(super) const REPORT_WAIT_FRACTION: f64 = 1.0 / 16.0;

impl Balancer {
    /// Selects the best candidate once the best few have reported their load; returns `None` while
    /// reports are awaited. A report shows the load from all routers together, of which a single
    /// router measures too little, too late.
    ///
    /// Candidates that have not answered within [`REPORT_WAIT_FRACTION`] of the objective are
    /// skipped, which also avoids replicas whose failure has not been detected. If no candidate has
    /// answered, candidates are sampled once more; if none answers then either, the best candidate
    /// is selected without a report.
    pub(super) fn select_reported(
        &mut self,
        id: RequestId,
        candidates: &[Candidate],
        actions: &mut Vec<Action>,
    ) -> Option<ReplicaIndex> {
        let objective = self.admission.shortest_objective();
        let recent = Span::from_secs_f64(RECENT_OBJECTIVES * objective);
        let report_wait = Span::from_secs_f64(REPORT_WAIT_FRACTION * objective);
        let candidates = &candidates[..candidates.len().min(CHECKED_CANDIDATES)];
        let request = self.requests.get_mut(&id)?;
        if request.candidates.is_empty() {
            request.candidates_since = self.now;
            request.candidate_rounds += 1;
            let replicas = candidates.iter().map(|candidate| candidate.replica);
            request.candidates.extend(replicas);
            self.request_reports(candidates, recent, actions);
        }
        let is_settled = |candidate: &Candidate| {
            self.replicas[candidate.replica].has_recent_data(self.now, recent)
                || self.is_suspected(candidate.replica)
        };
        let all_settled = candidates.iter().all(is_settled);
        let request = self.requests.get_mut(&id)?;
        let is_known = |candidate: &Candidate| {
            self.replicas[candidate.replica].has_recent_data(self.now, recent)
        };
        let waited = self.now - request.candidates_since >= report_wait;
        if !waited && !all_settled {
            return None;
        }
        request.candidates.clear();
        let fallback = candidates.first().filter(|_| request.candidate_rounds > 1);
        let known = candidates.iter().find(|candidate| is_known(candidate));
        known.or(fallback).map(|candidate| candidate.replica)
    }

    /// Starts health checks of the candidates without recent measurements.
    fn request_reports(
        &mut self,
        candidates: &[Candidate],
        recent: Span,
        actions: &mut Vec<Action>,
    ) {
        for candidate in candidates {
            if self.is_suspected(candidate.replica) {
                continue;
            }
            let replica = &mut self.replicas[candidate.replica];
            if !replica.has_recent_data(self.now, recent) && !replica.load.is_awaited(self.now) {
                replica.load.mark_requested(self.now);
                actions.push(Action::CheckHealth {
                    replica: replica.entry.replica,
                });
            }
        }
    }

    /// Handles the end of a health check. Only a failed connection says that requests will fail too.
    pub(super) fn on_health_check_ended(&mut self, end: HealthCheckEnded) {
        let Some(&index) = self.replica_index.get(&end.replica) else {
            return;
        };
        let replica = &mut self.replicas[index];
        match end.outcome {
            Outcome::Completed => {
                let report = end.load_report;
                replica.load.record(report, &mut self.fleet_load, self.now);
                replica.consecutive_failed_checks = 0;
                replica.suspected_until = Timestamp::ZERO;
            }
            Outcome::ConnectFailed => {
                replica.load.mark_failed();
                self.record_fault(index);
            }
            _ => {
                replica.load.mark_failed();
                self.record_failed_check(index);
            }
        }
    }
}
