//! The simulator's wire: lines in, lines out. Nothing is decided here.

use std::fmt::Write;
use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use rustc_hash::FxHashMap;
use serde::Deserialize;

use crate::interface::{
    Action, Arrival, AttemptEnded, Class, DeduplicationScope, EndpointListKind, EndpointState,
    Event, HealthCheckEnded, Idempotency, LoadReport, LoadReportField, MAX_LOAD_REPORT_FIELDS,
    Outcome, ReplicaEntry, ReplicaId, RequestId, Settings, Span, Timestamp,
};

/// What one line says.
#[derive(Debug)]
pub enum Line {
    /// A batch begins.
    Clock {
        /// The clock in it.
        now: Timestamp,
        /// The batch's number.
        seq: u64,
    },
    /// The batch is complete.
    End,
    /// An instance starts.
    Init {
        /// Which one.
        instance: usize,
        /// The seed of its random numbers.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// An instance is killed.
    Halt {
        /// Which one.
        instance: usize,
    },
    /// Something happened at an instance.
    Event {
        /// Which one.
        instance: usize,
        /// What.
        event: Event,
    },
    /// Part of a list, kept by the reader.
    List,
}

/// More instances than this in one process are a mistake in the input.
const MAX_INSTANCES: usize = 1 << 20;
/// Lists have numbers below this.
const SHEETS: usize = 16;
/// A message has at most so many fields.
const MAX_FIELDS: usize = 24;

/// Reads lines, and remembers the numbered lists and the replicas' names.
#[derive(Debug, Default)]
pub struct Reader {
    names: FxHashMap<ReplicaId, String>,
    sheets: [Option<Arc<[ReplicaEntry]>>; SHEETS],
    open: Option<(usize, usize, Vec<ReplicaEntry>)>,
    in_batch: bool,
    /// The values of load reports in the order of each instance's settings.
    load_report_fields: FxHashMap<usize, Vec<LoadReportField>>,
}

/// The fields of a line.
struct Fields<'a> {
    pairs: [(&'a str, &'a str); MAX_FIELDS],
    len: usize,
}

impl<'a> Fields<'a> {
    fn parse(mut rest: &'a str) -> Result<Fields<'a>, String> {
        let mut fields = Fields {
            pairs: [("", ""); MAX_FIELDS],
            len: 0,
        };
        while !rest.is_empty() {
            let Some((name, tail)) = rest.split_once('=') else {
                return Err(format!("'{}' is not name=value", shorten(rest)));
            };
            if name.is_empty() || name.contains(' ') {
                return Err(format!("'{}' is not name=value", shorten(rest)));
            }
            // text runs through to the line's end
            let (value, tail) = match name {
                "config" => (tail, ""),
                _ => tail.split_once(' ').unwrap_or((tail, "")),
            };
            if fields.get(name).is_some() {
                return Err(format!("{name} is given twice"));
            }
            if fields.len == MAX_FIELDS {
                return Err("too many fields".into());
            }
            fields.pairs[fields.len] = (name, value);
            fields.len += 1;
            rest = tail;
        }
        Ok(fields)
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs[..self.len]
            .iter()
            .find(|p| p.0 == name)
            .map(|p| p.1)
    }

    fn need(&self, name: &str) -> Result<&'a str, String> {
        self.get(name).ok_or_else(|| format!("{name} is missing"))
    }

    fn int<T: TryFrom<u64>>(&self, name: &str) -> Result<T, String> {
        let text = self.need(name)?;
        text.parse::<u64>()
            .ok()
            .filter(|_| !text.starts_with('+'))
            .and_then(|n| T::try_from(n).ok())
            .ok_or_else(|| format!("{name}={} is no whole number in range", shorten(text)))
    }

    fn int_or<T: TryFrom<u64>>(&self, name: &str, default: T) -> Result<T, String> {
        if self.get(name).is_some() {
            self.int(name)
        } else {
            Ok(default)
        }
    }

    /// A duration or a clock reading, in microseconds.
    fn micros(&self, name: &str) -> Result<u64, String> {
        let text = self.need(name)?;
        parse_micros(text).ok_or_else(|| format!("{name}={} is no time", shorten(text)))
    }

    fn number(&self, name: &str) -> Result<f64, String> {
        let text = self.need(name)?;
        parse_number(text).ok_or_else(|| format!("{name}={} is no number", shorten(text)))
    }

