//! Formats actions as the lines of a reply.

use std::fmt::{self, Write};

use stilespan::interface::{Action, Span};

use crate::endpoint_sheets::ReplicaNames;
use crate::number::Seconds;

/// Appends the line for one action of an instance.
pub(crate) fn write_action(
    reply: &mut String,
    names: &ReplicaNames,
    instance: usize,
    action: &Action,
) {
    // writing to a string can't fail
    let _ = try_write_action(reply, names, instance, action);
    reply.push('\n');
}

fn try_write_action(
    reply: &mut String,
    names: &ReplicaNames,
    instance: usize,
    action: &Action,
) -> fmt::Result {
    match *action {
        Action::StartAttempt {
            request,
            replica,
            timeout,
        } => {
            let name = names.name(replica);
            write!(
                reply,
                "DISPATCH i={instance} ref={} replica={name}",
                request.0
            )?;
            write_span(reply, "give-up-after", timeout)
        }
        Action::CancelAttempt { request, attempt } => {
            let request = request.0;
            write!(reply, "RETRACT i={instance} ref={request} trial={attempt}")
        }
        Action::Reject {
            request,
            retry_after,
            ..
        } => {
            write!(reply, "REFUSE i={instance} ref={}", request.0)?;
            write_span(reply, "retry-in", retry_after)
        }
        Action::Fail { request, .. } => write!(reply, "ABORT i={instance} ref={}", request.0),
        Action::CheckHealth { replica } => {
            let name = names.name(replica);
            write!(reply, "POLL i={instance} replica={name}")
        }
        Action::WatchEndpoints => write!(reply, "KEEP_INFORMED i={instance} on=1"),
        Action::SetTimer { at, timer_id } => {
            let due_at = Seconds(at.as_micros());
            write!(
                reply,
                "WAKE_ME i={instance} due-at={due_at} mark={timer_id}"
            )
        }
    }
}

/// Appends a field with a time span, if a span is given.
fn write_span(reply: &mut String, field: &str, span: Option<Span>) -> fmt::Result {
    match span {
        Some(span) => write!(reply, " {field}={}", Seconds(span.as_micros())),
        None => Ok(()),
    }
}

#[cfg(test)]
mod tests;
