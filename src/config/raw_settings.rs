//! The settings of the decision module as their JSON has them. Times are seconds unless a name says
//! otherwise. The keys belong to the platform; [`Settings`](crate::interface::Settings) has the
//! names that the rest of the program uses.

use serde::Deserialize;

/// The settings; other keys are ignored.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct RawSettings {
    pub(super) n_instances: u32,
    #[serde(default)]
    pub(super) zone: u32,
    pub(super) period: f64,
    pub(super) discovery: String,
    pub(super) classes: Vec<RawClass>,
    #[serde(default)]
    pub(super) tenants: Vec<RawTenant>,
    #[serde(default = "one")]
    pub(super) over_share_worth: f64,
    pub(super) limits: RawLimits,
    #[serde(default)]
    pub(super) prices: RawPrices,
    pub(super) guarantees: RawRules,
    #[serde(default)]
    pub(super) telemetry: RawTelemetry,
    #[serde(default)]
    pub(super) weights: String,
    #[serde(default)]
    pub(super) specifics: RawSpecifics,
    #[serde(default)]
    pub(super) callers: RawCallers,
}

/// What clients do.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct RawCallers {
    pub(super) marks_retry: bool,
}

/// A class of requests.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct RawClass {
    pub(super) objective: f64,
    pub(super) deadline: f64,
    pub(super) effect: String,
    #[serde(default)]
    pub(super) group: Option<String>,
    #[serde(default)]
    pub(super) repeat_window: f64,
    #[serde(default = "one")]
    pub(super) credit: f64,
    #[serde(default)]
    pub(super) late_worth: f64,
    #[serde(default)]
    pub(super) aim_stretch: f64,
    #[serde(default)]
    pub(super) streaming: bool,
}

/// A tenant.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct RawTenant {
    #[serde(default)]
    pub(super) quota_per_s: Option<f64>,
}

/// What the decision module may do.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct RawLimits {
    pub(super) max_attempts: u32,
    #[serde(default)]
    pub(super) cancel: bool,
    #[serde(default)]
    pub(super) second_copies: bool,
    #[serde(default)]
    pub(super) probes: bool,
    #[serde(default)]
    pub(super) retry_after: bool,
    #[serde(default)]
    pub(super) max_retry_after: f64,
    #[serde(default)]
    pub(super) conn_idle: f64,
}

/// What operations cost, in units of `credit`.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct RawPrices {
    pub(super) cross_zone: f64,
    pub(super) handshake: f64,
    pub(super) waste: f64,
    pub(super) probe: f64,
}

/// What the platform guarantees of its replicas and its discovery.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct RawRules {
    pub(super) drain_grace: f64,
    pub(super) fall: f64,
    pub(super) fall_multiple: f64,
    #[serde(default)]
    pub(super) must_ask_in: Option<f64>,
    pub(super) start_capacity: f64,
    pub(super) warm_after: f64,
}

/// The load reports of replicas.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct RawTelemetry {
    pub(super) how: String,
    pub(super) names: Vec<String>,
}

/// Settings for language models; lists are by class.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct RawSpecifics {
    pub(super) aim_us_per_1000_prompt_tokens: Vec<f64>,
    pub(super) token_aim: Vec<f64>,
    pub(super) resume: bool,
}

fn one() -> f64 {
    1.0
}
