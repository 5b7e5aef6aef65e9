//! The adapter's replies: one action of a gateway a line.

/// An action that the simulation carries out. Times are microseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Start an attempt.
    SendAttempt {
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
    /// Answer a request finally: it is rejected or has failed.
    FinalAnswer {
        /// The request.
        request: u32,
    },
    /// Check a replica's health.
    CheckHealth {
        /// The gateway.
        gateway: usize,
        /// The replica's name.
        replica: String,
    },
    /// Send the changes of the endpoint list from now on.
    WatchEndpoints {
        /// The gateway.
        gateway: usize,
    },
    /// Set a timer.
    SetTimer {
        /// The gateway.
        gateway: usize,
        /// When it is due.
        due_at: u64,
        /// The id that its event has.
        timer_id: u64,
    },
}

/// Parses one line; `None` for lines without an action.
pub fn parse(line: &str) -> Option<Reply> {
    let (word, fields) = line.split_once(' ')?;
    let field = |name: &str| {
        fields
            .split(' ')
            .find_map(|field| field.split_once('=').filter(|(key, _)| *key == name))
            .map(|(_, value)| value)
    };
    let gateway = || field("i")?.parse().ok();
    let request = || field("ref")?.parse().ok();
    let replica = || field("replica").map(String::from);
    Some(match word {
        "DISPATCH" => Reply::SendAttempt {
            request: request()?,
            replica: replica()?,
            timeout: field("give-up-after").and_then(microseconds),
        },
        "RETRACT" => Reply::CancelAttempt {
            request: request()?,
            attempt: field("trial")?.parse().ok()?,
        },
        "REFUSE" | "ABORT" => Reply::FinalAnswer {
            request: request()?,
        },
        "POLL" => Reply::CheckHealth {
            gateway: gateway()?,
            replica: replica()?,
        },
        "KEEP_INFORMED" => Reply::WatchEndpoints {
            gateway: gateway()?,
        },
        "WAKE_ME" => Reply::SetTimer {
            gateway: gateway()?,
            due_at: microseconds(field("due-at")?)?,
            timer_id: field("mark")?.parse().ok()?,
        },
        _ => return None,
    })
}

fn microseconds(text: &str) -> Option<u64> {
    let (seconds, fraction) = text.split_once('.')?;
    Some(seconds.parse::<u64>().ok()? * 1_000_000 + fraction.parse::<u64>().ok()?)
}

/// Formats microseconds as the wire has times: in seconds.
pub fn seconds(microseconds: u64) -> String {
    format!(
        "{}.{:06}",
        microseconds / 1_000_000,
        microseconds % 1_000_000
    )
}
