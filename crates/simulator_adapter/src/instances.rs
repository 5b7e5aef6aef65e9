//! The running instances of the decision module.

use stilespan::Balancer;
use stilespan::interface::{Action, Event, Settings, Timestamp};

use crate::endpoint_sheets::ReplicaNames;
use crate::reply::write_action;

/// All instances, by their numbers.
#[derive(Default)]
pub(crate) struct Instances {
    slots: Vec<Slot>,
    /// The instances that take part in the batch; may contain one twice.
    in_batch: Vec<usize>,
    /// Reused between steps.
    actions: Vec<Action>,
}

/// One instance: its balancer while it runs, and its events of the batch that is being read.
#[derive(Default)]
struct Slot {
    balancer: Option<Balancer>,
    events: Vec<Event>,
}

impl Instances {
    /// Starts an instance, in place of one that may run under this number.
    pub(crate) fn start(&mut self, instance: usize, seed: u64, settings: Settings, now: Timestamp) {
        if instance >= self.slots.len() {
            self.slots.resize_with(instance + 1, Slot::default);
        }
        let slot = &mut self.slots[instance];
        slot.events.clear();
        slot.balancer = Some(Balancer::new(settings, seed, now));
        self.in_batch.push(instance);
    }

    /// Kills an instance with its events of this batch.
    pub(crate) fn kill(&mut self, instance: usize) {
        if let Some(slot) = self.slots.get_mut(instance) {
            *slot = Slot::default();
        }
    }

    /// Adds an event to the batch. One for an instance that doesn't run is dropped.
    pub(crate) fn push_event(&mut self, instance: usize, event: Event) {
        let slot = self.slots.get_mut(instance);
        let Some(slot) = slot.filter(|slot| slot.balancer.is_some()) else {
            return;
        };
        if slot.events.is_empty() {
            self.in_batch.push(instance);
        }
        slot.events.push(event);
    }

    /// Steps every instance of the batch in the order of their numbers, and appends the lines of
    /// their actions to the reply.
    pub(crate) fn step(&mut self, now: Timestamp, names: &ReplicaNames, reply: &mut String) {
        self.in_batch.sort_unstable();
        self.in_batch.dedup();
        for instance in self.in_batch.drain(..) {
            let slot = &mut self.slots[instance];
            if let Some(balancer) = &mut slot.balancer {
                self.actions.clear();
                balancer.step(now, &slot.events, &mut self.actions);
                for action in &self.actions {
                    write_action(reply, names, instance, action);
                }
            }
            slot.events.clear();
        }
    }
}
