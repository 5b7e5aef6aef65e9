//! Parses the decision module's settings from JSON.

use super::raw_settings::{RawClass, RawSettings};
use crate::interface::{Class, DeduplicationScope, Idempotency, LoadReportField, Settings, Span};

/// The maximum number of characters that an error message quotes of a text.
const MAX_QUOTED_CHARS: usize = 40;
const MICROS_PER_SECOND: f64 = 1e6;

/// Why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text isn't JSON, a key is missing, or a value has the wrong type.
    #[error("broken settings: {0}")]
    Json(#[from] serde_json::Error),
    /// A key that takes one of a fixed set of values has another value.
    #[error("broken settings: {key} '{value}'")]
    UnknownValue {
        /// The key.
        key: &'static str,
        /// The first characters of the value.
        value: String,
    },
    /// The settings define no class.
    #[error("broken settings: no classes")]
    NoClasses,
}

impl SettingsError {
    fn unknown_value(key: &'static str, value: &str) -> SettingsError {
        let value = quote(value);
        SettingsError::UnknownValue { key, value }
    }
}

/// Returns the first characters of an untrusted text, for use in error messages.
pub fn quote(text: &str) -> String {
    let mut quoted: String = text.chars().take(MAX_QUOTED_CHARS).collect();
    if quoted.len() < text.len() {
        quoted.push_str("...");
    }
    quoted
}

/// Parses the settings' JSON object. Unknown keys are ignored.
pub fn parse_settings(text: &str) -> Result<Settings, SettingsError> {
    let raw: RawSettings = serde_json::from_str(text)?;
    let classes = parse_classes(&raw)?;
    if classes.is_empty() {
        return Err(SettingsError::NoClasses);
    }
    let endpoints_on_request = match raw.discovery.as_str() {
        "ask" => true,
        "push" => false,
        other => return Err(SettingsError::unknown_value("discovery", other)),
    };
    let staleness_bound_s = raw
        .guarantees
        .must_ask_in
        .unwrap_or(raw.guarantees.warm_after);
    let quotas = raw.tenants.iter();
    let quotas = quotas.map(|tenant| tenant.quota_per_s.unwrap_or(f64::INFINITY));
    let load_report_fields = raw.telemetry.names.iter();
    let load_report_fields = load_report_fields.map(|name| LoadReportField::from_name(name));
    Ok(Settings {
        router_count: raw.n_instances.max(1),
        zone: raw.zone,
        step_interval: Span::from_secs_f64(raw.period),
        endpoints_on_request,
        staleness_bound: Span::from_secs_f64(staleness_bound_s),
        classes,
        quotas: quotas.collect(),
        over_quota_weight: raw.over_share_worth,
        stream_resumption: raw.specifics.resume,
        clients_mark_retries: raw.callers.marks_retry,
        cancellation: raw.limits.cancel,
        hedged_requests: raw.limits.second_copies,
        health_checks: raw.limits.probes,
        retry_after: raw.limits.retry_after,
        max_retry_after: Span::from_secs_f64(raw.limits.max_retry_after),
        max_attempts: raw.limits.max_attempts,
        idle_connection_timeout: Span::from_secs_f64(raw.limits.conn_idle),
        cross_zone_cost: raw.prices.cross_zone,
        connection_cost: raw.prices.handshake,
        wasted_work_cost: raw.prices.waste,
        health_check_cost: raw.prices.probe,
        drain_grace: Span::from_secs_f64(raw.guarantees.drain_grace),
        overload_factor: raw.guarantees.fall_multiple,
        overload_window: Span::from_secs_f64(raw.guarantees.fall),
        slow_start_floor: raw.guarantees.start_capacity,
        slow_start_duration: Span::from_secs_f64(raw.guarantees.warm_after),
        weights_are_sizes: raw.weights != "live",
        load_report_fields: load_report_fields.collect(),
        load_reports_in_answers: raw.telemetry.how == "answers",
    })
}

fn parse_classes(raw: &RawSettings) -> Result<Vec<Class>, SettingsError> {
    let classes = raw.classes.iter().enumerate();
    classes
        .map(|(index, class)| parse_class(raw, index, class))
        .collect()
}

fn parse_class(raw: &RawSettings, index: usize, class: &RawClass) -> Result<Class, SettingsError> {
    let first_token_objective = Span::from_secs_f64(class.objective);
    let micros_per_1000 = raw.specifics.aim_us_per_1000_prompt_tokens.get(index);
    let micros_per_1000 = micros_per_1000.copied().unwrap_or(0.0);
    let token_interval_objective_s = raw.specifics.token_aim.get(index);
    let token_interval_objective = token_interval_objective_s
        .map_or(first_token_objective, |seconds| {
            Span::from_secs_f64(*seconds)
        });
    Ok(Class {
        first_token_objective,
        first_token_objective_per_1000_prompt_tokens: Span::from_secs_f64(
            micros_per_1000 / MICROS_PER_SECOND,
        ),
        first_token_objective_stretch: class.aim_stretch.max(0.0),
        token_interval_objective,
        deadline: Span::from_secs_f64(class.deadline),
        idempotency: parse_idempotency(&class.effect)?,
        deduplication_scope: parse_deduplication_scope(class.group.as_deref())?,
        deduplication_window: Span::from_secs_f64(class.repeat_window),
        priority_weight: class.credit,
        late_weight: class.late_worth,
        streaming: class.streaming,
    })
}

fn parse_idempotency(effect: &str) -> Result<Idempotency, SettingsError> {
    match effect {
        "read_like" => Ok(Idempotency::Idempotent),
        "idempotency_key" => Ok(Idempotency::Keyed),
        "non_idempotent" => Ok(Idempotency::NonIdempotent),
        other => Err(SettingsError::unknown_value("effect", other)),
    }
}

fn parse_deduplication_scope(group: Option<&str>) -> Result<DeduplicationScope, SettingsError> {
    match group {
        None | Some("all") => Ok(DeduplicationScope::All),
        Some("zone") => Ok(DeduplicationScope::Zone),
        Some("cell") => Ok(DeduplicationScope::Cell),
        Some(other) => Err(SettingsError::unknown_value("group", other)),
    }
}

#[cfg(test)]
mod tests;
