//! Replays one seed: sends the same batches to both adapters as long as their replies are equal.

use std::io;
use std::path::Path;

use crate::adapter::Adapter;
use crate::deployments::Deployment;
use crate::simulation::Simulation;
use crate::totals::Totals;

/// A replay ends after this number of events.
const MAX_EVENTS: u64 = 10_000;

/// Why a replay stopped.
#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    /// An adapter failed.
    #[error("an adapter failed: {0}")]
    Adapter(#[from] io::Error),
    /// The adapters' replies to a batch differ.
    #[error(
        "after {events} events, the base adapter replies '{base}' and the changed adapter '{changed}'"
    )]
    DifferentReplies {
        /// Events sent up to and including this batch.
        events: u64,
        /// The first line of the base adapter that differs.
        base: String,
        /// The corresponding line of the changed adapter.
        changed: String,
    },
}

/// Replays one seed on one deployment with both adapters.
pub fn replay(
    deployment: &Deployment,
    seed: u64,
    base: &Path,
    changed: &Path,
) -> Result<Totals, ReplayError> {
    let mut base = Adapter::start(base)?;
    let mut changed = Adapter::start(changed)?;
    let mut simulation = Simulation::start(deployment, seed);
    loop {
        let batch = simulation.take_batch();
        let expected = base.exchange(&batch)?;
        let reply = changed.exchange(&batch)?;
        if reply != expected {
            return Err(first_difference(
                simulation.totals.events,
                &expected,
                &reply,
            ));
        }
        simulation.totals.reply_bytes += reply.len() as u64;
        if simulation.totals.events >= MAX_EVENTS {
            return Ok(simulation.totals);
        }
        simulation.advance(&reply);
    }
}

fn first_difference(events: u64, expected: &str, reply: &str) -> ReplayError {
    let mut pairs = expected.lines().zip(reply.lines());
    let (base, changed) = pairs
        .find(|(base, changed)| base != changed)
        .unwrap_or(("(no differing line)", "(no differing line)"));
    ReplayError::DifferentReplies {
        events,
        base: base.into(),
        changed: changed.into(),
    }
}
