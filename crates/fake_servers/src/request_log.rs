//! A log of the attempts that reached a group of model servers, indexed by the request's trace id.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

/// The state of an attempt. All states except [`AttemptState::Running`] are final.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// The server is processing the attempt.
    Running,
    /// The complete answer was written.
    Completed,
    /// The client closed the connection before the end of the answer.
    ClientDisconnected,
    /// The server rejected the attempt, failed, or ended the answer early.
    Failed,
}

/// An attempt as a server observed it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The server's name.
    pub server: String,
    /// The model that was requested.
    pub model: String,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens of the answer that have been written.
    pub written_tokens: u64,
    /// The state of the attempt.
    pub state: AttemptState,
    /// When the server had received the complete request.
    pub received_at: Instant,
}

#[derive(Default)]
struct Entries {
    requests: HashMap<String, Vec<Attempt>>,
    running: HashMap<String, usize>,
    overlapping_attempts: usize,
    attempts_with_authorization: usize,
}

/// The log of one or more servers. Clones share the same log.
#[derive(Clone, Default)]
pub struct RequestLog(Arc<Mutex<Entries>>);

/// A running attempt, which counts as running until this is dropped.
pub(crate) struct RunningAttempt {
    log: RequestLog,
    trace_id: String,
    /// Index of the attempt among the attempts of the same request.
    index: usize,
}

impl RequestLog {
    fn entries(&self) -> MutexGuard<'_, Entries> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Logs the beginning of an attempt.
    pub(crate) fn begin(
        &self,
        trace_id: &str,
        attempt: Attempt,
        has_authorization: bool,
    ) -> RunningAttempt {
        let mut entries = self.entries();
        entries.attempts_with_authorization += usize::from(has_authorization);
        let running = entries.running.entry(trace_id.into()).or_default();
        *running += 1;
        let overlaps = *running > 1;
        entries.overlapping_attempts += usize::from(overlaps);
        let attempts = entries.requests.entry(trace_id.into()).or_default();
        attempts.push(attempt);
        let index = attempts.len() - 1;
        RunningAttempt {
            log: self.clone(),
            trace_id: trace_id.into(),
            index,
        }
    }

    /// The attempts of all requests, indexed by trace id.
    pub fn requests(&self) -> HashMap<String, Vec<Attempt>> {
        self.entries().requests.clone()
    }

    /// Number of attempts that began while another attempt of the same request was running.
    pub fn overlapping_attempts(&self) -> usize {
        self.entries().overlapping_attempts
    }

    /// Number of attempts with an `Authorization` header.
    pub fn attempts_with_authorization(&self) -> usize {
        self.entries().attempts_with_authorization
    }

    /// Number of attempts so far.
    pub fn attempt_count(&self) -> usize {
        self.entries().requests.values().map(Vec::len).sum()
    }

    /// Number of running attempts.
    pub fn running_attempts(&self) -> usize {
        self.entries().running.values().sum()
    }
}

impl RunningAttempt {
    /// Counts one written token.
    pub(crate) fn count_token(&self) {
        let mut entries = self.log.entries();
        if let Some(attempts) = entries.requests.get_mut(&self.trace_id) {
            attempts[self.index].written_tokens += 1;
        }
    }

    /// Sets the final state. Later calls have no effect.
    pub(crate) fn finish(&self, state: AttemptState) {
        let mut entries = self.log.entries();
        let Some(attempts) = entries.requests.get_mut(&self.trace_id) else {
            return;
        };
        let attempt = &mut attempts[self.index];
        if attempt.state == AttemptState::Running {
            attempt.state = state;
        }
    }
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        if let Some(running) = self.log.entries().running.get_mut(&self.trace_id) {
            *running -= 1;
        }
    }
}
