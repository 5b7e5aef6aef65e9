//! A core with a scripted connector.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use stilespan::core::actor::Parts;
use stilespan::core::{Connector, Host, ListOrder, Order};
use stilespan::interface::{Entry, ReplicaId, Settings, Time};
use tokio::sync::mpsc;

pub type Opened = Arc<Mutex<Vec<(ReplicaId, mpsc::Receiver<Order>)>>>;

/// Keeps the mailboxes of the subchannels that it was asked for.
pub struct Scripted(pub Opened);

impl Connector for Scripted {
    fn open(&self, replica: ReplicaId, _: &Host) -> mpsc::Sender<Order> {
        let (to, orders) = mpsc::channel(8);
        self.0.lock().unwrap().push((replica, orders));
        to
    }
}

pub fn host(id: u64, address: &str, started: u64) -> Host {
    let entry = Entry { replica: ReplicaId(id), started: Time(started), rating: 1.0, ..Entry::default() };
    Host { name: format!("s-{id}"), address: address.into(), entry, models: None }
}

pub fn parts(connector: Scripted, resolver: mpsc::Sender<ListOrder>) -> Parts {
    Parts {
        settings: Settings::default(),
        seed: 1,
        max_open: 10,
        begin_within: Duration::from_millis(350),
        connector: Box::new(connector),
        resolver,
        bans: Vec::new(),
        figures: stilespan::ops::figures::Figures::new(&[]).into(),
    }
}
