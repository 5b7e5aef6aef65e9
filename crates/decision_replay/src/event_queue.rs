//! A queue of events in the order of their due times. Events with the same due time are returned in
//! the order in which they were added.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Events that are not due yet.
#[derive(Debug)]
pub struct EventQueue<E> {
    /// Due time in microseconds and key of each event, with the earliest event on top.
    order: BinaryHeap<Reverse<(u64, u64)>>,
    /// The events by their key.
    events: HashMap<u64, E>,
    last_key: u64,
}

impl<E> EventQueue<E> {
    /// An empty queue.
    pub fn new() -> EventQueue<E> {
        EventQueue {
            order: BinaryHeap::new(),
            events: HashMap::new(),
            last_key: 0,
        }
    }

    /// Adds an event that is due at a time in microseconds.
    pub fn push(&mut self, due_at: u64, event: E) {
        self.last_key += 1;
        self.order.push(Reverse((due_at, self.last_key)));
        self.events.insert(self.last_key, event);
    }

    /// Removes the earliest event, if it is due by now.
    pub fn pop_due(&mut self, now: u64) -> Option<E> {
        let Reverse((due_at, key)) = *self.order.peek()?;
        if due_at > now {
            return None;
        }
        self.order.pop();
        self.events.remove(&key)
    }
}
