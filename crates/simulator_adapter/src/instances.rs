//! The running instances of the decision module.

use stilespan::Balancer;
use stilespan::interface::{Action, Event, Settings, Timestamp};

use crate::endpoint_sheets::ReplicaNames;
use crate::reply::write_action;

/// All instances, indexed by their numbers.
#[derive(Default)]
pub(crate) struct Instances {
    slots: Vec<Slot>,
    /// The instances that were started or received an event in this batch; may contain duplicates.
    batch_instances: Vec<usize>,
    /// Reused between steps.
    actions: Vec<Action>,
}

/// One instance: its balancer (`None` if it is not running), and its events in the current batch.
#[derive(Default)]
struct Slot {
    balancer: Option<Balancer>,
    events: Vec<Event>,
}

impl Instances {
    /// Starts an instance. A running instance with the same number is replaced.
    pub(crate) fn start(&mut self, instance: usize, seed: u64, settings: Settings, now: Timestamp) {
        if instance >= self.slots.len() {
            self.slots.resize_with(instance + 1, Slot::default);
        }
        let slot = &mut self.slots[instance];
        slot.events.clear();
        slot.balancer = Some(Balancer::new(settings, seed, now));
        self.batch_instances.push(instance);
    }

    /// Kills an instance and drops its events of this batch.
    pub(crate) fn kill(&mut self, instance: usize) {
        if let Some(slot) = self.slots.get_mut(instance) {
            *slot = Slot::default();
        }
    }

    /// Adds an event to the batch. An event for an instance that is not running is dropped.
    pub(crate) fn push_event(&mut self, instance: usize, event: Event) {
        let slot = self.slots.get_mut(instance);
        let Some(slot) = slot.filter(|slot| slot.balancer.is_some()) else {
            return;
        };
        if slot.events.is_empty() {
            self.batch_instances.push(instance);
        }
        slot.events.push(event);
    }

    /// Runs one step of each instance in the batch, in the order of their numbers, and appends a
    /// line for each action to the reply.
    pub(crate) fn step(&mut self, now: Timestamp, names: &ReplicaNames, reply: &mut String) {
        self.batch_instances.sort_unstable();
        self.batch_instances.dedup();
        for instance in self.batch_instances.drain(..) {
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