    fn flag(&self, name: &str) -> Result<bool, String> {
        match self.get(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(text) => Err(format!("{name}={} is neither 0 nor 1", shorten(text))),
        }
    }

    fn hex(&self, name: &str) -> Result<Option<u64>, String> {
        let Some(text) = self.get(name) else {
            return Ok(None);
        };
        if text.len() != 16 || text.starts_with('+') {
            return Err(format!("{name}={} is not 16 hex digits", shorten(text)));
        }
        u64::from_str_radix(text, 16)
            .map(Some)
            .map_err(|_| format!("{name}={} is not 16 hex digits", shorten(text)))
    }

    /// The values of a load report, in the order of the instance's settings.
    fn load_report_values(&self) -> Result<Option<Vec<f32>>, String> {
        let Some(text) = self.get("telemetry") else {
            return Ok(None);
        };
        let values: Option<Vec<f32>> = text
            .split(',')
            .map(|part| parse_number(part).map(|value| value as f32))
            .collect();
        values
            .filter(|values| values.len() <= MAX_LOAD_REPORT_FIELDS)
            .map(Some)
            .ok_or_else(|| format!("telemetry={} is no load report", shorten(text)))
    }
}

/// For messages: the start of a text, cut where it is long.
fn shorten(text: &str) -> String {
    let mut out: String = text.chars().take(40).collect();
    if out.len() < text.len() {
        out.push_str("...");
    }
    out
}

fn parse_number(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|n| n.is_finite())
}

/// Seconds to microseconds, exactly where the text is a plain decimal.
fn parse_micros(text: &str) -> Option<u64> {
    let (whole, part) = text.split_once('.').unwrap_or((text, ""));
    let digits = |s: &str| s.bytes().all(|b| b.is_ascii_digit());
    if whole.is_empty() || whole.len() > 12 || part.len() > 6 || !digits(whole) || !digits(part) {
        let n = parse_number(text).filter(|n| (0.0..1e12).contains(n))?;
        return Some((n * 1e6).round() as u64);
    }
    let mut micros: u64 = whole.parse().ok()?;
    for k in 0..6 {
        micros = micros * 10 + u64::from(part.as_bytes().get(k).map_or(0, |b| b - b'0'));
    }
    Some(micros)
}

fn outcome(code: u64) -> Result<Outcome, String> {
    Ok(match code {
        0 => Outcome::Completed,
        1 => Outcome::Cancelled,
        4 => Outcome::Timeout,
        8 => Outcome::Rejected,
        9 => Outcome::NeverSent,
        10 => Outcome::ConnectionReset,
        13 => Outcome::Error,
        14 => Outcome::ConnectFailed,
        _ => return Err(format!("result={code} is no outcome")),
    })
}

impl Reader {
    /// Reads one line.
    pub fn line(&mut self, line: &str) -> Result<Line, String> {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        if let Some((_, left, _)) = &self.open
            && word != "REPLICA"
        {
            return Err(format!(
                "{} where {left} REPLICA lines are due",
                shorten(word)
            ));
        }
        if (word == "CLOCK") == self.in_batch {
            return Err(format!(
                "{} out of place: a batch is CLOCK to EOF_BATCH",
                shorten(word)
            ));
        }
        let fields = Fields::parse(rest).map_err(|e| format!("{}: {e}", shorten(word)))?;
        self.message(word, &fields)
            .map_err(|e| format!("{}: {e}", shorten(word)))
    }

    /// Whether the input may end here.
    pub fn at_rest(&self) -> bool {
        !self.in_batch
    }

