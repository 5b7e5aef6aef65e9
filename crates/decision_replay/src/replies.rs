//! Parses the adapter's replies, which contain one action of a router per line.

/// A router's action, which the simulation applies. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt {
        /// The request.
        request: u32,
        /// The replica's name.
        replica: String,
        /// How long the first token may take.
        timeout: Option<u64>,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The request.
        request: u32,
        /// The attempt's number.
        attempt: u32,
    },
    /// Answer a request with an error, because it was rejected or has failed.
    AnswerWithError {
        /// The request.
        request: u32,
    },
    /// Check a replica's health.
    CheckHealth {
        /// The router.
        router: usize,
        /// The replica's name.
        replica: String,
    },
    /// Send the changes of the endpoint list from now on.
    WatchEndpoints {
        /// The router.
        router: usize,
    },
    /// Set a timer.
    SetTimer {
        /// The router.
        router: usize,
        /// When the timer is due.
        due_at: u64,
        /// The timer's id, which the timer event repeats.
        timer_id: u64,
    },
}

/// Parses one line. Returns `None` for a line without an action.
pub fn parse_action(line: &str) -> Option<Action> {
    let (message, fields) = line.split_once(' ')?;
    let field = |name: &str| {
        fields
            .split(' ')
            .find_map(|field| field.split_once('=').filter(|(key, _)| *key == name))
            .map(|(_, value)| value)
    };
    let router = || field("i")?.parse().ok();
    let request = || field("ref")?.parse().ok();
    let replica = || field("replica").map(String::from);
    Some(match message {
        "DISPATCH" => Action::StartAttempt {
            request: request()?,
            replica: replica()?,
            timeout: field("give-up-after").and_then(parse_time),
        },
        "RETRACT" => Action::CancelAttempt {
            request: request()?,
            attempt: field("trial")?.parse().ok()?,
        },
        "REFUSE" | "ABORT" => Action::AnswerWithError {
            request: request()?,
        },
        "POLL" => Action::CheckHealth {
            router: router()?,
            replica: replica()?,
        },
        "KEEP_INFORMED" => Action::WatchEndpoints { router: router()? },
        "WAKE_ME" => Action::SetTimer {
            router: router()?,
            due_at: parse_time(field("due-at")?)?,
            timer_id: field("mark")?.parse().ok()?,
        },
        _ => return None,
    })
}

fn parse_time(text: &str) -> Option<u64> {
    let (seconds, fraction) = text.split_once('.')?;
    Some(seconds.parse::<u64>().ok()? * 1_000_000 + fraction.parse::<u64>().ok()?)
}

/// Formats microseconds in the protocol's time format: seconds with six decimal places.
pub fn format_time(microseconds: u64) -> String {
    format!(
        "{}.{:06}",
        microseconds / 1_000_000,
        microseconds % 1_000_000
    )
}
