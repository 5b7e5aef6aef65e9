//! Parses the messages that carry an event for an instance.

use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use stilespan::config::quote;
use stilespan::interface::{
    Arrival, AttemptEnded, EndpointListKind, Event, HealthCheckEnded, LoadReport, LoadReportField,
    MAX_LOAD_REPORT_FIELDS, Outcome, ReplicaId, RequestId, Span, Timestamp,
};

use crate::endpoint_sheets::EndpointSheets;
use crate::error::{FieldError, MessageError, ValueProblem};
use crate::field::{Fields, invalid_value};
use crate::number::parse_number;

/// Bit of `options`: the client marked the request as a retry.
const OPTION_RETRY: u32 = 2;
/// Bit of `options`: the request resumes a broken stream.
const OPTION_RESUMED: u32 = 16;
/// Value of `contents` for an empty peer message.
const NO_CONTENTS: &str = "-";

/// Parses a message into an event. `load_report_fields` are the fields that the instance's settings
/// list.
pub(crate) fn parse_event(
    name: &str,
    fields: &Fields<'_>,
    sheets: &EndpointSheets,
    load_report_fields: &[LoadReportField],
) -> Result<Event, MessageError> {
    Ok(match name {
        "MEMBERSHIP" => parse_endpoints_update(fields, sheets)?,
        "INBOUND" => Event::RequestReceived(parse_arrival(fields)?),
        "HEADERS" => Event::FirstToken {
            request: RequestId(fields.integer("ref")?),
            attempt: fields.integer("trial")?,
            elapsed: Span::from_micros(fields.micros("took")?),
        },
        "EXPIRED" => Event::ClientDisconnected {
            request: RequestId(fields.integer("ref")?),
        },
        "RETURNED" => Event::AttemptEnded(AttemptEnded {
            request: RequestId(fields.integer("ref")?),
            attempt: fields.integer("trial")?,
            outcome: parse_outcome(fields.integer("result")?)?,
            elapsed: Span::from_micros(fields.micros("took")?),
            cached_tokens: fields.optional_integer("note")?,
            request_complete: fields.flag("closed")?,
            load_report: parse_load_report(fields, load_report_fields)?,
        }),
        "CHECK_RESULT" => Event::HealthCheckEnded(HealthCheckEnded {
            replica: ReplicaId::from_name(fields.require("replica")?),
            outcome: parse_outcome(fields.integer("result")?)?,
            elapsed: Span::from_micros(fields.micros("took")?),
            load_report: parse_load_report(fields, load_report_fields)?,
        }),
        "FROM_PEER" => Event::PeerMessage {
            from: fields.integer("src")?,
            bytes: parse_contents(fields.require("contents")?)?,
        },
        "ELAPSED" => Event::TimerFired {
            timer_id: fields.integer("mark")?,
        },
        _ => return Err(MessageError::UnknownMessage),
    })
}

fn parse_endpoints_update(
    fields: &Fields<'_>,
    sheets: &EndpointSheets,
) -> Result<Event, MessageError> {
    let kind = match fields.require("how")? {
        "Partial" => EndpointListKind::Partial,
        "Complete" => EndpointListKind::Complete,
        "Persisted" => EndpointListKind::Persisted,
        "Error" => EndpointListKind::Error,
        other => {
            return Err(MessageError::UnknownValue {
                field: "how",
                value: quote(other),
            });
        }
    };
    let entries = match kind {
        EndpointListKind::Error => Arc::from([]),
        _ => sheets.entries(fields.integer("sheet")?)?,
    };
    Ok(Event::EndpointsUpdated { kind, entries })
}

fn parse_arrival(fields: &Fields<'_>) -> Result<Arrival, FieldError> {
    let options: u32 = fields.optional_integer("options")?.unwrap_or(0);
    let expected_work_s = fields.optional_number("size-hint")?.unwrap_or(0.0);
    Ok(Arrival {
        request: RequestId(fields.integer("ref")?),
        class: fields.integer("cls")?,
        tenant: fields.optional_integer("account")?.unwrap_or(0),
        session: fields.optional_hex("key")?,
        prefix: fields
            .optional_hex("shared-prefix")?
            .filter(|prefix| *prefix != 0),
        prompt_tokens: fields.optional_integer("prompt-len")?.unwrap_or(0),
        shared_prefix_tokens: fields.optional_integer("shared-len")?.unwrap_or(0),
        max_output_tokens: fields.optional_integer("output-cap")?.unwrap_or(0),
        expected_work: Span::from_secs_f64(expected_work_s),
        expires_at: Timestamp::from_micros(fields.micros("valid-until")?),
        is_retry: options & OPTION_RETRY != 0,
        resumed: options & OPTION_RESUMED != 0,
        ..Arrival::default()
    })
}

fn parse_outcome(code: u64) -> Result<Outcome, MessageError> {
    Ok(match code {
        0 => Outcome::Completed,
        1 => Outcome::Cancelled,
        4 => Outcome::Timeout,
        8 => Outcome::Rejected,
        9 => Outcome::NeverSent,
        10 => Outcome::ConnectionReset,
        13 => Outcome::Error,
        14 => Outcome::ConnectFailed,
        _ => return Err(MessageError::UnknownOutcome(code)),
    })
}

/// Parses a load report, whose values are in the order of the fields in the settings. Additional
/// values are ignored. If the settings list a field twice, its first value is used.
fn parse_load_report(
    fields: &Fields<'_>,
    load_report_fields: &[LoadReportField],
) -> Result<Option<LoadReport>, FieldError> {
    let Some(text) = fields.get("telemetry") else {
        return Ok(None);
    };
    let malformed = || invalid_value("telemetry", text, ValueProblem::NotLoadReport);
    let mut values = [0.0; MAX_LOAD_REPORT_FIELDS];
    let mut count = 0;
    for part in text.split(',') {
        let value = parse_number(part).ok_or_else(malformed)?;
        *values.get_mut(count).ok_or_else(malformed)? = value as f32;
        count += 1;
    }
    let mut report = LoadReport::default();
    for (field, value) in load_report_fields.iter().zip(&values[..count]).rev() {
        report.set(*field, *value);
    }
    Ok(Some(report))
}

fn parse_contents(text: &str) -> Result<Arc<[u8]>, MessageError> {
    if text == NO_CONTENTS {
        return Ok(Arc::from([]));
    }
    let contents = BASE64
        .decode(text)
        .map_err(|source| MessageError::Contents {
            value: quote(text),
            source,
        })?;
    Ok(contents.into())
}
