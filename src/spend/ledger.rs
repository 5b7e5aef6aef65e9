//! The ledger: reservations along a path of nodes, and what they come to.

mod snapshot;

use rustc_hash::FxHashMap;

use super::gauge::{Gauge, Short};
use super::{DEPTH, Micro, Moment, Reading, Tree, TreeFault};
use crate::interface::Span;

pub use snapshot::NodeState;

/// A node of the ledger. It stays the same over reloads for as long as the node is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeId(u32);

/// A reservation that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HoldId(u64);

struct Node {
    path: String,
    parent: Option<NodeId>,
    /// It is in the tree in force; the others only wait for their reservations' end.
    listed: bool,
    reserved: Micro,
    holds: u32,
    /// What was used but not charged: beyond reservations, where the budget was over already.
    uncharged: Micro,
    budgets: Vec<(String, Gauge)>,
}

struct Hold {
    node: NodeId,
    amount: Micro,
}

/// Why a reservation is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The node that has no room; of several the one that is last to have it again.
    pub node: String,
    /// How far up it stands: 0 for the root.
    pub depth: usize,
    /// Its budget's name.
    pub budget: String,
    /// When to come back; none: the whole limit is smaller than what was asked for.
    pub retry_in: Option<Span>,
    /// What the budget shows.
    pub reading: Reading,
    /// What is reserved at the node.
    pub reserved: Micro,
}

/// What a settled RPC came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Charge {
    /// What it used.
    pub used: Micro,
    /// The most that some budget did not charge of it.
    pub uncharged: Micro,
}

/// A node as operators and its own people see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Its path.
    pub path: String,
    /// What is reserved now.
    pub reserved: Micro,
    /// What was used and not charged since the start.
    pub uncharged: Micro,
    /// Its budgets.
    pub budgets: Vec<(String, Reading)>,
}

/// All budgets of a router.
pub struct Ledger {
    nodes: Vec<Node>,
    free: Vec<u32>,
    index: FxHashMap<String, NodeId>,
    holds: FxHashMap<HoldId, Hold>,
    last: u64,
}

impl Ledger {
    /// Nothing spent.
    pub fn new(tree: &Tree, now: impl Into<Moment>) -> Result<Ledger, TreeFault> {
        let (index, holds) = (FxHashMap::default(), FxHashMap::default());
        let mut ledger = Ledger {
            nodes: Vec::new(),
            free: Vec::new(),
            index,
            holds,
            last: 0,
        };
        ledger.reload(tree, now)?;
        Ok(ledger)
    }

    /// The node of a path.
    pub fn node(&self, path: &str) -> Option<NodeId> {
        self.index.get(path).copied()
    }

    /// A node and those above it, itself first.
    fn path(&self, node: NodeId) -> impl Iterator<Item = usize> + use<> {
        let mut all = [None; DEPTH];
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
        amount: Micro,
        now: impl Into<Moment>,
    ) -> Result<HoldId, Refusal> {
        self.room(node, amount, now.into())?;
        self.last += 1;
        let id = HoldId(self.last);
        for k in self.path(node) {
            self.nodes[k].reserved += amount;
            self.nodes[k].holds += 1;
        }
        self.holds.insert(id, Hold { node, amount });
        Ok(id)
    }

    /// Reserves more under the same reservation, or nothing.
    pub fn extend(
        &mut self,
        id: HoldId,
        more: Micro,
        now: impl Into<Moment>,
    ) -> Result<(), Refusal> {
        let Some(node) = self.holds.get(&id).map(|h| h.node) else {
            return Ok(());
        };
        self.room(node, more, now.into())?;
        for k in self.path(node) {
            self.nodes[k].reserved += more;
        }
        self.holds.entry(id).and_modify(|h| h.amount += more);
        Ok(())
    }

    /// Makes a reservation this large: another model's price, say. A smaller one is always had.
    pub fn resize(
        &mut self,
        id: HoldId,
        amount: Micro,
        now: impl Into<Moment>,
    ) -> Result<(), Refusal> {
        let Some(held) = self.holds.get(&id).map(|h| h.amount) else {
            return Ok(());
        };
        match amount.checked_sub(held) {
            Some(0) => Ok(()),
            Some(more) => self.extend(id, more, now),
            None => {
                let node = self.holds[&id].node;
                for k in self.path(node) {
                    self.nodes[k].reserved -= held - amount;
                }
                self.holds.entry(id).and_modify(|h| h.amount = amount);
                Ok(())
            }
        }
    }

