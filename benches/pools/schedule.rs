//! What happens to the answers under way, by time.

use std::cmp::Reverse;

/// An answer that a host streams; times are in microseconds.
pub struct Stream {
    pub request: u32,
    pub host: usize,
    /// When the attempt was started.
    pub started: u64,
    pub first_token: u64,
    pub first_token_in_time: bool,
}

pub enum Milestone {
    FirstToken {
        request: u32,
        /// Since the attempt was started, in microseconds.
        elapsed: u64,
    },
    /// The end, unless the stream has stood still for longer than was known.
    End(Stream),
}

pub struct Scheduled {
    pub due: u64,
    /// The index of the balancer that is notified.
    pub pool: usize,
    pub milestone: Milestone,
}

/// Milestones by descending time.
#[derive(Default)]
pub struct Schedule(Vec<Scheduled>);

impl Schedule {
    /// Adds a milestone; [`Schedule::sort`] has to follow.
    pub fn add(&mut self, due: u64, pool: usize, milestone: Milestone) {
        self.0.push(Scheduled {
            due,
            pool,
            milestone,
        });
    }

    pub fn sort(&mut self) {
        self.0.sort_by_key(|scheduled| Reverse(scheduled.due));
    }

    /// Removes the earliest milestone, if it is due by `now`.
    pub fn pop_due(&mut self, now: u64) -> Option<Scheduled> {
        self.0.pop_if(|scheduled| scheduled.due <= now)
    }
}
