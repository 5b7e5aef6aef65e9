//! The deployments that are replayed. Together, their settings turn every feature of the decision
//! module on and off.

/// A deployment: its settings, and how many routers and replicas it has.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name shown in the results.
    pub name: &'static str,
    /// Number of routers, which are all instances in one adapter process.
    pub routers: usize,
    /// Number of replicas in service at the start.
    pub replicas: usize,
    /// Requests per second over all routers.
    pub requests_per_second: f64,
    /// Number of request classes in the settings.
    pub classes: usize,
    /// Number of tenants in the settings.
    pub tenants: usize,
    /// Whether replicas report their load with their answers.
    pub reports_in_answers: bool,
    /// Whether weights in the endpoint list change at run time.
    pub live_weights: bool,
    /// The settings, as JSON without the zone.
    settings: &'static str,
}

impl Deployment {
    /// The settings of one router.
    pub fn settings(&self, zone: u32) -> String {
        let rest = self.settings.trim().trim_start_matches('{');
        let compact: Vec<&str> = rest.split_whitespace().collect();
        format!(
            "{{\"n-instances\": {}, \"zone\": {zone}, {}",
            self.routers,
            compact.join(" ")
        )
    }
}

/// All deployments.
pub fn all() -> Vec<Deployment> {
    vec![
        Deployment {
            name: "streams-with-sessions",
            routers: 3,
            replicas: 24,
            requests_per_second: 260.0,
            classes: 2,
            tenants: 2,
            reports_in_answers: true,
            live_weights: false,
            settings: STREAMS_WITH_SESSIONS,
        },
        Deployment {
            name: "keyed-and-unsafe",
            routers: 2,
            replicas: 12,
            requests_per_second: 200.0,
            classes: 3,
            tenants: 0,
            reports_in_answers: false,
            live_weights: true,
            settings: KEYED_AND_UNSAFE,
        },
        Deployment {
            name: "many-gateways",
            routers: 40,
            replicas: 16,
            requests_per_second: 220.0,
            classes: 2,
            tenants: 3,
            reports_in_answers: false,
            live_weights: false,
            settings: MANY_ROUTERS,
        },
        Deployment {
            name: "overloaded",
            routers: 2,
            replicas: 5,
            requests_per_second: 400.0,
            classes: 2,
            tenants: 2,
            reports_in_answers: true,
            live_weights: false,
            settings: OVERLOADED,
        },
        Deployment {
            name: "errors-in-reports",
            routers: 6,
            replicas: 12,
            requests_per_second: 200.0,
            classes: 1,
            tenants: 0,
            reports_in_answers: false,
            live_weights: false,
            settings: ERRORS_IN_REPORTS,
        },
    ]
}

const STREAMS_WITH_SESSIONS: &str = r#"{
"period": 0.002, "discovery": "ask", "over-share-worth": 0.3,
"classes": [
 {"objective": 0.4, "deadline": 1.5, "effect": "read_like", "streaming": true, "credit": 1, "late-worth": 0.2},
 {"objective": 1.2, "deadline": 4.0, "effect": "idempotency_key", "group": "zone", "repeat-window": 2.0,
  "streaming": true, "credit": 3, "late-worth": 0.5, "aim-stretch": 0.5}],
"tenants": [{"quota-per-s": 90}, {}],
"specifics": {"aim-us-per-1000-prompt-tokens": [40000, 90000], "token-aim": [0.06, 0.09], "resume": true},
"limits": {"max-attempts": 3, "cancel": true, "probes": true, "retry-after": true, "max-retry-after": 2, "conn-idle": 4},
"prices": {"cross-zone": 0.1, "handshake": 0.02, "waste": 0.05, "probe": 0.01},
"telemetry": {"how": "answers", "names": ["outstanding", "backlog", "utilization", "throughput"]},
"callers": {"marks-retry": true},
"guarantees": {"drain-grace": 0.5, "fall": 1, "fall-multiple": 3, "must-ask-in": 4, "start-capacity": 0.15, "warm-after": 12}}"#;

