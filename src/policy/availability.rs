//! How many replicas could take a request at the time of a decision, and which part of the idle
//! ones this router may use while admission control sheds.

use super::balancer::Balancer;
use super::replica_table::ReplicaIndex;
use crate::interface::RequestId;

/// Maximum number of replicas examined. It bounds the work, and in a large fleet also the part of
/// the idle replicas that is used: a replica that is idle for one of many routers may be busy.
const MAX_EXAMINED_REPLICAS: usize = 32;
/// Number of requests that any replica runs at the same time without delaying them much.
const MIN_BATCH_SIZE: u32 = 4;

impl Balancer {
    /// Returns how many replicas could take a request now and answer it in time, as far as this
    /// router knows.
    pub(super) fn available_replicas(&self, id: RequestId) -> u32 {
        self.count_examined(|replica| self.is_available(id, replica))
    }

    /// Returns the probability, from 0 to 1, with which this router may send a request to an idle
    /// replica although admission control would shed it. All routers may see the same idle replicas,
    /// so the requests that these can take are divided by the number of routers. The more attempts
    /// this router has in flight, the less likely a replica that it does not use is idle.
    pub(super) fn idle_share(&self, id: RequestId) -> f64 {
        let is_idle =
            |replica| self.replicas[replica].in_flight == 0 && self.is_available(id, replica);
        let idle = f64::from(self.count_examined(is_idle));
        let routers = f64::from(self.settings.router_count.max(1));
        let in_service = self.maturity.in_service().max(1) as f64;
        let used_by_others = (routers - 1.0) * f64::from(self.attempts_in_flight) / in_service;
        let has_room = poisson_below(MIN_BATCH_SIZE, used_by_others);
        (idle * f64::from(MIN_BATCH_SIZE) * has_room / routers).min(1.0)
    }

    fn count_examined(&self, condition: impl Fn(ReplicaIndex) -> bool) -> u32 {
        let examined = self.maturity.mature().iter().take(MAX_EXAMINED_REPLICAS);
        examined.filter(|&&replica| condition(replica)).count() as u32
    }

    /// Returns whether a request may be sent to a mature replica now, and its first token is
    /// predicted in time.
    fn is_available(&self, id: RequestId, replica: ReplicaIndex) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let arrival = &request.arrival;
        let remaining = (request.due - self.now).as_secs_f64();
        self.is_eligible(replica, arrival)
            && self.cost(arrival, replica, remaining).is_some()
            && self.may_send(id, replica)
    }
}

/// Returns the probability that a Poisson distributed number with this mean is less than `limit`.
fn poisson_below(limit: u32, mean: f64) -> f64 {
    let mut probability = (-mean).exp();
    let mut sum = 0.0;
    for number in 0..limit {
        sum += probability;
        probability *= mean / f64::from(number + 1);
    }
    sum
}

#[cfg(test)]
mod tests;
