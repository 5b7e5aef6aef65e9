//! The ledger: reservations at a node and its ancestors, and their settlement.

mod budget_exceeded;
mod node;
mod node_usage;
mod reload;
mod snapshot;

use rustc_hash::FxHashMap;

use super::{BudgetTree, BudgetTreeError, ClockReading, MAX_DEPTH, MicroTokens};
use node::Node;

pub use budget_exceeded::BudgetExceeded;
pub use node_usage::{NamedStatus, NodeUsage};
pub use snapshot::{BudgetState, NodeState};

/// The id of a node in the ledger. It stays valid across reloads as long as the node is configured
/// or has open reservations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeId(u32);

impl NodeId {
    fn index(self) -> usize {
        self.0 as usize
    }
}

/// The id of a reservation, unique within its ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReservationId(u64);

struct Reservation {
    node: NodeId,
    amount: MicroTokens,
}

/// The settlement of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Charge {
    /// The amount that the request used.
    pub used: MicroTokens,
    /// The part of `used` that was not charged: the maximum over all budgets of the path.
    pub uncharged: MicroTokens,
}

/// All budgets of a router.
///
/// The operations take the time as a [`ClockReading`]. A plain [`Timestamp`] converts to a reading
/// in which both clocks have this time, which is valid only if no clock has been stepped.
///
/// [`Timestamp`]: crate::interface::Timestamp
pub struct Ledger {
    nodes: Vec<Node>,
    /// Indices of removed entries of `nodes`, which new nodes reuse.
    free_indices: Vec<u32>,
    ids_by_path: FxHashMap<String, NodeId>,
    reservations: FxHashMap<ReservationId, Reservation>,
    last_reservation_id: u64,
}

impl Ledger {
    /// Creates a ledger without reservations in which nothing is used.
    pub fn new(tree: &BudgetTree, now: impl Into<ClockReading>) -> Result<Ledger, BudgetTreeError> {
        let mut ledger = Ledger {
            nodes: Vec::new(),
            free_indices: Vec::new(),
            ids_by_path: FxHashMap::default(),
            reservations: FxHashMap::default(),
            last_reservation_id: 0,
        };
        ledger.reload(tree, now)?;
        Ok(ledger)
    }

    /// Finds a node by its path.
    pub fn find_node(&self, path: &str) -> Option<NodeId> {
        self.ids_by_path.get(path).copied()
    }

    /// The indices of a node and all its ancestors, starting with the node.
    fn path_to_root(&self, node: NodeId) -> impl Iterator<Item = usize> + use<> {
        let mut indices = [None; MAX_DEPTH];
        let mut next = Some(node);
        for index in &mut indices {
            *index = next.map(NodeId::index);
            next = next.and_then(|id| self.nodes[id.index()].parent);
        }
        indices.into_iter().flatten()
    }

    /// Reserves an amount at a node and all its ancestors. If a budget of one of them does not have
    /// it available, nothing is reserved.
    pub fn reserve(
        &mut self,
        node: NodeId,
        amount: MicroTokens,
        now: impl Into<ClockReading>,
    ) -> Result<ReservationId, BudgetExceeded> {
        self.check_available(node, amount, now.into())?;
        self.last_reservation_id += 1;
        let id = ReservationId(self.last_reservation_id);
        for index in self.path_to_root(node) {
            self.nodes[index].reserved += amount;
            self.nodes[index].open_reservations += 1;
        }
        self.reservations.insert(id, Reservation { node, amount });
        Ok(id)
    }

    /// Adds an amount to a reservation. If the amount is not available, the reservation stays as it
    /// is. Does nothing once the reservation has ended.
    pub fn extend(
        &mut self,
        id: ReservationId,
        additional: MicroTokens,
        now: impl Into<ClockReading>,
    ) -> Result<(), BudgetExceeded> {
        let Some(node) = self.reservations.get(&id).map(|r| r.node) else {
            return Ok(());
        };
        self.check_available(node, additional, now.into())?;
        for index in self.path_to_root(node) {
            self.nodes[index].reserved += additional;
        }
        self.reservations
            .entry(id)
            .and_modify(|r| r.amount += additional);
        Ok(())
    }

    /// Changes the amount of a reservation, for example to the cost of another model. A smaller
    /// amount is always available. Does nothing once the reservation has ended.
    pub fn resize(
        &mut self,
        id: ReservationId,
        amount: MicroTokens,
        now: impl Into<ClockReading>,
    ) -> Result<(), BudgetExceeded> {
        let Some(reservation) = self.reservations.get_mut(&id) else {
            return Ok(());
        };
        let Some(surplus) = reservation.amount.checked_sub(amount) else {
            let additional = amount - reservation.amount;
            return self.extend(id, additional, now);
        };
        let node = reservation.node;
        reservation.amount = amount;
        for index in self.path_to_root(node) {
            self.nodes[index].reserved -= surplus;
        }
        Ok(())
    }

    /// The amount of a reservation; zero once it has ended.
    pub fn reserved(&self, id: ReservationId) -> MicroTokens {
        self.reservations
            .get(&id)
            .map_or(MicroTokens::ZERO, |r| r.amount)
    }

    /// Ends a reservation and charges the amount that was used. Does nothing if the reservation has
    /// already ended.
    pub fn settle(
        &mut self,
        id: ReservationId,
        used: MicroTokens,
        now: impl Into<ClockReading>,
    ) -> Charge {
        let Some(Reservation { node, amount }) = self.reservations.remove(&id) else {
            return Charge::default();
        };
        let now = now.into();
        let mut uncharged = MicroTokens::ZERO;
        for index in self.path_to_root(node) {
            let node = &mut self.nodes[index];
            uncharged = uncharged.max(node.settle(amount, used, now));
            if node.is_unused() {
                self.remove_node(index);
            }
        }
        Charge { used, uncharged }
    }

    /// Ends a reservation without charging anything.
    pub fn release(&mut self, id: ReservationId, now: impl Into<ClockReading>) {
        self.settle(id, MicroTokens::ZERO, now);
    }

    /// The number of reservations that have not ended.
    pub fn reservation_count(&self) -> usize {
        self.reservations.len()
    }

    /// Checks that an amount is available at a node and all its ancestors. The error names the
    /// budget with the longest wait until the amount is available.
    fn check_available(
        &mut self,
        node: NodeId,
        amount: MicroTokens,
        now: ClockReading,
    ) -> Result<(), BudgetExceeded> {
        let path: Vec<usize> = self.path_to_root(node).collect();
        let mut longest_wait: Option<BudgetExceeded> = None;
        for (height, &index) in path.iter().enumerate() {
            let depth = path.len() - 1 - height;
            self.nodes[index].record_longest_wait(amount, depth, now, &mut longest_wait);
        }
        longest_wait.map_or(Ok(()), Err)
    }
}