const KEYED_AND_UNSAFE: &str = r#"{
"period": 0.005, "discovery": "push", "weights": "live",
"classes": [
 {"objective": 0.8, "deadline": 3.0, "effect": "idempotency_key", "group": "cell", "repeat-window": 0.6, "streaming": false},
 {"objective": 0.5, "deadline": 2.0, "effect": "non_idempotent", "streaming": true, "credit": 5},
 {"objective": 2.0, "deadline": 6.0, "effect": "idempotency_key", "group": "all", "repeat-window": 5.0, "late-worth": 0.8}],
"limits": {"max-attempts": 2, "cancel": false, "probes": true, "retry-after": false, "conn-idle": 6},
"prices": {"cross-zone": 0.4, "handshake": 0.0, "waste": 0.1, "probe": 0.02},
"telemetry": {"how": "probes", "names": ["errors_per_s", "outstanding"]},
"guarantees": {"drain-grace": 1, "fall": 2, "fall-multiple": 2, "start-capacity": 0.3, "warm-after": 20}}"#;

const MANY_ROUTERS: &str = r#"{
"period": 0.002, "discovery": "ask",
"classes": [
 {"objective": 0.6, "deadline": 2.5, "effect": "read_like", "streaming": true, "late-worth": 0.3},
 {"objective": 3.0, "deadline": 8.0, "effect": "read_like", "streaming": false, "credit": 2}],
"tenants": [{"quota-per-s": 60}, {"quota-per-s": 30}, {}],
"specifics": {"aim-us-per-1000-prompt-tokens": [20000, 0], "token-aim": [0.05], "resume": false},
"limits": {"max-attempts": 3, "cancel": true, "second-copies": false, "probes": false, "retry-after": true, "max-retry-after": 1, "conn-idle": 3},
"prices": {"cross-zone": 0.05, "handshake": 0.1, "waste": 0.02, "probe": 0},
"guarantees": {"drain-grace": 0.5, "fall": 1, "fall-multiple": 4, "must-ask-in": 3, "start-capacity": 0.05, "warm-after": 30}}"#;

/// Load reports that contain errors per second, and a value that the settings name twice: the first
/// one is used.
const ERRORS_IN_REPORTS: &str = r#"{
"period": 0.002, "discovery": "push",
"classes": [
 {"objective": 0.6, "deadline": 2.5, "effect": "read_like", "streaming": true, "late-worth": 0.3}],
"limits": {"max-attempts": 3, "cancel": true, "probes": true, "retry-after": true, "max-retry-after": 1, "conn-idle": 3},
"prices": {"cross-zone": 0.05, "handshake": 0.1, "waste": 0.02, "probe": 0.01},
"telemetry": {"how": "probes", "names": ["errors_per_s", "utilization", "utilization", "throughput"]},
"guarantees": {"drain-grace": 0.5, "fall": 1, "fall-multiple": 4, "start-capacity": 0.05, "warm-after": 30}}"#;

const OVERLOADED: &str = r#"{
"period": 0.002, "discovery": "push", "over-share-worth": 0.1,
"classes": [
 {"objective": 0.3, "deadline": 1.0, "effect": "read_like", "streaming": true},
 {"objective": 1.0, "deadline": 3.0, "effect": "read_like", "streaming": true, "credit": 4, "late-worth": 0.4}],
"tenants": [{"quota-per-s": 150}, {"quota-per-s": 40}],
"limits": {"max-attempts": 3, "cancel": true, "probes": true, "retry-after": true, "max-retry-after": 3, "conn-idle": 5},
"prices": {"cross-zone": 0.0, "handshake": 0.0, "waste": 0.2, "probe": 0.01},
"telemetry": {"how": "answers", "names": ["backlog", "outstanding"]},
"guarantees": {"drain-grace": 0.3, "fall": 1, "fall-multiple": 2, "start-capacity": 0.1, "warm-after": 8}}"#;