    /// What a reservation holds; zero once it has ended.
    pub fn held(&self, id: HoldId) -> Micro {
        self.holds.get(&id).map_or(0, |h| h.amount)
    }

    /// Ends a reservation: what was used is charged. Ending it again does nothing.
    pub fn settle(&mut self, id: HoldId, used: Micro, now: impl Into<Moment>) -> Charge {
        let Some(Hold { node, amount }) = self.holds.remove(&id) else {
            return Charge::default();
        };
        let now = now.into();
        let (within, beyond) = (used.min(amount), used.saturating_sub(amount));
        let mut uncharged = 0;
        for k in self.path(node) {
            let n = &mut self.nodes[k];
            n.reserved -= amount;
            n.holds -= 1;
            let mut left = 0;
            for (_, gauge) in &mut n.budgets {
                gauge.advance(now);
                left = left.max(gauge.charge(within, beyond, n.reserved));
            }
            n.uncharged = n.uncharged.saturating_add(left);
            uncharged = uncharged.max(left);
            if n.holds == 0 && !n.listed {
                self.drop_node(k);
            }
        }
        Charge { used, uncharged }
    }

    /// Ends a reservation of which nothing was used.
    pub fn release(&mut self, id: HoldId, now: impl Into<Moment>) {
        self.settle(id, 0, now);
    }

    /// Reservations that have not ended.
    pub fn open(&self) -> usize {
        self.holds.len()
    }

    fn room(&mut self, node: NodeId, amount: Micro, now: Moment) -> Result<(), Refusal> {
        let mut worst: Option<(Span, Refusal)> = None;
        let path: Vec<usize> = self.path(node).collect();
        for (up, &k) in path.iter().enumerate() {
            let n = &mut self.nodes[k];
            for (name, gauge) in &mut n.budgets {
                gauge.advance(now);
                let Err(short) = gauge.room(n.reserved, amount, now) else {
                    continue;
                };
                let (wait, retry_in) = match short {
                    Short::Never => (Span::MAX, None),
                    Short::Until(wait) => (wait, Some(wait)),
                };
                if worst.as_ref().is_none_or(|w| wait > w.0) {
                    let refusal = Refusal {
                        node: n.path.clone(),
                        depth: path.len() - 1 - up,
                        budget: name.clone(),
                        retry_in,
                        reading: gauge.reading(now),
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
    pub fn reload(&mut self, tree: &Tree, now: impl Into<Moment>) -> Result<(), TreeFault> {
        tree.check()?;
        let now = now.into();
        for node in &mut self.nodes {
            node.listed = false;
        }
        for n in &tree.nodes {
            let parent = n
                .path
                .rsplit_once('/')
                .and_then(|(parent, _)| self.node(parent));
            let gauge =
                |b: &super::Budget| (b.name.clone(), Gauge::new(&b.limit, tree.instances, now));
            let mut budgets: Vec<(String, Gauge)> = n.budgets.iter().map(gauge).collect();
            match self.node(&n.path) {
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
                        holds: 0,
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
            if !node.listed && node.holds == 0 && !node.path.is_empty() {
                self.drop_node(k);
            }
        }
        Ok(())
    }

    /// A node and all below it, by path. It reads every node: for people, not for RPCs.
    pub fn reports(&mut self, node: NodeId, now: impl Into<Moment>) -> Vec<Report> {
        let now = now.into();
        let top = self.nodes[node.0 as usize].path.clone();
        let below = |path: &str| {
            path.strip_prefix(top.as_str())
                .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        };
        let mut all: Vec<Report> = Vec::new();
        for n in self.nodes.iter_mut().filter(|n| n.listed && below(&n.path)) {
            let budgets = n.budgets.iter_mut().map(|(name, gauge)| {
                gauge.advance(now);
                (name.clone(), gauge.reading(now))
            });
            let budgets = budgets.collect();
            all.push(Report {
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