    fn message(&mut self, word: &str, f: &Fields<'_>) -> Result<Line, String> {
        let event = match word {
            "CLOCK" => {
                self.in_batch = true;
                return Ok(Line::Clock {
                    now: Timestamp::from_micros(f.micros("now")?),
                    seq: f.int("seq")?,
                });
            }
            "EOF_BATCH" => {
                self.in_batch = false;
                return Ok(Line::End);
            }
            "DIRECTORY" => return self.directory(f),
            "REPLICA" => return self.entry(f),
            "INIT" => {
                let settings = Box::new(parse_settings(f.need("config")?)?);
                let instance = instance(f)?;
                let seed = f.int("init-seed")?;
                self.load_report_fields
                    .insert(instance, settings.load_report_fields.clone());
                return Ok(Line::Init {
                    instance,
                    seed,
                    settings,
                });
            }
            "HALT" => {
                return Ok(Line::Halt {
                    instance: instance(f)?,
                });
            }
            "MEMBERSHIP" => self.membership(f)?,
            "INBOUND" => Event::RequestReceived(arrival(f)?),
            "HEADERS" => Event::FirstToken {
                request: RequestId(f.int("ref")?),
                attempt: f.int("trial")?,
                elapsed: Span::from_micros(f.micros("took")?),
            },
            "EXPIRED" => Event::ClientDisconnected {
                request: RequestId(f.int("ref")?),
            },
            "RETURNED" => Event::AttemptEnded(AttemptEnded {
                request: RequestId(f.int("ref")?),
                attempt: f.int("trial")?,
                outcome: outcome(f.int("result")?)?,
                elapsed: Span::from_micros(f.micros("took")?),
                cached_tokens: if f.get("note").is_some() {
                    Some(f.int("note")?)
                } else {
                    None
                },
                request_complete: f.flag("closed")?,
                load_report: self.load_report(f)?,
            }),
            "CHECK_RESULT" => Event::HealthCheckEnded(HealthCheckEnded {
                replica: ReplicaId::from_name(f.need("replica")?),
                outcome: outcome(f.int("result")?)?,
                elapsed: Span::from_micros(f.micros("took")?),
                load_report: self.load_report(f)?,
            }),
            "FROM_PEER" => Event::PeerMessage {
                from: f.int("src")?,
                bytes: bytes(f.need("contents")?)?,
            },
            "ELAPSED" => Event::TimerFired {
                timer_id: f.int("mark")?,
            },
            _ => return Err("no such message".into()),
        };
        Ok(Line::Event {
            instance: instance(f)?,
            event,
        })
    }

    /// The load report of a line, by the order of values in its instance's settings.
    fn load_report(&self, f: &Fields<'_>) -> Result<Option<LoadReport>, String> {
        let Some(values) = f.load_report_values()? else {
            return Ok(None);
        };
        let mut report = LoadReport::default();
        if let Some(fields) = self.load_report_fields.get(&instance(f)?) {
            // of a value that the settings name twice the first one counts
            for (field, value) in fields.iter().zip(&values).rev() {
                report.set(*field, *value);
            }
        }
        Ok(Some(report))
    }

    fn directory(&mut self, f: &Fields<'_>) -> Result<Line, String> {
        let (sheet, count): (usize, usize) = (f.int("sheet")?, f.int("members-list")?);
        if sheet >= SHEETS {
            return Err(format!("sheet={sheet} is not below {SHEETS}"));
        }
        if count == 0 {
            self.sheets[sheet] = Some(Arc::from([]));
        } else {
            self.open = Some((sheet, count, Vec::with_capacity(count.min(1 << 16))));
        }
        Ok(Line::List)
    }

    fn entry(&mut self, f: &Fields<'_>) -> Result<Line, String> {
        let name = f.need("replica")?;
        let entry = ReplicaEntry {
            replica: ReplicaId::from_name(name),
            zone: f.int_or("az", 0)?,
            cell: f.int_or("pod", 0)?,
            state: match f.need("lifecycle")? {
                "in_service" => EndpointState::InService,
                "terminating" => EndpointState::Draining,
                "terminated" => EndpointState::Removed,
                other => return Err(format!("lifecycle={} is not known", shorten(other))),
            },
            started_at: Timestamp::from_micros(if f.get("launched").is_some() {
                f.micros("launched")?
            } else {
                0
            }),
            weight: if f.get("rating").is_some() {
                f.number("rating")?
            } else {
                1.0
            },
            machine_kind: f.int_or("model", 0)?,
            ..ReplicaEntry::default()
        };
        let Some((sheet, mut left, mut entries)) = self.open.take() else {
            return Err("no DIRECTORY is open".into());
        };
        let known = self
            .names
            .entry(entry.replica)
            .or_insert_with(|| name.to_string());
        if known != name {
            return Err(format!(
                "{} and {} have the same hash",
                shorten(name),
                shorten(known)
            ));
        }
        entries.push(entry);
        left -= 1;
        if left == 0 {
            self.sheets[sheet] = Some(entries.into());
        } else {
            self.open = Some((sheet, left, entries));
        }
        Ok(Line::List)
    }

