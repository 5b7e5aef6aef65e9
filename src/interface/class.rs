//! Classes of requests: what their clients expect, what an answer is worth, and what a retry may do.

use super::Span;

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Repeats are harmless.
    #[default]
    Safe,
    /// Repeats are dropped within a group of replicas, for a while.
    Keyed,
    /// Repeats do harm.
    Unsafe,
}

/// The replicas that drop a keyed request's repeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Group {
    /// All of them.
    #[default]
    All,
    /// Those in one zone.
    Zone,
    /// Those in one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// First-token aim (TTFT), before the prompt's part.
    pub aim: Span,
    /// Added to the aim for each 1,000 prompt tokens.
    pub aim_per_1000: Span,
    /// The aim grows by this multiple of the request's own work, up to the deadline.
    pub aim_stretch: f64,
    /// The aim for the time between tokens (TPOT).
    pub pace: Span,
    /// How long a client waits over all its tries.
    pub deadline: Span,
    /// What a repeat may do.
    pub effect: Effect,
    /// Who drops a keyed request's repeats.
    pub group: Group,
    /// For how long they do, from the send of the first attempt that may have run.
    pub window: Span,
    /// The worth of an answer in time.
    pub worth: f64,
    /// The part of it that a late answer keeps.
    pub late_worth: f64,
    /// The answer streams, so a first token is reported.
    pub stream: bool,
}

impl Default for Class {
    fn default() -> Class {
        Class {
            aim: Span::from_secs(1),
            aim_per_1000: Span::ZERO,
            aim_stretch: 0.0,
            pace: Span::from_millis(80),
            deadline: Span::from_secs(5),
            effect: Effect::Safe,
            group: Group::All,
            window: Span::from_secs(5),
            worth: 1.0,
            late_worth: 0.0,
            stream: true,
        }
    }
}
