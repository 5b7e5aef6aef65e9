//! The JSON form of the decision module's settings. Times are in seconds unless a name says
//! otherwise. The platform defines the keys; [`Settings`](crate::interface::Settings) has the names
//! that the other modules use.

use serde::Deserialize;

/// The settings. Unknown keys are ignored.
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

/// The behavior of clients.
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

/// The operations that the decision module may use, and their limits.
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

/// The costs of operations, in units of `credit`.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct RawPrices {
    pub(super) cross_zone: f64,
    pub(super) handshake: f64,
    pub(super) waste: f64,
    pub(super) probe: f64,
}

/// The platform's guarantees about its replicas and its discovery.
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

/// The settings for language models. Lists are indexed by class.
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