    fn membership(&self, f: &Fields<'_>) -> Result<Event, String> {
        let kind = match f.need("how")? {
            "Partial" => EndpointListKind::Partial,
            "Complete" => EndpointListKind::Complete,
            "Persisted" => EndpointListKind::Persisted,
            "Error" => {
                return Ok(Event::EndpointsUpdated {
                    kind: EndpointListKind::Error,
                    entries: Arc::from([]),
                });
            }
            other => return Err(format!("how={} is not known", shorten(other))),
        };
        let sheet: usize = f.int("sheet")?;
        let entries = self.sheets.get(sheet).cloned().flatten();
        Ok(Event::EndpointsUpdated {
            kind,
            entries: entries.ok_or(format!("sheet={sheet} was never given"))?,
        })
    }

    /// Writes one action of an instance as a line.
    pub fn write(&self, out: &mut String, instance: usize, action: &Action) {
        let name = |r: &ReplicaId| self.names.get(r).map_or("?", String::as_str);
        let i = instance;
        let _ = match action {
            Action::StartAttempt {
                request,
                replica,
                timeout,
            } => {
                let _ = write!(
                    out,
                    "DISPATCH i={i} ref={} replica={}",
                    request.0,
                    name(replica)
                );
                timeout.map_or(Ok(()), |d| {
                    write!(out, " give-up-after={}", Seconds(d.as_micros()))
                })
            }
            Action::CancelAttempt { request, attempt } => {
                write!(out, "RETRACT i={i} ref={} trial={attempt}", request.0)
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                let _ = write!(out, "REFUSE i={i} ref={}", request.0);
                retry_after.map_or(Ok(()), |d| {
                    write!(out, " retry-in={}", Seconds(d.as_micros()))
                })
            }
            Action::Fail { request } => write!(out, "ABORT i={i} ref={}", request.0),
            Action::CheckHealth { replica } => write!(out, "POLL i={i} replica={}", name(replica)),
            Action::WatchEndpoints => write!(out, "KEEP_INFORMED i={i} on=1"),
            Action::SetTimer { at, timer_id } => {
                write!(
                    out,
                    "WAKE_ME i={i} due-at={} mark={timer_id}",
                    Seconds(at.as_micros())
                )
            }
        };
        out.push('\n');
    }
}

/// Microseconds, written as seconds.
struct Seconds(u64);

