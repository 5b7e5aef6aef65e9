//! The ledger: reservations along a path of nodes, and what they come to.

mod snapshot;

use rustc_hash::FxHashMap;

use super::gauge::{Gauge, Short};
use super::{BudgetStatus, BudgetTree, BudgetTreeError, ClockReading, MAX_DEPTH, MicroTokens};
use crate::interface::Span;

pub use snapshot::NodeState;

/// A node of the ledger. It stays the same over reloads for as long as the node is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeId(u32);

/// A reservation that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReservationId(u64);

struct Node {
    path: String,
    parent: Option<NodeId>,
    /// It is in the tree in force; the others only wait for their reservations' end.
    listed: bool,
    reserved: MicroTokens,
    reservations: u32,
    /// What was used but not charged: beyond reservations, where the budget was over already.
    uncharged: MicroTokens,
    budgets: Vec<(String, Gauge)>,
}

struct Reservation {
    node: NodeId,
    amount: MicroTokens,
}

/// Why a reservation is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetExceeded {
    /// The node that has no room; of several the one that is last to have it again.
    pub node: String,
    /// How far up it stands: 0 for the root.
    pub depth: usize,
    /// Its budget's name.
    pub budget: String,
    /// When to come back; none: the whole limit is smaller than what was asked for.
    pub retry_after: Option<Span>,
    /// What the budget shows.
    pub status: BudgetStatus,
    /// What is reserved at the node.
    pub reserved: MicroTokens,
}

/// What a settled RPC came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Charge {
    /// What it used.
    pub used: MicroTokens,
    /// The most that some budget did not charge of it.
    pub uncharged: MicroTokens,
}

/// A node as operators and its own people see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeUsage {
    /// Its path.
    pub path: String,
    /// What is reserved now.
    pub reserved: MicroTokens,
    /// What was used and not charged since the start.
    pub uncharged: MicroTokens,
    /// Its budgets.
    pub budgets: Vec<(String, BudgetStatus)>,
}

/// All budgets of a router.
pub struct Ledger {
    nodes: Vec<Node>,
    free: Vec<u32>,
    index: FxHashMap<String, NodeId>,
    reservations: FxHashMap<ReservationId, Reservation>,
    last: u64,
}

impl Ledger {
    /// Nothing spent.
    pub fn new(tree: &BudgetTree, now: impl Into<ClockReading>) -> Result<Ledger, BudgetTreeError> {
        let (index, reservations) = (FxHashMap::default(), FxHashMap::default());
        let mut ledger = Ledger {
            nodes: Vec::new(),
            free: Vec::new(),
            index,
            reservations,
            last: 0,
        };
        ledger.reload(tree, now)?;
        Ok(ledger)
    }

    /// The node of a path.
    pub fn find_node(&self, path: &str) -> Option<NodeId> {
        self.index.get(path).copied()
    }

    /// A node and those above it, itself first.
    fn path(&self, node: NodeId) -> impl Iterator<Item = usize> + use<> {
        let mut all = [None; MAX_DEPTH];
        let mut next = Some(node);
        for place in &mut all {
            *place = next.map(|n| n.0 as usize);
            next = next.and_then(|n| self.nodes[n.0 as usize].parent);
        }
        all.into_iter().flatten()
    }

    /// Reserves an amount at a node and all above it, or at none.
    pub fn reserve(
        &mut self,
        node: NodeId,
        amount: MicroTokens,
        now: impl Into<ClockReading>,
    ) -> Result<ReservationId, BudgetExceeded> {
        self.room(node, amount, now.into())?;
        self.last += 1;
        let id = ReservationId(self.last);
        for k in self.path(node) {
            self.nodes[k].reserved += amount;
            self.nodes[k].reservations += 1;
        }
        self.reservations.insert(id, Reservation { node, amount });
        Ok(id)
    }

    /// Reserves more under the same reservation, or nothing.
    pub fn extend(
        &mut self,
        id: ReservationId,
        more: MicroTokens,
        now: impl Into<ClockReading>,
    ) -> Result<(), BudgetExceeded> {
        let Some(node) = self.reservations.get(&id).map(|h| h.node) else {
            return Ok(());
        };
        self.room(node, more, now.into())?;
        for k in self.path(node) {
            self.nodes[k].reserved += more;
        }
        self.reservations.entry(id).and_modify(|h| h.amount += more);
        Ok(())
    }

    /// Makes a reservation this large: another model's price, say. A smaller one is always had.
    pub fn resize(
        &mut self,
        id: ReservationId,
        amount: MicroTokens,
        now: impl Into<ClockReading>,
    ) -> Result<(), BudgetExceeded> {
        let Some(held) = self.reservations.get(&id).map(|h| h.amount) else {
            return Ok(());
        };
        match amount.checked_sub(held) {
            Some(0) => Ok(()),
            Some(more) => self.extend(id, more, now),
            None => {
                let node = self.reservations[&id].node;
                for k in self.path(node) {
                    self.nodes[k].reserved -= held - amount;
                }
                self.reservations
                    .entry(id)
                    .and_modify(|h| h.amount = amount);
                Ok(())
            }
        }
    }

    /// What a reservation holds; zero once it has ended.
    pub fn reserved(&self, id: ReservationId) -> MicroTokens {
        self.reservations.get(&id).map_or(0, |h| h.amount)
    }

