//! Parses operators' requests into commands.

use thiserror::Error;

use crate::lifecycle::AdminCommand;
use crate::net::http::Head;

/// Why a request is not a valid command. The texts are part of the operators' interface.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(super) enum RequestError {
    /// No command has this path.
    #[error("no such call")]
    UnknownPath,
    /// The command requires a different method.
    #[error("{allowed}")]
    MethodNotAllowed {
        /// The method that the command requires.
        allowed: &'static str,
    },
    /// The query's percent-encoding is invalid.
    #[error("the query is badly encoded")]
    InvalidQuery,
    /// The query names more than one model server.
    #[error("more than one name")]
    SeveralNames,
    /// The query names no model server.
    #[error("name is missing")]
    NoName,
}

/// Parses the command that a request asks for.
pub(super) fn parse(head: &Head) -> Result<AdminCommand, RequestError> {
    let allowed = match head.path() {
        "/ready" | "/metrics" => "GET",
        "/model-servers/disable" | "/model-servers/enable" | "/drain" | "/undrain" => "POST",
        _ => return Err(RequestError::UnknownPath),
    };
    if head.method != allowed {
        return Err(RequestError::MethodNotAllowed { allowed });
    }
    Ok(match head.path() {
        "/ready" => AdminCommand::Ready,
        "/metrics" => AdminCommand::Metrics,
        "/drain" => AdminCommand::Drain,
        "/undrain" => AdminCommand::Undrain,
        "/model-servers/disable" => AdminCommand::Disable(server_name(&head.target)?),
        _ => AdminCommand::Enable(server_name(&head.target)?),
    })
}

/// Parses the name of the model server from a request's query.
fn server_name(target: &str) -> Result<String, RequestError> {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    if !has_valid_escapes(query) {
        return Err(RequestError::InvalidQuery);
    }
    let mut names = form_urlencoded::parse(query.as_bytes()).filter(|(key, _)| key == "name");
    match (names.next(), names.next()) {
        (Some((_, name)), _) if name.contains(char::REPLACEMENT_CHARACTER) => {
            Err(RequestError::InvalidQuery)
        }
        (Some((_, name)), None) if !name.is_empty() => Ok(name.into_owned()),
        (Some(_), Some(_)) => Err(RequestError::SeveralNames),
        _ => Err(RequestError::NoName),
    }
}

/// Whether each `%` is followed by two hexadecimal digits.
fn has_valid_escapes(query: &str) -> bool {
    query.split('%').skip(1).all(|rest| {
        let digits = rest.bytes().take_while(u8::is_ascii_hexdigit);
        digits.take(2).count() == 2
    })
}

#[cfg(test)]
mod tests;