impl std::fmt::Display for Seconds {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{}.{:06}", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

fn instance(f: &Fields<'_>) -> Result<usize, String> {
    let i: usize = f.int("i")?;
    if i < MAX_INSTANCES {
        Ok(i)
    } else {
        Err(format!("i={i} is not below {MAX_INSTANCES}"))
    }
}

fn bytes(text: &str) -> Result<Arc<[u8]>, String> {
    if text == "-" {
        return Ok(Arc::from([]));
    }
    BASE64
        .decode(text)
        .map(Arc::from)
        .map_err(|e| format!("contents={}: {e}", shorten(text)))
}

fn arrival(f: &Fields<'_>) -> Result<Arrival, String> {
    let options: u32 = f.int_or("options", 0)?;
    let hint = if f.get("size-hint").is_some() {
        f.number("size-hint")?
    } else {
        0.0
    };
    Ok(Arrival {
        request: RequestId(f.int("ref")?),
        class: f.int("cls")?,
        tenant: f.int_or("account", 0)?,
        session: f.hex("key")?,
        prefix: f.hex("shared-prefix")?.filter(|&p| p != 0),
        prompt_tokens: f.int_or("prompt-len", 0)?,
        shared_prefix_tokens: f.int_or("shared-len", 0)?,
        max_output_tokens: f.int_or("output-cap", 0)?,
        expected_work: Span::from_secs_f64(hint),
        expires_at: Timestamp::from_micros(f.micros("valid-until")?),
        is_retry: options & 2 != 0,
        resumed: options & 16 != 0,
        ..Arrival::default()
    })
}

/// The settings as they come; keys that are not named here are skipped.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawSettings {
    n_instances: u32,
    #[serde(default)]
    zone: u32,
    period: f64,
    discovery: String,
    classes: Vec<RawClass>,
    #[serde(default)]
    tenants: Vec<RawTenant>,
    #[serde(default = "one")]
    over_share_worth: f64,
    limits: RawLimits,
    #[serde(default)]
    prices: RawPrices,
    guarantees: RawRules,
    #[serde(default)]
    telemetry: RawTelemetry,
    #[serde(default)]
    weights: String,
    #[serde(default)]
    specifics: RawSpecifics,
    #[serde(default)]
    callers: RawCallers,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct RawCallers {
    marks_retry: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawClass {
    objective: f64,
    deadline: f64,
    effect: String,
    #[serde(default)]
    group: Option<String>,
    #[serde(default)]
    repeat_window: f64,
    #[serde(default = "one")]
    credit: f64,
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    aim_stretch: f64,
    #[serde(default)]
    streaming: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawTenant {
    #[serde(default)]
    quota_per_s: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawLimits {
    max_attempts: u32,
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    second_copies: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after: f64,
    #[serde(default)]
    conn_idle: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct RawPrices {
    cross_zone: f64,
    handshake: f64,
    waste: f64,
    probe: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawRules {
    drain_grace: f64,
    fall: f64,
    fall_multiple: f64,
    #[serde(default)]
    must_ask_in: Option<f64>,
    start_capacity: f64,
    warm_after: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct RawTelemetry {
    how: String,
    names: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct RawSpecifics {
    aim_us_per_1000_prompt_tokens: Vec<f64>,
    token_aim: Vec<f64>,
    resume: bool,
}

fn one() -> f64 {
    1.0
}

/// Reads the settings' JSON object.
pub fn parse_settings(text: &str) -> Result<Settings, String> {
    let raw: RawSettings =
        serde_json::from_str(text).map_err(|e| format!("broken settings: {e}"))?;
    let broken = |what: String| Err(format!("broken settings: {what}"));
    let mut classes = Vec::with_capacity(raw.classes.len());
    for (k, c) in raw.classes.iter().enumerate() {
        let aim = Span::from_secs_f64(c.objective);
        classes.push(Class {
            first_token_objective: aim,
            first_token_objective_per_1000_prompt_tokens: Span::from_secs_f64(
                raw.specifics
                    .aim_us_per_1000_prompt_tokens
                    .get(k)
                    .copied()
                    .unwrap_or(0.0)
                    / 1e6,
            ),
            token_interval_objective: raw
                .specifics
                .token_aim
                .get(k)
                .map_or(aim, |&s| Span::from_secs_f64(s)),
            deadline: Span::from_secs_f64(c.deadline),
            first_token_objective_stretch: c.aim_stretch.max(0.0),
            idempotency: match c.effect.as_str() {
                "read_like" => Idempotency::Idempotent,
                "idempotency_key" => Idempotency::Keyed,
                "non_idempotent" => Idempotency::NonIdempotent,
                other => return broken(format!("effect '{}'", shorten(other))),
            },
            deduplication_scope: match c.group.as_deref() {
                None | Some("all") => DeduplicationScope::All,
                Some("zone") => DeduplicationScope::Zone,
                Some("cell") => DeduplicationScope::Cell,
                Some(other) => return broken(format!("group '{}'", shorten(other))),
            },
            deduplication_window: Span::from_secs_f64(c.repeat_window),
            priority_weight: c.credit,
            late_weight: c.late_worth,
            streaming: c.streaming,
        });
    }
    if classes.is_empty() {
        return broken("no classes".into());
    }
    Ok(Settings {
        router_count: raw.n_instances.max(1),
        zone: raw.zone,
        step_interval: Span::from_secs_f64(raw.period),
        endpoints_on_request: match raw.discovery.as_str() {
            "ask" => true,
            "push" => false,
            other => return broken(format!("discovery '{}'", shorten(other))),
        },
        staleness_bound: Span::from_secs_f64(
            raw.guarantees
                .must_ask_in
                .unwrap_or(raw.guarantees.warm_after),
        ),
        classes,
        quotas: raw
            .tenants
            .iter()
            .map(|t| t.quota_per_s.unwrap_or(f64::INFINITY))
            .collect(),
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
        load_report_fields: raw
            .telemetry
            .names
            .iter()
            .map(|name| LoadReportField::from_name(name))
            .collect(),
        load_reports_in_answers: raw.telemetry.how == "answers",
    })
}
