//! Counts the replicas that could take a request at the time of a decision.

use super::balancer::Balancer;
use super::replica_table::ReplicaIndex;
use crate::interface::RequestId;

/// Maximum number of replicas examined to count the available ones.
const MAX_EXAMINED_REPLICAS: usize = 32;

impl Balancer {
    /// Returns how many replicas could take a request now and answer it in time, as far as this
    /// router knows. At most [`MAX_EXAMINED_REPLICAS`] are examined.
    pub(super) fn available_replicas(&self, id: RequestId) -> u32 {
        let Some(request) = self.requests.get(&id) else {
            return 0;
        };
        let arrival = &request.arrival;
        let remaining = (request.due - self.now).as_secs_f64();
        let is_available = |replica: &&ReplicaIndex| {
            self.is_eligible(**replica, arrival)
                && self.cost(arrival, **replica, remaining).is_some()
                && self.may_send(id, **replica)
        };
        let examined = self.maturity.mature().iter().take(MAX_EXAMINED_REPLICAS);
        examined.filter(is_available).count() as u32
    }
}
