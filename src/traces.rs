//! The `X-Trace-Id`s in use: no two open RPCs share one, over all fronts.

use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// An `X-Trace-Id` holds so much at most.
const MAX_TRACE: usize = 128;
/// Ids of ended requests that are remembered.
const ENDED: usize = 1024;

#[derive(Default)]
struct Known {
    known: HashSet<Arc<str>>,
    ended: VecDeque<Arc<str>>,
}

/// The ids of open requests and of those ended lately; copies share them.
#[derive(Clone, Default)]
pub struct Traces(Arc<Mutex<Known>>);

/// An id held for an open request.
pub struct Trace {
    id: Arc<str>,
    traces: Traces,
    /// Remembered after its end: a model server may have seen it.
    remembered: bool,
}

impl Traces {
    fn known(&self) -> MutexGuard<'_, Known> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an id; none if it is taken. Guards against a client that uses the id of another's open request: the
    /// two could not be told apart at a model server. Ids are fresh on every request, so one that ended a moment
    /// ago is no better.
    pub fn take(&self, id: &str) -> Option<Trace> {
        let id: Arc<str> = id.into();
        self.known().known.insert(id.clone()).then(|| Trace { id, traces: self.clone(), remembered: true })
    }
}

impl Trace {
    /// The id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Frees the id: no model server has seen it, so the same request may come again.
    pub fn release(mut self) {
        self.remembered = false;
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        let mut traces = self.traces.known();
        if !self.remembered {
            traces.known.remove(&self.id);
            return;
        }
        traces.ended.push_back(self.id.clone());
        if traces.ended.len() > ENDED
            && let Some(oldest) = traces.ended.pop_front()
        {
            traces.known.remove(&oldest);
        }
    }
}

/// Whether a text can be an id.
pub fn is_trace(id: &str) -> bool {
    (1..=MAX_TRACE).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_graphic())
}