    /// Ends a reservation: what was used is charged. Ending it again does nothing.
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
        let (within, beyond) = (used.min(amount), used.saturating_sub(amount));
        let mut uncharged = 0;
        for k in self.path(node) {
            let n = &mut self.nodes[k];
            n.reserved -= amount;
            n.reservations -= 1;
            let mut left = 0;
            for (_, gauge) in &mut n.budgets {
                gauge.advance(now);
                left = left.max(gauge.charge(within, beyond, n.reserved));
            }
            n.uncharged = n.uncharged.saturating_add(left);
            uncharged = uncharged.max(left);
            if n.reservations == 0 && !n.listed {
                self.drop_node(k);
            }
        }
        Charge { used, uncharged }
    }

    /// Ends a reservation of which nothing was used.
    pub fn release(&mut self, id: ReservationId, now: impl Into<ClockReading>) {
        self.settle(id, 0, now);
    }

    /// Reservations that have not ended.
    pub fn reservation_count(&self) -> usize {
        self.reservations.len()
    }

    fn room(
        &mut self,
        node: NodeId,
        amount: MicroTokens,
        now: ClockReading,
    ) -> Result<(), BudgetExceeded> {
        let mut worst: Option<(Span, BudgetExceeded)> = None;
        let path: Vec<usize> = self.path(node).collect();
        for (up, &k) in path.iter().enumerate() {
            let n = &mut self.nodes[k];
            for (name, gauge) in &mut n.budgets {
                gauge.advance(now);
                let Err(short) = gauge.room(n.reserved, amount, now) else {
                    continue;
                };
                let (wait, retry_after) = match short {
                    Short::Never => (Span::MAX, None),
                    Short::Until(wait) => (wait, Some(wait)),
                };
                if worst.as_ref().is_none_or(|w| wait > w.0) {
                    let refusal = BudgetExceeded {
                        node: n.path.clone(),
                        depth: path.len() - 1 - up,
                        budget: name.clone(),
                        retry_after,
                        status: gauge.status(now),
                        reserved: n.reserved,
                    };
                    worst = Some((wait, refusal));
                }
            }
        }
        worst.map_or(Ok(()), |w| Err(w.1))
    }

    fn drop_node(&mut self, k: usize) {
        let path = std::mem::take(&mut self.nodes[k].path);
        if self.index.get(&path) == Some(&NodeId(k as u32)) {
            self.index.remove(&path);
        }
        self.nodes[k].budgets = Vec::new();
        self.free.push(k as u32);
    }

    /// Brings another tree into force, whole or not at all. What is spent and reserved stays with
    /// nodes of the same path and budgets of the same name; a lowered budget refuses until it has
    /// room. A node that is gone ends once its reservations have.
    pub fn reload(
        &mut self,
        tree: &BudgetTree,
        now: impl Into<ClockReading>,
    ) -> Result<(), BudgetTreeError> {
        tree.check()?;
        let now = now.into();
        for node in &mut self.nodes {
            node.listed = false;
        }
        for n in &tree.nodes {
            let parent = n
                .path
                .rsplit_once('/')
                .and_then(|(parent, _)| self.find_node(parent));
            let gauge =
                |b: &super::Budget| (b.name.clone(), Gauge::new(&b.limit, tree.instances, now));
            let mut budgets: Vec<(String, Gauge)> = n.budgets.iter().map(gauge).collect();
            match self.find_node(&n.path) {
                Some(NodeId(k)) => {
                    let node = &mut self.nodes[k as usize];
                    for (name, gauge) in &mut budgets {
                        if let Some((_, old)) = node.budgets.iter_mut().find(|o| o.0 == *name) {
                            old.advance(now);
                            gauge.inherit(old);
                        }
                    }
                    (node.budgets, node.listed) = (budgets, true);
                }
                None => {
                    let (path, listed) = (n.path.clone(), true);
                    let node = Node {
                        path,
                        parent,
                        listed,
                        reserved: 0,
                        reservations: 0,
                        uncharged: 0,
                        budgets,
                    };
                    let k = self.free.pop().unwrap_or(self.nodes.len() as u32);
                    match self.nodes.get_mut(k as usize) {
                        Some(place) => *place = node,
                        None => self.nodes.push(node),
                    }
                    self.index.insert(n.path.clone(), NodeId(k));
                }
            }
        }
        for k in 0..self.nodes.len() {
            let node = &self.nodes[k];
            if !node.listed && node.reservations == 0 && !node.path.is_empty() {
                self.drop_node(k);
            }
        }
        Ok(())
    }

    /// A node and all below it, by path. It reads every node: for people, not for RPCs.
    pub fn subtree_usage(&mut self, node: NodeId, now: impl Into<ClockReading>) -> Vec<NodeUsage> {
        let now = now.into();
        let top = self.nodes[node.0 as usize].path.clone();
        let below = |path: &str| {
            path.strip_prefix(top.as_str())
                .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        };
        let mut all: Vec<NodeUsage> = Vec::new();
        for n in self.nodes.iter_mut().filter(|n| n.listed && below(&n.path)) {
            let budgets = n.budgets.iter_mut().map(|(name, gauge)| {
                gauge.advance(now);
                (name.clone(), gauge.status(now))
            });
            let budgets = budgets.collect();
            all.push(NodeUsage {
                path: n.path.clone(),
                reserved: n.reserved,
                uncharged: n.uncharged,
                budgets,
            });
        }
        all.sort_by(|a, b| a.path.cmp(&b.path));
        all
    }
}
